package idempotency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/ring"
)

// Log is the part of the log service's client that the appender uses.
type Log interface {
	Append(record []byte) (int64, error)
}

// appender is responsible for writing intents and outcomes to the log, as many
// of them in one record as wait together, at a bounded pace.
type appender struct {
	log         *logrus.Entry
	service     Log
	coordinator *ring.Ring // receives NotAppended
	inbox       *ring.Ring // Announce and Report
	spacing     atomic.Int64
}

func newAppender(config Config, booking *ring.Ring) *appender {
	return &appender{
		log:         config.Log,
		service:     config.Service,
		coordinator: booking,
		inbox:       ring.New(ring.Config{Name: "booking appends", Capacity: config.Capacity}),
	}
}

// String returns the duty's name.
func (a *appender) String() string { return "booking appender" }

// setSpacing sets the shortest time between two appends.
func (a *appender) setSpacing(spacing time.Duration) { a.spacing.Store(int64(spacing)) }

// Serve appends until ctx ends.
func (a *appender) Serve(ctx context.Context) error {
	for {
		first, err := a.inbox.Take(ctx)
		if err != nil {
			return err
		}
		next := time.Now().Add(time.Duration(a.spacing.Load()))
		if err := a.append(ctx, a.collect(first)); err != nil {
			return err
		}
		if err := crew.Pause(ctx, time.Until(next)); err != nil {
			return err
		}
	}
}

// gather returns a batch of what waits.
func (a *appender) collect(first any) Batch {
	var config BatchConfig
	items, size := 0, 0
	next := []any{first}
	for {
		switch m := next[0].(type) {
		case AppendIntent:
			config.Intents = append(config.Intents, m.intent)
		case AppendOutcome:
			config.Outcomes = append(config.Outcomes, m.outcome)
			size += len(m.outcome.config.Body)
		}
		items++
		if items >= maxBatchItems || size >= maxBatchBytes || a.inbox.Drain(next) == 0 {
			return NewBatch(config)
		}
	}
}

// append writes one record. An append without an answer is left to the log
// itself to settle: the record is there or it is not. Its error means that the
// booking cannot be told.
func (a *appender) append(ctx context.Context, batch Batch) error {
	record, err := batch.Encode(uuid.NewString())
	if err != nil {
		return err
	}
	_, err = a.service.Append(record)
	if err == nil {
		return nil
	}
	a.log.WithFields(logrus.Fields{
		"event": "append_failed", "intents": len(batch.Intents()), "outcomes": len(batch.Outcomes()),
	}).WithError(err).Warn("booking record not appended")
	if !errors.Is(err, logbook.ErrUnavailable) || len(batch.Intents()) == 0 {
		return nil
	}
	var runs []string
	for _, intent := range batch.Intents() {
		runs = append(runs, intent.Run())
	}
	return a.coordinator.PutWithin(ctx, NewNotAppended(runs), putTimeout)
}
