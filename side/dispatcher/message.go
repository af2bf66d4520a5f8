package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
)

// Message is an input of the core.
type Message interface{ dispatcherMessage() }

// ReplySink receives the reply to a batch, a read or a probe.
type ReplySink interface {
	// Put delivers the reply. It must not block.
	Put(item any) error
}

// BatchReceived requests the admission of the attempts of a batch, and the
// cancellation of others.
type BatchReceived struct {
	batch protocol.Batch
	reply ReplySink
}

// NewBatchReceived returns a message with a batch; reply receives protocol.Receipts.
func NewBatchReceived(batch protocol.Batch, reply ReplySink) BatchReceived {
	return BatchReceived{batch: batch, reply: reply}
}

// Batch returns the batch of attempts and cancellations.
func (b BatchReceived) Batch() protocol.Batch { return b.batch }

// ReadRequested requests the next pages of an entry's answers.
type ReadRequested struct {
	read  protocol.Read
	reply ReplySink
}

// NewReadRequested returns a message with a read; reply receives protocol.Pages or
// ErrSuperseded.
func NewReadRequested(read protocol.Read, reply ReplySink) ReadRequested {
	return ReadRequested{read: read, reply: reply}
}

// ProbeRequested requests the load of the side and estimates for some requests.
type ProbeRequested struct {
	probe protocol.Probe
	reply ReplySink
}

// NewProbeRequested returns a message with a probe; reply receives a protocol.Report.
func NewProbeRequested(probe protocol.Probe, reply ReplySink) ProbeRequested {
	return ProbeRequested{probe: probe, reply: reply}
}

// HeaderReceived carries the header of a backend server's answer.
type HeaderReceived struct {
	attempt     string
	status      int
	contentType string
	limit       float64
}

// NewHeaderReceived returns a message with the header of an attempt's answer.
func NewHeaderReceived(attempt string, status int, contentType string) HeaderReceived {
	return HeaderReceived{attempt: attempt, status: status, contentType: contentType}
}

// WithLimit returns the message with the requests per second that the backend server takes,
// zero if it names none.
func (h HeaderReceived) WithLimit(rate float64) HeaderReceived {
	h.limit = rate
	return h
}

// ChunkReceived carries the next bytes of a backend server's answer.
type ChunkReceived struct {
	attempt string
	data    []byte
}

// NewChunkReceived returns a message with the next bytes of an attempt's answer. It
// takes ownership of data.
func NewChunkReceived(attempt string, data []byte) ChunkReceived {
	return ChunkReceived{attempt: attempt, data: data}
}

// AttemptEnded reports that a runner has finished an attempt.
type AttemptEnded struct {
	attempt    string
	code       string
	mayHaveRun bool
}

// NewAttemptEnded returns a message about the end of an attempt. An empty code means
// that the answer is complete. After a failure, mayHaveRun reports whether the
// backend server may have run the attempt.
func NewAttemptEnded(attempt, code string, mayHaveRun bool) AttemptEnded {
	return AttemptEnded{attempt: attempt, code: code, mayHaveRun: mayHaveRun}
}

// Drain makes the dispatcher refuse new attempts and report when none is left.
type Drain struct{}

// RevisionChanged carries a new revision of the fleet state.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevisionChanged returns a message with a new revision of the fleet state.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// FreshnessChanged reports whether the side's revision of the fleet state is
// proven fresh.
type FreshnessChanged struct {
	fresh bool
}

// NewFreshnessChanged returns a message with the new freshness of the revision.
func NewFreshnessChanged(fresh bool) FreshnessChanged { return FreshnessChanged{fresh: fresh} }

func (RevisionChanged) dispatcherMessage()  {}
func (FreshnessChanged) dispatcherMessage() {}
func (BatchReceived) dispatcherMessage()    {}
func (ReadRequested) dispatcherMessage()    {}
func (ProbeRequested) dispatcherMessage()   {}
func (HeaderReceived) dispatcherMessage()   {}
func (ChunkReceived) dispatcherMessage()    {}
func (AttemptEnded) dispatcherMessage()     {}
func (Drain) dispatcherMessage()            {}

// Action is an output of the core that the Dispatcher executes.
type Action interface{ dispatcherAction() }

// AnswerBatch answers a batch with receipts.
type AnswerBatch struct {
	reply    ReplySink
	receipts protocol.Receipts
}

// ErrSuperseded answers a read if the entry has sent a later one, because it has
// given up the earlier one.
var ErrSuperseded = errors.New("a later read has come")

// AnswerRead answers a read with pages or ErrSuperseded.
type AnswerRead struct {
	reply ReplySink
	pages protocol.Pages
	err   error
}

// AnswerProbe answers a probe with a report.
type AnswerProbe struct {
	reply  ReplySink
	report protocol.Report
}

// Run hands an attempt to a runner.
type Run struct {
	submit protocol.Submit
	queued time.Duration // time that the attempt was queued
}

// Stop stops a running attempt at the backend server.
type Stop struct {
	attempt string
}

// RecordLimit records in the log that the backend server has begun or ceased to name a rate
// in its answers, or has changed it.
type RecordLimit struct {
	rate   float64 // requests per second; zero if it names none any more
	before float64 // rate named before
}

// Drained reports the end of a drain: no attempt is left.
type Drained struct{}

// Send delivers the receipts. An error of the sink is ignored, since it means that
// the caller has stopped waiting.
func (a AnswerBatch) Send() { _ = a.reply.Put(a.receipts) }

// Send delivers the pages or the error. An error of the sink is ignored, since it
// means that the caller has stopped waiting.
func (a AnswerRead) Send() {
	if a.err != nil {
		_ = a.reply.Put(a.err)
		return
	}
	_ = a.reply.Put(a.pages)
}

// Send delivers the report. An error of the sink is ignored, since it means that
// the caller has stopped waiting.
func (a AnswerProbe) Send() { _ = a.reply.Put(a.report) }

// Submit returns the attempt to run.
func (r Run) Submit() protocol.Submit { return r.submit }

// Queued returns the time that the attempt was queued at the side.
func (r Run) Queued() time.Duration { return r.queued }

// Attempt returns the ID of the attempt to stop.
func (s Stop) Attempt() string { return s.attempt }

func (AnswerBatch) dispatcherAction() {}
func (AnswerRead) dispatcherAction()  {}
func (AnswerProbe) dispatcherAction() {}
func (Run) dispatcherAction()         {}
func (Stop) dispatcherAction()        {}
func (Drained) dispatcherAction()     {}
func (RecordLimit) dispatcherAction() {}
