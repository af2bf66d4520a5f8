package proxy

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/descriptors"
	"sesamewell.example/commons/ring"
)

// dialRequest requests that a connection to a backend server be opened.
type dialRequest struct {
	conn    *backendConn
	address string
}

// dialFailed reports to the event loop that a connection could not be opened.
type dialFailed struct {
	conn   *backendConn
	ranOut bool // no descriptor was left
}

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
// error only if ctx ends before a failure can be reported to the event loop.
func (d *dialer) dial(ctx context.Context, job dialRequest) error {
	log := d.proxy.config.Log.WithFields(logrus.Fields{"event": "dial", "backend": job.conn.pool.backend, "address": job.address})
	conn, err := d.proxy.config.Dial(job.address, dialTimeout)
	if err != nil {
		log.WithError(err).Info("dialling the backend server failed")
		return d.reportFailure(ctx, job, err)
	}
	err = d.proxy.run.Load().enroll(gnet.NewContext(ctx, job.conn), conn)
	if err == nil && !job.conn.opened.Load() {
		err = errNotOpened
	}
	if err != nil {
		log.WithError(err).Warn("connection not registered with the event loop")
		return d.reportFailure(ctx, job, err)
	}
	return nil
}

// reportFailure reports to the event loop that a connection could not be opened. It
// waits for room in the inbox, since the pool would count the connection for ever.
func (d *dialer) reportFailure(ctx context.Context, job dialRequest, cause error) error {
	for {
		err := d.proxy.inbox.PutWithin(ctx, dialFailed{conn: job.conn, ranOut: descriptors.RanOut(cause)}, reportWait)
		if err == nil {
			d.proxy.wake()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		d.proxy.config.Log.WithField("event", "dial").WithError(err).Warn("failure of a dial not reported yet: inbox of the event loop full")
	}
}
