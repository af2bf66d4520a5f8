package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// The kernel ends the connections of a process that was killed in order, as the process does
// at the end of an answer without a length. Such an answer is complete only if its backend
// server has outlived it: a moment later it does not refuse connections.

const (
	confirmers     = 4                      // threads that open connections for confirmations
	confirmTimeout = 250 * time.Millisecond // limit on such a connection
	maxConfirmWait = 500 * time.Millisecond // time for which an answer waits for its turn; it is taken for complete then
	// confirmDelay is the time from the end of a connection to its confirmation, in which the
	// kernel closes the listening socket of a process that was killed.
	confirmDelay = 40 * time.Millisecond
)

// confirmationRequest requests to confirm that a backend server has outlived an answer.
type confirmationRequest struct {
	conn    *backendConn
	address string
	due     time.Time
}

// confirmation tells whether a backend server has ended with an answer.
type confirmation struct {
	conn  *backendConn
	ended bool
}

// awaitConfirmation has it confirmed that the end of the connection, in order, is that of its
// answer. An answer that cannot be confirmed for want of room is taken for complete.
func (b *backendConn) awaitConfirmation(now time.Time) {
	request := confirmationRequest{conn: b, address: b.pool.address, due: now.Add(confirmDelay)}
	if b.proxy.confirmations.Put(request) != nil {
		b.finish(now)
	}
}

// confirm ends an answer that has waited for its confirmation, unless its request has ended.
func (b *backendConn) confirm(now time.Time, ended bool) {
	switch {
	case b.exchange == nil:
	case ended:
		b.logExchange("unconfirmed").Info("answer taken for incomplete: its backend server refuses connections")
		b.reportIncomplete(true)
		b.pool.disconnected()
	default:
		b.finish(now)
	}
}

// confirmer confirms answers one at a time. It has its own thread because it waits, and dialling
// a powered-off host blocks until the timeout.
type confirmer struct {
	proxy    *Proxy
	requests *ring.Ring
}

// String returns the thread's name, which supervision events carry.
func (*confirmer) String() string { return "confirmer" }

// Serve confirms answers until ctx ends.
func (c *confirmer) Serve(ctx context.Context) error {
	for {
		item, err := c.requests.Take(ctx)
		if err != nil {
			return err
		}
		request, ok := item.(confirmationRequest)
		if !ok {
			continue
		}
		if err := supervisor.Sleep(ctx, time.Until(request.due)); err != nil {
			return err
		}
		late := time.Since(request.due) > maxConfirmWait
		if err := c.report(ctx, confirmation{conn: request.conn, ended: !late && c.hasEnded(request.address)}); err != nil {
			return err
		}
	}
}

// report passes a confirmation to the event loop. It waits for room in the inbox, since the
// answer would never end. It returns an error only if ctx ends before.
func (c *confirmer) report(ctx context.Context, result confirmation) error {
	for {
		err := c.proxy.inbox.PutWithin(ctx, result, reportWait)
		if err == nil {
			c.proxy.wake()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.proxy.config.Log.WithField("event", "confirm").WithError(err).Warn("confirmation of an answer not reported yet: inbox of the event loop full")
	}
}

// hasEnded reports whether a backend server refuses connections. Any other failure to open one
// says nothing of it: this process may lack something, and a machine without power, which does
// not answer, has not ended its connections in order either.
func (c *confirmer) hasEnded(address string) bool {
	conn, err := c.proxy.config.Dial(address, confirmTimeout)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
