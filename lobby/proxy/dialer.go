package proxy

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/ring"
)

// dialRequest requests a new connection to a backend server.
type dialRequest struct {
	pool    *pool
	address string
}

// dialFailed reports to the event loop that a connection could not be opened.
type dialFailed struct{ pool *pool }

// Dial opens a connection to an address within a time limit.
type Dial func(address string, limit time.Duration) (net.Conn, error)

// dialer opens connections one at a time. It has its own thread because dialling a
// powered-off host blocks until the timeout.
type dialer struct {
	proxy *Proxy
	dials *ring.Ring
}

// String returns the thread's name, which supervision events carry.
func (*dialer) String() string { return "dialer" }

// Serve opens the requested connections until ctx ends.
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

// dial opens a connection and registers it with the event loop. It returns an
// error only if a failure cannot be reported to the event loop.
func (d *dialer) dial(ctx context.Context, job dialRequest) error {
	log := d.proxy.config.Log.WithFields(logrus.Fields{"event": "dial", "backend": job.pool.backend, "address": job.address})
	conn, err := d.proxy.config.Dial(job.address, dialTimeout)
	if err != nil {
		log.WithError(err).Info("dialling the backend server failed")
		return d.proxy.Put(dialFailed{pool: job.pool})
	}
	b := &backendConn{proxy: d.proxy, pool: job.pool}
	result, err := d.proxy.loop().Enroll(gnet.NewContext(ctx, b), conn)
	if err == nil {
		err = (<-result).Err
	}
	if err != nil {
		log.WithError(err).Warn("connection not registered with the event loop")
		return d.proxy.Put(dialFailed{pool: job.pool})
	}
	return nil
}
