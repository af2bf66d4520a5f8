package peerrpc

import (
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a line. ErrTimeout leaves open whether the call was carried out.
var (
	ErrTimeout = errors.New("no answer before the deadline")
	ErrDial    = errors.New("peer cannot be reached")
)

// LineConfig holds the construction parameters of a Line.
type ClientConfig struct {
	Address     string // IP:port of the peer
	DialTimeout time.Duration
	Identity    *Identity // nil leaves the link in plain text, for loopback only
}

// Line is responsible for the one connection to a peer process: it dials on
// demand and replaces a connection that fails or goes silent. Its calls may
// overlap.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	client *rpc.Client
}

// NewLine returns a line that dials on its first call.
func NewClient(config ClientConfig) *Client { return &Client{config: config} }

// Call runs method at the peer and fills reply. It returns ErrDial when
// nothing was sent, an rpc.ServerError when the method failed, and another
// error when the outcome is unknown.
func (l *Client) Call(method string, args, reply any, limit time.Duration) error {
	client, err := l.connect()
	if err != nil {
		return err
	}
	pending := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-pending.Done:
		if pending.Error != nil && !IsServerError(pending.Error) {
			l.drop(client)
		}
		return pending.Error
	case <-timer.C:
		l.drop(client)
		return errors.Wrapf(ErrTimeout, "%s at %s", method, l.config.Address)
	}
}

// Close closes the connection; a later call dials anew.
func (l *Client) Close() {
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	if client != nil {
		l.drop(client)
	}
}

func (l *Client) connect() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	conn, err := net.DialTimeout("tcp", l.config.Address, l.config.DialTimeout)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", l.config.Address), ErrDial)
	}
	secured, err := l.config.Identity.handshake(countedConn{Conn: conn})
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", l.config.Address), ErrDial)
	}
	l.client = rpc.NewClient(secured)
	return l.client, nil
}

func (l *Client) drop(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.client = nil
	}
	_ = client.Close()
}

// Refused reports whether err is the peer's own answer that it took nothing.
func IsServerError(err error) bool {
	var failed rpc.ServerError
	return errors.As(err, &failed)
}
