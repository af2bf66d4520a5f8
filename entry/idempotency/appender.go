package idempotency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// LogService is the part of the log service's client that the appender uses.
type LogService interface {
	Append(record []byte) (int64, error)
}

// appender appends intents and outcomes to the log at a bounded rate. It batches
// all that are pending into one record.
type appender struct {
	log         *logrus.Entry
	logService  LogService
	coordinator *ring.Ring   // receives NotAppended
	inbox       *ring.Ring   // receives AppendIntent and AppendOutcome
	spacing     atomic.Int64 // minimum time between two appends, in nanoseconds
}

func newAppender(config Config, coordinator *ring.Ring) *appender {
	return &appender{
		log:         config.Log,
		logService:  config.LogService,
		coordinator: coordinator,
		inbox:       ring.New(ring.Config{Name: "booking appends", Capacity: config.Capacity}),
	}
}

// String returns the thread's name, which supervision events carry.
func (a *appender) String() string { return "booking appender" }

// setSpacing sets the minimum time between two appends.
func (a *appender) setSpacing(spacing time.Duration) { a.spacing.Store(int64(spacing)) }

// Serve appends pending items until ctx ends or append returns an error.
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
		if err := supervisor.Sleep(ctx, time.Until(next)); err != nil {
			return err
		}
	}
}

// collect returns a batch of first and the pending items, up to maxBatchItems
// and maxBatchBytes.
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

// append appends one record. It reports the intents as NotAppended only if the
// log service certainly did not store the record. If the append got no answer,
// only reading the log shows whether the record was stored. An error means that
// the batch could not be encoded or the coordinator could not be notified.
func (a *appender) append(ctx context.Context, batch Batch) error {
	record, err := batch.Encode(uuid.NewString())
	if err != nil {
		return err
	}
	_, err = a.logService.Append(record)
	if err == nil {
		return nil
	}
	a.log.WithFields(logrus.Fields{
		"event": "append_failed", "intents": len(batch.Intents()), "outcomes": len(batch.Outcomes()),
	}).WithError(err).Warn("intents and outcomes not appended to the log")
	if !errors.Is(err, logclient.ErrUnavailable) || len(batch.Intents()) == 0 {
		return nil
	}
	var runs []string
	for _, intent := range batch.Intents() {
		runs = append(runs, intent.Run())
	}
	return a.coordinator.PutWithin(ctx, NewNotAppended(runs), putTimeout)
}
