// Package wicket provides the HTTP/1.1 server of every process: gnet carries
// the bytes, fasthttp's types parse and write the messages, and each complete
// request is handed to a ring as a Call.
package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
)

// Inbox receives the server's messages: *Call for a complete request and
// Hangup when a caller closes its connection before the answer ended. Put must
// not block.
type Inbox interface {
	Put(item any) error
}

// Config holds the construction parameters of a Server.
type Config struct {
	Address    string // IP:port to listen on
	Inbox      Inbox
	Log        *logrus.Entry
	MaxHeader  int           // bytes of request line and header fields
	MaxBody    int           // bytes of request body
	MaxUnsent  int           // bytes of answer that a slow reader may leave unsent
	MaxConns   int           // open connections
	SlowSender time.Duration // limit from the first byte of a request to its last
	Idle       time.Duration // limit on an open connection without a request
	Loops      int           // event loops; one if zero
}

// Server is responsible for turning connections into calls and for bounding
// what each connection may cost.
type Server struct {
	gnet.BuiltinEventEngine

	config    Config
	conns     sync.Map // *conn to struct{}
	openConns atomic.Int64
	engine    gnet.Engine
	booted    chan struct{}
}

// New returns a server that listens once it is served.
func New(config Config) *Server {
	config.Loops = max(config.Loops, 1)
	return &Server{config: config, booted: make(chan struct{})}
}

// Serve listens until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	if err := checkAddressFree(s.config.Address); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.stop)
	defer stop()
	err := gnet.Run(s, "tcp://"+s.config.Address,
		gnet.WithNumEventLoop(s.config.Loops),
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(keepAlivePeriod),
		gnet.WithReadBufferCap(readBufferSize),
		gnet.WithLogger(NewLogger(s.config.Log)),
	)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrapf(err, "listen on %s", s.config.Address)
}

// Open returns the number of open connections.
func (s *Server) OpenConns() int { return int(s.openConns.Load()) }

// OnBoot keeps the engine, which a later stop needs.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnOpen refuses connections beyond the limit.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if s.openConns.Add(1) > int64(s.config.MaxConns) {
		return refusalBytes(errTooManyConns), gnet.Close
	}
	k := &conn{server: s, socket: c}
	k.waitingSince.Store(time.Now().UnixNano())
	c.SetContext(k)
	s.conns.Store(k, struct{}{})
	return nil, gnet.None
}

// OnClose reports a caller that left before its answer ended.
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	s.openConns.Add(-1)
	k, ok := c.Context().(*conn)
	if !ok {
		return gnet.None
	}
	s.conns.Delete(k)
	k.gone.Store(true)
	if k.call != nil {
		// A refused Put is harmless: the next write on the call reports ErrGone.
		_ = s.config.Inbox.Put(Disconnect{call: k.call})
	}
	return gnet.None
}

// OnTraffic takes every complete request out of the connection's buffer.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	k, ok := c.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	return k.processBuffered(time.Now())
}

// OnTick closes the connections that have waited too long.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := time.Now()
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).expire(now)
		return true
	})
	return tickPeriod, gnet.None
}

func (s *Server) stop() {
	select {
	case <-s.booted:
	case <-time.After(bootTimeout):
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.engine.Stop(ctx); err != nil {
		s.config.Log.WithField("event", "stop").WithError(err).Warn("server did not stop in time")
	}
}

// probeAddress binds the address once without SO_REUSEPORT, so that a second
// process on the same port is an error rather than a silent share of traffic.
func checkAddressFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	return listener.Close()
}
