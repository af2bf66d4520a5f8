package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// cancel requests the cancellation of an attempt.
type cancel struct {
	attempt string
}

// sender submits attempts and cancellations to one side. Those that are queued
// together go out in one batch.
type sender struct {
	config        Config
	side          string
	conn          *peerrpc.Client
	reader        *reader
	inbox         *ring.Ring
	incarnation   atomic.Pointer[string] // incarnation of the side; nil until it has answered
	lastFreshness protocol.Freshness     // freshness information of the side's last answer
}

func newSender(config Config, side string, conn *peerrpc.Client, reader *reader) *sender {
	return &sender{
		config: config,
		side:   side,
		conn:   conn,
		reader: reader,
		inbox:  ring.New(ring.Config{Name: "send " + side, Capacity: config.Capacity}),
	}
}

// String returns the thread's name, which supervision events carry.
func (s *sender) String() string { return "send " + s.side }

// Serve sends the queued items in batches until ctx ends.
func (s *sender) Serve(ctx context.Context) error {
	items := make([]any, maxBatch)
	for {
		first, err := s.inbox.Take(ctx)
		if err != nil {
			return err
		}
		items[0] = first
		n := 1 + s.inbox.Drain(items[1:])
		for rest := items[:n]; len(rest) > 0; {
			size := batchSize(rest)
			if err := s.send(ctx, rest[:size]); err != nil {
				return err
			}
			rest = rest[size:]
		}
	}
}

// batchSize returns the number of items for the next batch: as many as have bodies of
// maxBatchBytes in all, but at least one.
func batchSize(items []any) int {
	bytes := 0
	for i, item := range items {
		if submit, ok := item.(protocol.Submit); ok {
			bytes += len(submit.Body())
		}
		if i > 0 && bytes > maxBatchBytes {
			return i
		}
	}
	return len(items)
}

// send submits items as one batch and passes the result to the receiver. It
// returns an error only if the reader or the receiver does not take a message.
func (s *sender) send(ctx context.Context, items []any) error {
	config := protocol.BatchConfig{Entry: s.config.Incarnation}
	var ids []string
	for _, item := range items {
		switch m := item.(type) {
		case protocol.Submit:
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
		s.config.Log.WithFields(logrus.Fields{"event": "batch_failed", "side": s.side, "attempts": len(ids)}).WithError(err).Warn("batch could not be submitted")
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

// submit sends a batch until it is answered, at most maxSendTries times. Every
// batch names the incarnation of the side that it is meant for. An incarnation
// accepts each attempt only once, so a batch can be sent again after its answer
// was lost. The result sent reports whether the side may have received the batch.
func (s *sender) submit(config protocol.BatchConfig) (receipts protocol.Receipts, sent bool, err error) {
	for range maxSendTries {
		if err = s.fetchIncarnation(); err != nil {
			continue
		}
		config.Side = *s.incarnation.Load()
		receipts = protocol.Receipts{}
		sentAt := time.Now()
		config.Freshness = s.config.Freshness.Freshness(sentAt, s.lastFreshness)
		err = s.conn.Call(protocol.SubmitMethod, protocol.NewBatch(config), &receipts, s.config.Timeout)
		if err == nil {
			s.lastFreshness = receipts.Freshness()
			s.config.Freshness.Answered(sentAt, s.lastFreshness)
		}
		if err == nil && s.detectRestart(config, receipts) && !sent {
			continue
		}
		if err == nil {
			return s.checkReceipts(config, receipts, sent)
		}
		if errors.Is(err, peerrpc.ErrDial) || peerrpc.IsServerError(err) {
			continue
		}
		sent = true
	}
	return receipts, sent, err
}

// fetchIncarnation requests the side's incarnation with an empty batch, unless it
// is already stored.
func (s *sender) fetchIncarnation() error {
	if s.incarnation.Load() != nil {
		return nil
	}
	empty := protocol.NewBatch(protocol.BatchConfig{Entry: s.config.Incarnation})
	var receipts protocol.Receipts
	if err := s.conn.Call(protocol.SubmitMethod, empty, &receipts, s.config.Timeout); err != nil {
		return err
	}
	s.initIncarnation(receipts.Side())
	return nil
}

// detectRestart stores the incarnation that answered and reports whether the
// batch was meant for another one. If so, the one that answered accepted nothing
// of it.
func (s *sender) detectRestart(config protocol.BatchConfig, receipts protocol.Receipts) bool {
	incarnation := receipts.Side()
	s.incarnation.Store(&incarnation)
	return config.Side != incarnation
}

// checkReceipts returns the receipts. It returns an error if they come from
// another incarnation than the batch was meant for after an earlier copy was
// sent: whether that copy was accepted is unknown then.
func (s *sender) checkReceipts(config protocol.BatchConfig, receipts protocol.Receipts, sent bool) (protocol.Receipts, bool, error) {
	if sent && config.Side != receipts.Side() {
		return receipts, sent, errors.New("side was restarted; outcome of the batch is unknown")
	}
	return receipts, sent, nil
}

// initIncarnation stores the side's incarnation unless one is already stored.
func (s *sender) initIncarnation(incarnation string) { s.incarnation.CompareAndSwap(nil, &incarnation) }

// reportFailure closes the attempts of a batch that was not answered and reports
// them to the receiver.
func (s *sender) reportFailure(ctx context.Context, ids []string, sent bool) error {
	if err := s.reader.update(ctx, nil, ids); err != nil {
		return err
	}
	if len(ids) == 0 {
		return nil
	}
	return s.config.Receiver.PutWithin(ctx, router.NewSubmitFailed(s.side, ids, sent), putTimeout)
}

const (
	maxBatch        = 256                    // items taken from a ring at once, and so in one batch
	maxBatchBytes   = 2 << 20                // bytes of the bodies in a batch of several requests
	maxSendTries    = 3                      // tries to send one batch
	putTimeout      = 5 * time.Second        // longest wait for room in another thread's ring
	inboxCapacity   = 16                     // revisions in the pool's ring
	idleCheckPeriod = time.Second            // time between checks for idle clients
	probeCapacity   = 256                    // queries in the ring of a prober
	maxProbes       = 64                     // queries in one call
	maxReadFailures = 3                      // consecutive failed reads after which a side counts as unreachable
	readRetryDelay  = 100 * time.Millisecond // wait after a failed read
)
