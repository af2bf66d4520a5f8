package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/entry/router"
)

// attemptUpdate lists the attempts whose answers are to be read from now on
// (opened), and those whose answers are no longer needed (closed).
type attemptUpdate struct {
	opened []string
	closed []string
}

// reader fetches the answers of one side by long polling: while any attempt is
// open there, exactly one read is outstanding.
type reader struct {
	config        Config
	side          string
	conn          *peerrpc.Client
	inbox         *ring.Ring
	awaited       map[string]struct{} // attempts whose answers are incomplete
	confirmed     []protocol.Position // data received, to be confirmed by the next read
	resume        bool                // the next read requests unconfirmed data again
	readNumber    *atomic.Uint64      // number of the last read; shared by all clients and outlives them
	failures      int                 // consecutive failed reads
	lastFreshness protocol.Freshness  // freshness information of the side's last answer
	busy          atomic.Bool         // false while the reader waits for attempts
}

func newReader(config Config, side string, conn *peerrpc.Client, readNumber *atomic.Uint64) *reader {
	return &reader{
		config:     config,
		side:       side,
		conn:       conn,
		readNumber: readNumber,
		inbox:      ring.New(ring.Config{Name: "read " + side, Capacity: config.Capacity}),
		awaited:    make(map[string]struct{}),
		resume:     true,
	}
}

// String returns the thread's name, which supervision events carry.
func (r *reader) String() string { return "read " + r.side }

// update queues a change of the attempts to be read, waiting up to putTimeout
// for room. Attempts must be opened before they are sent, and closed when they
// end without an answer.
func (r *reader) update(ctx context.Context, opened, closed []string) error {
	if len(opened)+len(closed) == 0 {
		return nil
	}
	return r.inbox.PutWithin(ctx, attemptUpdate{opened: opened, closed: closed}, putTimeout)
}

// Serve reads while any attempt is open and blocks on the inbox otherwise, until
// ctx ends.
func (r *reader) Serve(ctx context.Context) error {
	items := make([]any, maxBatch)
	for {
		if len(r.awaited) == 0 && len(r.confirmed) == 0 {
			r.busy.Store(false)
			item, err := r.inbox.Take(ctx)
			if err != nil {
				return err
			}
			r.apply(item)
		}
		r.busy.Store(true)
		for _, item := range items[:r.inbox.Drain(items)] {
			r.apply(item)
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := r.read(ctx); err != nil {
			return err
		}
	}
}

// apply applies an attemptUpdate to the set of awaited attempts.
func (r *reader) apply(item any) {
	change, ok := item.(attemptUpdate)
	if !ok {
		return
	}
	for _, attempt := range change.opened {
		r.awaited[attempt] = struct{}{}
	}
	for _, attempt := range change.closed {
		delete(r.awaited, attempt)
	}
}

// read makes one call and passes its result to the receiver. It returns an
// error only if the receiver does not take the result or ctx ends.
func (r *reader) read(ctx context.Context) error {
	wait := r.config.ReadWait
	if len(r.awaited) == 0 {
		wait = 0
	}
	sentAt := time.Now()
	query := protocol.NewRead(protocol.ReadConfig{
		Entry:     r.config.Incarnation,
		Number:    r.readNumber.Add(1),
		Resume:    r.resume,
		Positions: r.confirmed,
		Wait:      wait,
		Freshness: r.config.Freshness.Freshness(sentAt, r.lastFreshness),
	})
	var pages protocol.Pages
	if err := r.conn.Call(protocol.ReadMethod, query, &pages, wait+r.config.Timeout); err != nil {
		return r.handleFailure(ctx, err)
	}
	r.resume, r.failures, r.confirmed, r.lastFreshness = false, 0, nil, pages.Freshness()
	r.config.Freshness.Answered(sentAt, r.lastFreshness)
	if err := r.config.Receiver.PutWithin(ctx, router.NewReadReply(r.side, pages), putTimeout); err != nil {
		r.resume = true
		return err
	}
	r.confirm(pages.Pages())
	return nil
}

// confirm records the data that the receiver has taken, which the next read
// confirms to the side.
func (r *reader) confirm(pages []protocol.Page) {
	for _, page := range pages {
		ended := page.State() != protocol.AnswerOpen
		r.confirmed = append(r.confirmed, protocol.NewPosition(protocol.PositionConfig{
			Attempt: page.Attempt(),
			Offset:  page.Offset() + int64(len(page.Data())),
			Ended:   ended,
		}))
		if ended {
			delete(r.awaited, page.Attempt())
		}
	}
}

// handleFailure lets the next read resume and, after maxReadFailures failures in
// a row, reports the side as unreachable. Answers that carry an error do not
// count as failures.
func (r *reader) handleFailure(ctx context.Context, cause error) error {
	r.resume = true
	if !peerrpc.IsServerError(cause) {
		r.failures++
	}
	if r.failures < maxReadFailures {
		return supervisor.Sleep(ctx, readRetryDelay)
	}
	r.config.Log.WithFields(logrus.Fields{"event": "side_lost", "side": r.side, "attempts": len(r.awaited)}).WithError(cause).Warn("reads from the side failed repeatedly; giving up its open attempts")
	r.failures, r.confirmed = 0, nil
	clear(r.awaited)
	return r.config.Receiver.PutWithin(ctx, router.NewSideUnreachable(r.side), putTimeout)
}
