package httpserver_test

import (
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/testkit"
)

// fakeSocket is a connection whose event loop does only what a test tells it to.
type fakeSocket struct {
	gnet.Conn

	context any
	arrived []byte
	written strings.Builder
	unsent  int
	closed  bool
	queue   []func() // what the event loop has been asked to do
	queued  int      // messages that it has been asked to write
	broken  bool     // the next write fails
	onClose func()   // called when the connection has been closed, if set
}

func (s *fakeSocket) Fd() int                       { return -1 }
func (s *fakeSocket) Context() any                  { return s.context }
func (s *fakeSocket) SetContext(context any)        { s.context = context }
func (s *fakeSocket) RemoteAddr() net.Addr          { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (s *fakeSocket) Peek(int) ([]byte, error)      { return s.arrived, nil }
func (s *fakeSocket) OutboundBuffered() int         { return s.unsent }
func (s *fakeSocket) SetLinger(int) error           { return nil }
func (s *fakeSocket) Wake(gnet.AsyncCallback) error { return nil }

func (s *fakeSocket) Discard(int) (int, error) {
	n := len(s.arrived)
	s.arrived = nil
	return n, nil
}

func (s *fakeSocket) Close() error {
	s.queue = append(s.queue, s.end)
	return nil
}

// end closes the connection.
func (s *fakeSocket) end() {
	if s.closed {
		return
	}
	s.closed = true
	if s.onClose != nil {
		s.onClose()
	}
}

// Write writes on the event loop. A connection that is broken is closed within it.
func (s *fakeSocket) Write(data []byte) (int, error) {
	if s.broken {
		s.end()
	}
	if s.closed {
		return 0, net.ErrClosed
	}
	return s.written.Write(data)
}

func (s *fakeSocket) AsyncWrite(data []byte, callback gnet.AsyncCallback) error {
	return s.AsyncWritev([][]byte{data}, callback)
}

func (s *fakeSocket) AsyncWritev(data [][]byte, callback gnet.AsyncCallback) error {
	message := slices.Concat(data...)
	if len(message) > 0 {
		s.queued++
	}
	s.queue = append(s.queue, func() {
		if len(message) > 0 {
			s.queued--
		}
		_, err := s.Write(message)
		_ = callback(s, err)
	})
	return nil
}

// run lets the event loop do at most a number of the things that it has been asked to do.
func (s *fakeSocket) run(most int) {
	for ; most > 0 && len(s.queue) > 0; most-- {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// countingInbox counts the calls that it is given, and answers them if it is told to.
type countingInbox struct {
	calls   int
	answers bool
}

func (i *countingInbox) Put(item any) error {
	call, ok := item.(*httpserver.Call)
	if !ok {
		return nil
	}
	i.calls++
	if i.answers {
		call.Reply(&fasthttp.Response{})
	}
	return nil
}

// TestRequestIsRefusedOrDelivered guards against requests that are refused as not run while
// the event loop delivers them, and connections that are closed as idle at that time.
func TestRequestIsRefusedOrDelivered(t *testing.T) {
	const all = 100
	type outcome struct {
		Delivered int
		Refused   int // status, zero for none
		Closed    bool
	}
	first, rest := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhe", "llo"
	delivered := outcome{Delivered: 1}
	tick := func(s *httpserver.Server) { s.OnTick() }
	stop := func(s *httpserver.Server) { s.Drain(time.Now()) }
	displace := func(s *httpserver.Server) { s.OnOpen(&fakeSocket{}) }
	cases := map[string]struct {
		first   string
		end     func(s *httpserver.Server)
		before  int // things that the event loop does before the rest arrives
		want    outcome
		maxIdle time.Duration
	}{
		"slow sender, rest read first":        {first: first, end: tick, want: delivered},
		"slow sender, decided first":          {first: first, end: tick, before: 1, want: outcome{Refused: 408, Closed: true}},
		"slow sender, refused first":          {first: first, end: tick, before: all, want: outcome{Refused: 408, Closed: true}},
		"displaced, rest read first":          {first: first, end: displace, want: delivered},
		"displaced, decided first":            {first: first, end: displace, before: 1, want: outcome{Refused: 503, Closed: true}},
		"displaced, refused first":            {first: first, end: displace, before: all, want: outcome{Refused: 503, Closed: true}},
		"stop, rest read first":               {first: first, end: stop, want: delivered},
		"stop, decided first":                 {first: first, end: stop, before: 1, want: outcome{Refused: 503, Closed: true}},
		"stop, refused first":                 {first: first, end: stop, before: all, want: outcome{Refused: 503, Closed: true}},
		"idle, request read first":            {end: tick, maxIdle: time.Nanosecond, want: delivered},
		"idle, decided first":                 {end: tick, maxIdle: time.Nanosecond, before: 1, want: outcome{Closed: true}},
		"idle and displaced, read first":      {end: displace, want: delivered},
		"idle and displaced, decided first":   {end: displace, before: 1, want: outcome{Closed: true}},
		"nothing to end, request read at all": {first: first, end: func(*httpserver.Server) {}, want: delivered},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inbox := &countingInbox{}
			config := httpserver.Config{
				Inbox: inbox, Log: testkit.DiscardLog(), MaxHeader: 2048, MaxBody: 4096, MaxUnsent: 1 << 20, MaxConns: 1,
				SlowSender: time.Nanosecond, Idle: timeout,
			}
			if tc.maxIdle != 0 {
				config.Idle = tc.maxIdle
			}
			server, socket := httpserver.New(config), &fakeSocket{}
			server.OnOpen(socket)
			arrive := func(text string) {
				if socket.arrived = []byte(text); text != "" && !socket.closed {
					server.OnTraffic(socket)
				}
			}
			arrive(tc.first)
			if tc.first == "" {
				time.Sleep(1100 * time.Millisecond) // the shortest idle time of a connection that is displaced
			}
			tc.end(server)
			socket.run(tc.before)
			arrive((first + rest)[len(tc.first):])
			socket.run(all)
			got := outcome{Delivered: inbox.calls, Closed: socket.closed}
			switch written := socket.written.String(); {
			case strings.HasPrefix(written, "HTTP/1.1 408"):
				got.Refused = 408
			case strings.HasPrefix(written, "HTTP/1.1 503"):
				got.Refused = 503
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNothingIsReadBehindDroppedBytes guards against bytes that are taken for a request
// although those before them were dropped.
func TestNothingIsReadBehindDroppedBytes(t *testing.T) {
	inbox := &countingInbox{answers: true}
	server, socket := httpserver.New(httpserver.Config{Inbox: inbox, Log: testkit.DiscardLog(), MaxHeader: 64, MaxBody: 64, MaxUnsent: 1 << 20, MaxConns: 1, SlowSender: timeout, Idle: timeout}), &fakeSocket{}
	server.OnOpen(socket)
	arrive := func(text string) {
		socket.arrived = []byte(text)
		server.OnTraffic(socket)
	}
	request := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	arrive(request)
	socket.unsent = 1 // the caller does not take its answer
	socket.run(100)
	arrive("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 100))
	socket.unsent = 0
	arrive(request) // within the body
	if diff := cmp.Diff(1, inbox.calls); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}
