// Package peerrpc carries calls between the fleet's processes: net/rpc over TCP,
// optionally with mutual TLS. A client keeps one connection to its peer.
package peerrpc

import (
	"cmp"
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/descriptors"
	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/supervisor"
)

// minAcceptPause and maxAcceptPause bound the pauses between two attempts to accept a
// connection while no descriptor is left.
const (
	minAcceptPause = 10 * time.Millisecond
	maxAcceptPause = time.Second
)

// heldMessages is the number of messages of the maximum size that calls may hold by default.
const heldMessages = 2

// Service is a receiver whose methods peers may call.
type Service struct {
	Name     string // service name in net/rpc
	Receiver any    // value with exported methods in the form that net/rpc requires
}

// ServerConfig holds the construction parameters of a Server.
type ServerConfig struct {
	Address  string // IP:port to listen on
	Services []Service
	Identity *Identity // nil for plain-text connections, on loopback only
	Log      *logrus.Entry

	MaxMessage int64 // maximum size of a message of a peer in bytes; DefaultMaxMessage if zero
	MaxHeld    int64 // maximum number of bytes of calls that are being read or run, over all peers; two messages if zero
}

// Server accepts connections from other processes and serves their calls.
type Server struct {
	config ServerConfig
}

// NewServer returns a server that starts to listen when Serve is called.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// Serve accepts connections until ctx ends, then closes all of them and returns
// the context's error.
func (s *Server) Serve(ctx context.Context) error {
	server := rpc.NewServer()
	for _, service := range s.config.Services {
		if err := server.RegisterName(service.Name, service.Receiver); err != nil {
			return errors.Wrapf(err, "register service %s", service.Name)
		}
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", s.config.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.config.Address)
	}
	tracked := &trackedListener{Listener: listener, identity: s.config.Identity, log: s.config.Log, ctx: ctx, conns: make(map[net.Conn]struct{})}
	stop := context.AfterFunc(ctx, tracked.closeAll)
	defer stop()
	defer tracked.closeAll()
	s.accept(server, tracked)
	if err := ctx.Err(); err != nil {
		return err
	}
	return errors.Newf("listener on %s closed", s.config.Address)
}

// accept serves connections, each on a goroutine of its own, until the listener fails.
func (s *Server) accept(server *rpc.Server, listener net.Listener) {
	account := memory.NewBudgetOf(cmp.Or(s.config.MaxHeld, heldMessages*cmp.Or(s.config.MaxMessage, DefaultMaxMessage)))
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			codec := newServerCodec(conn, s.config, account)
			server.ServeCodec(codec)
			codec.end()
		}()
	}
}

// trackedListener records its accepted connections, so that they can be closed
// together with the listener; net/rpc's server does not close them.
type trackedListener struct {
	net.Listener

	identity *Identity
	log      *logrus.Entry
	ctx      context.Context // ends the pauses of Accept

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Accept returns the next connection, wrapped in TLS if there is an identity. While no
// descriptor is left it waits.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for pause := minAcceptPause; descriptors.RanOut(err); pause = min(2*pause, maxAcceptPause) {
		l.log.WithField("event", "accept").WithError(err).Warn("connection of a peer not accepted yet")
		if err := supervisor.Sleep(l.ctx, pause); err != nil {
			return nil, err
		}
		conn, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.CombineErrors(net.ErrClosed, conn.Close())
	}
	l.conns[conn] = struct{}{}
	return &trackedConn{Conn: l.identity.wrapAccepted(countedConn{Conn: conn}), raw: conn, listener: l}, nil
}

func (l *trackedListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.Listener.Close()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *trackedListener) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// trackedConn removes itself from its listener's set when it is closed.
type trackedConn struct {
	net.Conn

	raw      net.Conn
	listener *trackedListener
}

// Close closes the connection and removes it from the listener's set.
func (c *trackedConn) Close() error {
	c.listener.remove(c.raw)
	return c.Conn.Close()
}
