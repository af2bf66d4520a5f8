package peerrpc

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a call. After ErrTimeout the call may have been carried out; after
// ErrDial nothing was sent.
var (
	ErrTimeout = errors.New("no answer before the deadline")
	ErrDial    = errors.New("peer cannot be reached")
)

// ClientConfig holds the construction parameters of a Client.
type ClientConfig struct {
	Address     string // IP:port of the peer
	DialTimeout time.Duration
	Identity    *Identity // nil for a plain-text connection, on loopback only
	MaxMessage  int64     // maximum size of a reply in bytes; DefaultMaxMessage if zero
}

// Client calls one peer process over one connection. It dials on demand and
// replaces a connection that fails or on which a call times out. Calls may be
// concurrent.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	client *rpc.Client
}

// NewClient returns a client that dials on its first call.
func NewClient(config ClientConfig) *Client { return &Client{config: config} }

// Call runs method at the peer and stores its result in reply. It returns ErrDial
// if nothing was sent, an rpc.ServerError if the method returned an error, and
// another error, such as ErrTimeout, if the outcome is unknown.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	pending := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.Done:
		if pending.Error != nil && !IsServerError(pending.Error) {
			c.drop(client)
		}
		return pending.Error
	case <-timer.C:
		c.drop(client)
		return errors.Wrapf(ErrTimeout, "%s at %s", method, c.config.Address)
	}
}

// Close closes the connection; a later call dials again.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.mu.Unlock()
	if client != nil {
		c.drop(client)
	}
}

func (c *Client) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, nil
	}
	conn, err := net.DialTimeout("tcp", c.config.Address, c.config.DialTimeout)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", c.config.Address), ErrDial)
	}
	secured, err := c.config.Identity.handshake(countedConn{Conn: conn})
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", c.config.Address), ErrDial)
	}
	c.client = rpc.NewClient(limitedConn{messageReader: newMessageReader(secured, c.config.MaxMessage, nil), WriteCloser: secured})
	return c.client, nil
}

func (c *Client) drop(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
	}
	_ = client.Close()
}

// IsServerError reports whether err is an error that the peer's method returned.
func IsServerError(err error) bool {
	var failed rpc.ServerError
	return errors.As(err, &failed)
}
