package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/notice"
)

// Message is what the foyer's inbox carries.
type Message interface{ dispatcherMessage() }

// Answerer takes the answer to a batch or a read. It must not block.
type ReplySink interface {
	Put(item any) error
}

// BatchArrived asks the foyer to take the attempts of a batch.
type BatchReceived struct {
	batch notice.Batch
	reply ReplySink
}

// NewBatchArrived returns the message; reply receives notice.Receipts.
func NewBatchReceived(batch notice.Batch, reply ReplySink) BatchReceived {
	return BatchReceived{batch: batch, reply: reply}
}

// Batch returns the attempts that arrived.
func (b BatchReceived) Batch() notice.Batch { return b.batch }

// ReadArrived asks the foyer for the next pieces of answers.
type ReadRequested struct {
	read  notice.Read
	reply ReplySink
}

// NewReadArrived returns the message; reply receives notice.Pages.
func NewReadRequested(read notice.Read, reply ReplySink) ReadRequested {
	return ReadRequested{read: read, reply: reply}
}

// ProbeArrived asks the foyer how it would serve some requests.
type ProbeRequested struct {
	probe notice.Probe
	reply ReplySink
}

// NewProbeArrived returns the message; reply receives a notice.Report.
func NewProbeRequested(probe notice.Probe, reply ReplySink) ProbeRequested {
	return ProbeRequested{probe: probe, reply: reply}
}

// Began reports the header of a backend server's answer.
type HeaderReceived struct {
	attempt     string
	status      int
	contentType string
}

// NewBegan returns the message.
func NewHeaderReceived(attempt string, status int, contentType string) HeaderReceived {
	return HeaderReceived{attempt: attempt, status: status, contentType: contentType}
}

// Piece carries bytes of a backend server's answer.
type ChunkReceived struct {
	attempt string
	data    []byte
}

// NewPiece returns the message, which owns data.
func NewChunkReceived(attempt string, data []byte) ChunkReceived {
	return ChunkReceived{attempt: attempt, data: data}
}

// Ended reports that a runner is done with an attempt.
type AttemptEnded struct {
	attempt    string
	code       string
	mayHaveRun bool
}

// NewEnded returns the message. An empty code means that the answer is whole;
// ran tells of a failure whether the attempt may have been run.
func NewAttemptEnded(attempt, code string, ran bool) AttemptEnded {
	return AttemptEnded{attempt: attempt, code: code, mayHaveRun: ran}
}

// Drain asks the foyer to take no new work and to report when it is empty.
type Drain struct{}

// Revised brings a new revision of the register.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevised returns the message.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// Proved tells whether the side may act on the revision that it has.
type FreshnessChanged struct {
	fresh bool
}

// NewProved returns the message.
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

// Action is what the core asks its duty to do.
type Action interface{ dispatcherAction() }

// AnswerBatch sends receipts.
type AnswerBatch struct {
	reply    ReplySink
	receipts notice.Receipts
}

// ErrSuperseded answers a read after which the entry has sent another, because
// it had given the earlier one up.
var ErrSuperseded = errors.New("a later read has come")

// AnswerRead sends pages, or ErrSuperseded.
type AnswerRead struct {
	reply ReplySink
	pages notice.Pages
	err   error
}

// AnswerProbe sends a report.
type AnswerProbe struct {
	reply  ReplySink
	report notice.Report
}

// Run hands an attempt to a runner.
type Run struct {
	submit notice.Submit
	queued time.Duration // time that the attempt waited
}

// Stop ends an attempt at the backend server.
type Stop struct {
	attempt string
}

// Drained reports that nothing is left to do after a Drain.
type Drained struct{}

// Send gives the receipts to whom they belong. A refusal means that the caller
// has stopped waiting.
func (a AnswerBatch) Send() { _ = a.reply.Put(a.receipts) }

// Send gives the pages to whom they belong. A refusal means that the caller
// has stopped waiting.
func (a AnswerRead) Send() {
	if a.err != nil {
		_ = a.reply.Put(a.err)
		return
	}
	_ = a.reply.Put(a.pages)
}

// Send gives the report to whom it belongs. A refusal means that the caller
// has stopped waiting.
func (a AnswerProbe) Send() { _ = a.reply.Put(a.report) }

// Submit returns the attempt to run.
func (r Run) Submit() notice.Submit { return r.submit }

// Queued returns the time that the attempt waited at the side.
func (r Run) Queued() time.Duration { return r.queued }

// Attempt returns the id of the attempt to end.
func (s Stop) Attempt() string { return s.attempt }

func (AnswerBatch) dispatcherAction() {}
func (AnswerRead) dispatcherAction()  {}
func (AnswerProbe) dispatcherAction() {}
func (Run) dispatcherAction()         {}
func (Stop) dispatcherAction()        {}
func (Drained) dispatcherAction()     {}
