package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// cancel asks the sender to end an attempt.
type cancel struct {
	attempt string
}

// sender is responsible for handing attempts and cancellations to one side, as
// many of them in one call as wait together.
type sender struct {
	config        Config
	side          string
	conn          *porter.Line
	reader        *reader
	inbox         *ring.Ring
	incarnation   atomic.Pointer[string] // incarnation of the side
	lastFreshness notice.Freshness       // newest word of the side
}

func newSender(config Config, side string, line *porter.Line, reader *reader) *sender {
	return &sender{
		config: config,
		side:   side,
		conn:   line,
		reader: reader,
		inbox:  ring.New(ring.Config{Name: "send " + side, Capacity: config.Capacity}),
	}
}

// String returns the duty's name.
func (s *sender) String() string { return "send " + s.side }

// Serve sends batches until ctx ends.
func (s *sender) Serve(ctx context.Context) error {
	items := make([]any, maxBatch)
	for {
		first, err := s.inbox.Take(ctx)
		if err != nil {
			return err
		}
		items[0] = first
		n := 1 + s.inbox.Drain(items[1:])
		if err := s.send(ctx, items[:n]); err != nil {
			return err
		}
	}
}

// send makes one batch of items. Its error means that the usher cannot be told.
func (s *sender) send(ctx context.Context, items []any) error {
	config := notice.BatchConfig{Entry: s.config.Incarnation}
	var ids []string
	for _, item := range items {
		switch m := item.(type) {
		case notice.Submit:
			config.Submits = append(config.Submits, m)
			ids = append(ids, m.Attempt())
		case cancel:
			config.Cancels = append(config.Cancels, m.attempt)
		}
	}
	if err := s.reader.update(ctx, ids, config.Cancels); err != nil {
		return err
	}
	receipts, sent, err := s.submit(config)
	if err != nil {
		s.config.Log.WithFields(logrus.Fields{"event": "batch_failed", "side": s.side, "attempts": len(ids)}).WithError(err).Warn("side cannot be reached")
		return s.reportFailure(ctx, ids, sent)
	}
	var refused []string
	for _, receipt := range receipts.Receipts() {
		if !receipt.Accepted() {
			refused = append(refused, receipt.Attempt())
		}
	}
	if err := s.reader.update(ctx, nil, refused); err != nil {
		return err
	}
	return s.config.Receiver.PutWithin(ctx, router.NewSubmitReply(s.side, receipts), putTimeout)
}

// exchange sends a batch until there is an answer. Every batch names the
// incarnation that it is meant for, which takes each attempt once, so that it
// can be sent again when its answer was lost. The result tells whether the side
// may have the batch.
func (s *sender) submit(config notice.BatchConfig) (receipts notice.Receipts, sent bool, err error) {
	for range maxSendTries {
		if err = s.fetchIncarnation(); err != nil {
			continue
		}
		config.Side = *s.incarnation.Load()
		receipts = notice.Receipts{}
		begun := time.Now()
		config.Freshness = s.config.Freshness.Word(begun, s.lastFreshness)
		err = s.conn.Call(notice.SubmitMethod, notice.NewBatch(config), &receipts, s.config.Timeout)
		if err == nil {
			s.lastFreshness = receipts.Freshness()
			s.config.Freshness.Answered(begun, s.lastFreshness)
		}
		if err == nil && s.detectRestart(config, receipts) && !sent {
			continue
		}
		if err == nil {
			return s.checkReceipts(config, receipts, sent)
		}
		if errors.Is(err, porter.ErrDial) || porter.Refused(err) {
			continue
		}
		sent = true
	}
	return receipts, sent, err
}

// introduce asks an unknown side for its incarnation by an empty batch.
func (s *sender) fetchIncarnation() error {
	if s.incarnation.Load() != nil {
		return nil
	}
	empty := notice.NewBatch(notice.BatchConfig{Entry: s.config.Incarnation})
	var receipts notice.Receipts
	if err := s.conn.Call(notice.SubmitMethod, empty, &receipts, s.config.Timeout); err != nil {
		return err
	}
	s.initIncarnation(receipts.Side())
	return nil
}

// restarted notes the side's incarnation and reports whether the batch was
// meant for an earlier one, which means that nothing of it was taken.
func (s *sender) detectRestart(config notice.BatchConfig, receipts notice.Receipts) bool {
	incarnation := receipts.Side()
	s.incarnation.Store(&incarnation)
	return config.Side != incarnation
}

// accept returns the receipts. An answer of another incarnation than the batch
// was meant for leaves the fate of an earlier copy open.
func (s *sender) checkReceipts(config notice.BatchConfig, receipts notice.Receipts, sent bool) (notice.Receipts, bool, error) {
	if sent && config.Side != receipts.Side() {
		return receipts, sent, errors.New("the side was restarted")
	}
	return receipts, sent, nil
}

// learn notes the side's incarnation before anything was sent to it.
func (s *sender) initIncarnation(incarnation string) { s.incarnation.CompareAndSwap(nil, &incarnation) }

func (s *sender) reportFailure(ctx context.Context, ids []string, sent bool) error {
	if err := s.reader.update(ctx, nil, ids); err != nil {
		return err
	}
	if len(ids) == 0 {
		return nil
	}
	return s.config.Receiver.PutWithin(ctx, router.NewSubmitFailed(s.side, ids, sent), putTimeout)
}

// Named limits of a line.
const (
	maxBatch        = 256             // messages in one batch
	maxSendTries    = 3               // tries to send one batch
	putTimeout      = 5 * time.Second // longest wait for room in another duty's ring
	inboxCapacity   = 16              // revisions that may wait
	idleCheckPeriod = time.Second     // time between checks for idle lines
	probeCapacity   = 256             // requests that may wait to be asked for
	maxProbes       = 64              // requests in one probe
	maxReadFailures = 3               // reads in a row that fail before a side counts as lost
	readRetryDelay  = 100 * time.Millisecond
)
