// Package porter carries calls between the system's own processes: net/rpc over
// TCP, one connection for a pair of processes.
package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Service is one receiver of calls.
type Service struct {
	Name     string // name under which its methods are called
	Receiver any    // in the form that net/rpc asks
}

// DoorConfig holds the construction parameters of a Door.
type ServerConfig struct {
	Address  string // IP:port to listen on
	Services []Service
	Identity *Identity // nil leaves links in plain text, for loopback only
	Log      *logrus.Entry
}

// Door is responsible for accepting the connections of other processes and
// serving their calls.
type Server struct {
	config ServerConfig
}

// NewDoor returns a door that listens once it is served.
func NewServer(config ServerConfig) *Server { return &Server{config: config} }

// Serve accepts connections until ctx ends, then closes all of them.
func (d *Server) Serve(ctx context.Context) error {
	server := rpc.NewServer()
	for _, service := range d.config.Services {
		if err := server.RegisterName(service.Name, service.Receiver); err != nil {
			return errors.Wrapf(err, "register service %s", service.Name)
		}
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", d.config.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", d.config.Address)
	}
	tracked := &trackedListener{Listener: listener, identity: d.config.Identity, conns: make(map[net.Conn]struct{})}
	stop := context.AfterFunc(ctx, tracked.closeAll)
	defer stop()
	defer tracked.closeAll()
	server.Accept(tracked)
	if err := ctx.Err(); err != nil {
		return err
	}
	return errors.Newf("listener on %s closed", d.config.Address)
}

// trackedListener is responsible for closing accepted connections together
// with their listener.
type trackedListener struct {
	net.Listener

	identity *Identity

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Accept returns the next connection.
func (t *trackedListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errors.CombineErrors(net.ErrClosed, conn.Close())
	}
	t.conns[conn] = struct{}{}
	return &trackedConn{Conn: t.identity.wrapAccepted(countedConn{Conn: conn}), raw: conn, listener: t}, nil
}

func (t *trackedListener) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	_ = t.Listener.Close()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

func (t *trackedListener) remove(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// trackedConn is responsible for leaving its listener's set when it closes.
type trackedConn struct {
	net.Conn

	raw      net.Conn
	listener *trackedListener
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.listener.remove(c.raw)
	return c.Conn.Close()
}
