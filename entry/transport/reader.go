package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// changed tells the reader which attempts have begun and which need not be
// awaited any more.
type attemptUpdate struct {
	opened []string
	closed []string
}

// reader is responsible for fetching the answers from one side: while any
// attempt is open there, it keeps exactly one read outstanding.
type reader struct {
	config        Config
	side          string
	conn          *porter.Line
	inbox         *ring.Ring
	awaited       map[string]struct{}
	confirmed     []notice.Position
	resume        bool
	readNumber    *atomic.Uint64 // of the last read; outlives the line
	failures      int
	lastFreshness notice.Freshness // newest word of the side
	busy          atomic.Bool
}

func newReader(config Config, side string, line *porter.Line, numbers *atomic.Uint64) *reader {
	return &reader{
		config:     config,
		side:       side,
		conn:       line,
		readNumber: numbers,
		inbox:      ring.New(ring.Config{Name: "read " + side, Capacity: config.Capacity}),
		awaited:    make(map[string]struct{}),
		resume:     true,
	}
}

// String returns the duty's name.
func (r *reader) String() string { return "read " + r.side }

// open tells the reader of attempts before they are sent, and of attempts that
// have ended otherwise than by an answer.
func (r *reader) update(ctx context.Context, opened, closed []string) error {
	if len(opened)+len(closed) == 0 {
		return nil
	}
	return r.inbox.PutWithin(ctx, attemptUpdate{opened: opened, closed: closed}, putTimeout)
}

// Serve reads while any attempt is open and parks otherwise.
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

// read makes one call. Its error means that the usher cannot be told.
func (r *reader) read(ctx context.Context) error {
	wait := r.config.ReadWait
	if len(r.awaited) == 0 {
		wait = 0
	}
	sent := time.Now()
	query := notice.NewRead(notice.ReadConfig{
		Entry:     r.config.Incarnation,
		Number:    r.readNumber.Add(1),
		Resume:    r.resume,
		Positions: r.confirmed,
		Wait:      wait,
		Freshness: r.config.Freshness.Word(sent, r.lastFreshness),
	})
	var pages notice.Pages
	if err := r.conn.Call(notice.ReadMethod, query, &pages, wait+r.config.Timeout); err != nil {
		return r.handleFailure(ctx, err)
	}
	r.resume, r.failures, r.confirmed, r.lastFreshness = false, 0, nil, pages.Freshness()
	r.config.Freshness.Answered(sent, r.lastFreshness)
	if err := r.config.Receiver.PutWithin(ctx, router.NewReadReply(r.side, pages), putTimeout); err != nil {
		r.resume = true
		return err
	}
	r.confirm(pages.Pages())
	return nil
}

// confirm notes what the usher holds, for the next read.
func (r *reader) confirm(pages []notice.Page) {
	for _, page := range pages {
		ended := page.State() != notice.Open
		r.confirmed = append(r.confirmed, notice.NewPosition(notice.PositionConfig{
			Attempt: page.Attempt(),
			Offset:  page.Offset() + int64(len(page.Data())),
			Ended:   ended,
		}))
		if ended {
			delete(r.awaited, page.Attempt())
		}
	}
}

// failed replaces the connection and, after several failures in a row, reports
// the side as lost. A side that answers with an error is not lost.
func (r *reader) handleFailure(ctx context.Context, cause error) error {
	r.resume = true
	if !porter.Refused(cause) {
		r.failures++
	}
	if r.failures < maxReadFailures {
		return crew.Pause(ctx, readRetryDelay)
	}
	r.config.Log.WithFields(logrus.Fields{"event": "side_lost", "side": r.side, "attempts": len(r.awaited)}).WithError(cause).Warn("side cannot be read")
	r.failures, r.confirmed = 0, nil
	clear(r.awaited)
	return r.config.Receiver.PutWithin(ctx, router.NewSideUnreachable(r.side), putTimeout)
}
