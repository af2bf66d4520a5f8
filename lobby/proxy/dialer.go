package proxy

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/ring"
)

// dial asks for one connection to a backend server.
type dialRequest struct {
	pool    *pool
	address string
}

// dialFailed tells that a connection could not be made.
type dialFailed struct{ pool *pool }

// Dial opens a connection within a time limit.
type Dial func(address string, limit time.Duration) (net.Conn, error)

// dialer is responsible for one connection at a time: a thread of its own,
// since a peer without power lets it wait.
type dialer struct {
	proxy *Proxy
	dials *ring.Ring
}

// String returns the duty's name.
func (*dialer) String() string { return "dialer" }

// Serve dials until ctx ends.
func (d *dialer) Serve(ctx context.Context) error {
	for {
		job, err := d.dials.Take(ctx)
		if err != nil {
			return err
		}
		if j, ok := job.(dialRequest); ok {
			if err := d.dial(ctx, j); err != nil {
				return err
			}
		}
	}
}

// dial hands a new connection over to the event loop. Its error means that the
// loop cannot be told.
func (d *dialer) dial(ctx context.Context, job dialRequest) error {
	log := d.proxy.config.Log.WithFields(logrus.Fields{"event": "dial", "backend": job.pool.backend, "address": job.address})
	conn, err := d.proxy.config.Dial(job.address, dialTimeout)
	if err != nil {
		log.WithError(err).Info("backend server cannot be reached")
		return d.proxy.Put(dialFailed{pool: job.pool})
	}
	l := &backendConn{proxy: d.proxy, pool: job.pool}
	result, err := d.proxy.loop().Enroll(gnet.NewContext(ctx, l), conn)
	if err == nil {
		err = (<-result).Err
	}
	if err != nil {
		log.WithError(err).Warn("connection cannot be watched")
		return d.proxy.Put(dialFailed{pool: job.pool})
	}
	return nil
}
