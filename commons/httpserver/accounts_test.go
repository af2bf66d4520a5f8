package httpserver_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/testkit"
)

// crowd is a server with some connections whose event loop does only what a test tells it to.
type crowd struct {
	server  *httpserver.Server
	account *memory.Budget
	sockets []*fakeSocket
	reading *fakeSocket // of the bytes that arrive
	calls   []*httpserver.Call
	begun   map[*httpserver.Call]bool
	on      map[*httpserver.Call]*fakeSocket
	aborted map[*fakeSocket]bool // no answer is owed any more
	full    bool                 // the inbox takes no call
}

func newCrowd() *crowd {
	c := &crowd{account: memory.NewBudgetOf(1 << 20), begun: make(map[*httpserver.Call]bool), on: make(map[*httpserver.Call]*fakeSocket), aborted: make(map[*fakeSocket]bool)}
	c.server = httpserver.New(httpserver.Config{
		Inbox: c, Account: c.account, Log: testkit.DiscardLog(), MaxHeader: 2048, MaxBody: 4096, MaxUnsent: 1 << 10, MaxConns: 64,
		SlowSender: timeout, Idle: timeout,
	})
	return c
}

// Put takes a call.
func (c *crowd) Put(item any) error {
	if call, ok := item.(*httpserver.Call); ok {
		if c.full {
			return httpserver.ErrNoRoom
		}
		c.calls, c.on[call] = append(c.calls, call), c.reading
	}
	return nil
}

// open accepts a connection.
func (c *crowd) open() {
	s := &fakeSocket{}
	s.onClose = func() { c.server.OnClose(s, nil) }
	c.sockets = append(c.sockets, s)
	c.server.OnOpen(s)
}

// arrive lets bytes arrive on a connection.
func (c *crowd) arrive(s *fakeSocket, text string) {
	s.arrived, c.reading = []byte(text), s
	if c.server.OnTraffic(s) != 0 {
		s.end()
	}
}

// act does something with the answer of a call, as its owner may.
func (c *crowd) act(call *httpserver.Call, act string) {
	begun, ended := c.begun[call]
	defer func() { c.aborted[c.on[call]] = c.aborted[c.on[call]] || call.Gone() }()
	switch {
	case act == "begin" && !ended:
		c.begun[call] = call.Begin(&fasthttp.Response{}) == nil
		return
	case act == "write" && begun:
		_ = call.Write([]byte(strings.Repeat("x", 300)))
		return
	case act == "end" && begun:
		call.End()
	case act == "reply" && !ended:
		call.Reply(&fasthttp.Response{})
	case act == "abort":
		call.Abort()
	default:
		return
	}
	c.calls = slices.DeleteFunc(c.calls, func(other *httpserver.Call) bool { return other == call })
}

// TestAccountsOfConnectionsEndAtZero drives connections through random orders of arrivals,
// refusals, answers, failures to write, ends by the caller, stops and ends of the event loop. It
// guards against a stop that does not wait for an answer which the event loop has not written,
// and against bytes and numbers that are counted twice or never given back.
func TestAccountsOfConnectionsEndAtZero(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
	texts := []string{request, request + request, request[:50], request[50:], "GET / HTTP/1.0\r\n\r\n", "x\r\n\r\n", strings.Repeat("x", 3000), strings.Replace(request, "5", "5000", 1)}
	acts := []string{"begin", "write", "write", "end", "reply", "abort"}
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd()
		c.open()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if open := c.opened(); len(open) == 0 || len(open) < 3 && rapid.IntRange(0, 9).Draw(t, "open") == 0 {
				c.open()
			}
			s := rapid.SampledFrom(c.opened()).Draw(t, "socket")
			switch step := rapid.IntRange(0, 15).Draw(t, "step"); {
			case step < 4:
				c.arrive(s, rapid.SampledFrom(texts).Draw(t, "text"))
			case step < 9 && len(c.calls) > 0:
				c.act(rapid.SampledFrom(c.calls).Draw(t, "call"), rapid.SampledFrom(acts).Draw(t, "act"))
			case step < 11:
				s.run(rapid.IntRange(1, 3).Draw(t, "run"))
			case step == 11:
				s.unsent = rapid.IntRange(0, 1).Draw(t, "unsent")
			case step == 12:
				s.broken = true
			case step == 13:
				s.end()
			case step == 14:
				c.server.OnTick()
				c.full = rapid.Bool().Draw(t, "full")
			case step == 15:
				c.server.Drain(time.Now())
			}
			c.check(t)
		}
		for _, s := range c.sockets {
			if rapid.Bool().Draw(t, "loop ends") {
				s.queue = nil
			}
			s.end()
			s.run(len(s.queue))
		}
		got := []int{c.server.OpenConns(), c.server.Pending(), int(c.account.Total())}
		if diff := cmp.Diff([]int{0, 0, 0}, got); diff != "" {
			t.Fatalf("open connections, those owed an answer and bytes at the end (-want +got):\n%s", diff)
		}
	})
}

// opened returns the connections that have not ended.
func (c *crowd) opened() (open []*fakeSocket) {
	for _, s := range c.sockets {
		if !s.closed {
			open = append(open, s)
		}
	}
	return open
}

// check compares the accounts with the connections.
func (c *crowd) check(t *rapid.T) {
	if c.account.Total() < 0 || c.server.Pending() < 0 {
		t.Fatalf("%d bytes, %d connections owed an answer", c.account.Total(), c.server.Pending())
	}
	for _, s := range c.sockets {
		if !s.closed && !c.aborted[s] && s.queued > 0 && c.server.Pending() == 0 {
			t.Fatalf("%d messages have not been written, and no connection is owed an answer", s.queued)
		}
	}
	if diff := cmp.Diff(len(c.opened()), c.server.OpenConns()); diff != "" {
		t.Fatalf("open connections (-want +got):\n%s", diff)
	}
}

// TestMain fixes the seed of rapid.
func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }
