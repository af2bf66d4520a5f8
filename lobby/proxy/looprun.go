package proxy

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
)

// errLoopDown is returned for a connection that is opened while the event loop does not
// run.
var errLoopDown = errors.New("event loop does not run")

// errNotOpened is returned for a connection that the event loop has taken and not opened.
var errNotOpened = errors.New("event loop has not opened the connection")

// loopRun is one run of the event loop, from the start of Proxy.Serve to its return. It
// is safe for concurrent use.
type loopRun struct {
	eventLoop atomic.Pointer[gnet.EventLoop] // nil until a connection has opened
	ended     chan struct{}
}

func newLoopRun() *loopRun { return &loopRun{ended: make(chan struct{})} }

// start sets the event loop, which its library gives only with a connection. It reports
// whether the loop was not known before.
func (r *loopRun) start(loop gnet.EventLoop) bool {
	return r.eventLoop.Load() == nil && r.eventLoop.CompareAndSwap(nil, &loop)
}

// loop returns the event loop, nil if it is not known yet.
func (r *loopRun) loop() gnet.EventLoop {
	if loop := r.eventLoop.Load(); loop != nil {
		return *loop
	}
	return nil
}

// end records that the event loop has ended.
func (r *loopRun) end() { close(r.ended) }

// enroll registers a connection with the event loop. The connection is closed if that
// fails.
func (r *loopRun) enroll(ctx context.Context, conn net.Conn) error {
	loop := r.loop()
	if loop == nil {
		return errors.CombineErrors(errLoopDown, conn.Close())
	}
	result, err := loop.Enroll(ctx, conn)
	if err != nil {
		return errors.CombineErrors(err, conn.Close())
	}
	select {
	case registered := <-result:
		return registered.Err
	case <-r.ended: // the event loop may have opened the connection just before
		return errors.CombineErrors(errLoopDown, conn.Close())
	}
}
