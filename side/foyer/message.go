package foyer

import (
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/notice"
)

// Message is what the foyer's inbox carries.
type Message interface{ foyerMessage() }

// Answerer takes the answer to a batch or a read. It must not block.
type Answerer interface {
	Put(item any) error
}

// BatchArrived asks the foyer to take the attempts of a batch.
type BatchArrived struct {
	batch notice.Batch
	reply Answerer
}

// NewBatchArrived returns the message; reply receives notice.Receipts.
func NewBatchArrived(batch notice.Batch, reply Answerer) BatchArrived {
	return BatchArrived{batch: batch, reply: reply}
}

// Batch returns the attempts that arrived.
func (b BatchArrived) Batch() notice.Batch { return b.batch }

// ReadArrived asks the foyer for the next pieces of answers.
type ReadArrived struct {
	read  notice.Read
	reply Answerer
}

// NewReadArrived returns the message; reply receives notice.Pages.
func NewReadArrived(read notice.Read, reply Answerer) ReadArrived {
	return ReadArrived{read: read, reply: reply}
}

// ProbeArrived asks the foyer how it would serve some requests.
type ProbeArrived struct {
	probe notice.Probe
	reply Answerer
}

// NewProbeArrived returns the message; reply receives a notice.Report.
func NewProbeArrived(probe notice.Probe, reply Answerer) ProbeArrived {
	return ProbeArrived{probe: probe, reply: reply}
}

// Began reports the header of a backend server's answer.
type Began struct {
	attempt     string
	status      int
	contentType string
}

// NewBegan returns the message.
func NewBegan(attempt string, status int, contentType string) Began {
	return Began{attempt: attempt, status: status, contentType: contentType}
}

// Piece carries bytes of a backend server's answer.
type Piece struct {
	attempt string
	data    []byte
}

// NewPiece returns the message, which owns data.
func NewPiece(attempt string, data []byte) Piece { return Piece{attempt: attempt, data: data} }

// Ended reports that a runner is done with an attempt.
type Ended struct {
	attempt string
	code    string
	ran     bool
}

// NewEnded returns the message. An empty code means that the answer is whole;
// ran tells of a failure whether the attempt may have been run.
func NewEnded(attempt, code string, ran bool) Ended {
	return Ended{attempt: attempt, code: code, ran: ran}
}

// Drain asks the foyer to take no new work and to report when it is empty.
type Drain struct{}

// Revised brings a new revision of the register.
type Revised struct {
	revision *fleetstate.Revision
}

// NewRevised returns the message.
func NewRevised(revision *fleetstate.Revision) Revised { return Revised{revision: revision} }

// Proved tells whether the side may act on the revision that it has.
type Proved struct {
	fresh bool
}

// NewProved returns the message.
func NewProved(fresh bool) Proved { return Proved{fresh: fresh} }

func (Revised) foyerMessage()      {}
func (Proved) foyerMessage()       {}
func (BatchArrived) foyerMessage() {}
func (ReadArrived) foyerMessage()  {}
func (ProbeArrived) foyerMessage() {}
func (Began) foyerMessage()        {}
func (Piece) foyerMessage()        {}
func (Ended) foyerMessage()        {}
func (Drain) foyerMessage()        {}

// Action is what the core asks its duty to do.
type Action interface{ foyerAction() }

// AnswerBatch sends receipts.
type AnswerBatch struct {
	reply    Answerer
	receipts notice.Receipts
}

// ErrSuperseded answers a read after which the entry has sent another, because
// it had given the earlier one up.
var ErrSuperseded = errors.New("a later read has come")

// AnswerRead sends pages, or ErrSuperseded.
type AnswerRead struct {
	reply Answerer
	pages notice.Pages
	err   error
}

// AnswerProbe sends a report.
type AnswerProbe struct {
	reply  Answerer
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

func (AnswerBatch) foyerAction() {}
func (AnswerRead) foyerAction()  {}
func (AnswerProbe) foyerAction() {}
func (Run) foyerAction()         {}
func (Stop) foyerAction()        {}
func (Drained) foyerAction()     {}
