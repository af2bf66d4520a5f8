package idempotency

import (
	"sesamewell.example/entry/usher"
)

// Message is what the booking's inbox carries.
type Message interface{ idempotencyMessage() }

// Asked brings a request that has an Idempotency-Key.
type Received struct {
	request usher.Ask
}

// NewAsked returns the message.
func NewReceived(ask usher.Ask) Received { return Received{request: ask} }

// Left reports that nobody awaits a request's answer any more.
type CallerLeft struct {
	request string
}

// NewLeft returns the message.
func NewCallerLeft(request string) CallerLeft { return CallerLeft{request: request} }

// Folded brings the batch of a log record.
type BatchRead struct {
	offset int64
	batch  Batch
}

// NewFolded returns the message for the record at an offset.
func NewBatchRead(offset int64, batch Batch) BatchRead {
	return BatchRead{offset: offset, batch: batch}
}

// Restored brings a table that a snapshot carried.
type Restored struct {
	state []byte
}

// NewRestored returns the message for what Table.State encoded.
func NewRestored(state []byte) Restored { return Restored{state: state} }

// NotAppended reports that the log certainly lacks the intents of some runs.
type NotAppended struct {
	runs []string
}

// NewNotAppended returns the message.
func NewNotAppended(runs []string) NotAppended { return NotAppended{runs: runs} }

// Delivered brings a piece of a run's answer.
type Delivered struct {
	piece usher.Deliver
}

// NewDelivered returns the message.
func NewDelivered(piece usher.Deliver) Delivered { return Delivered{piece: piece} }

// Failed reports that a run ended without a whole answer.
type Failed struct {
	refusal usher.Refuse
}

// NewFailed returns the message.
func NewFailed(refuse usher.Refuse) Failed { return Failed{refusal: refuse} }

func (Received) idempotencyMessage()    {}
func (CallerLeft) idempotencyMessage()  {}
func (BatchRead) idempotencyMessage()   {}
func (Restored) idempotencyMessage()    {}
func (NotAppended) idempotencyMessage() {}
func (Delivered) idempotencyMessage()   {}
func (Failed) idempotencyMessage()      {}

// Action is what the core asks its duty to do.
type Action interface{ idempotencyAction() }

// Announce has an intent appended to the log.
type AppendIntent struct {
	intent Intent
}

// Intent returns the intent.
func (a AppendIntent) Intent() Intent { return a.intent }

// Report has an outcome appended to the log.
type AppendOutcome struct {
	outcome Outcome
}

// Outcome returns the outcome.
func (r AppendOutcome) Outcome() Outcome { return r.outcome }

// Dispatch hands a run to the usher.
type Dispatch struct {
	request usher.Ask
}

// Ask returns the run.
func (d Dispatch) Request() usher.Ask { return d.request }

// Pass gives a caller a piece of its answer.
type Forward struct {
	piece usher.Deliver
}

// Piece returns the piece.
func (p Forward) Piece() usher.Deliver { return p.piece }

// Refuse ends a caller's request without a whole answer.
type Refuse struct {
	refusal usher.Refuse
}

// Refuse returns the refusal.
func (r Refuse) Refusal() usher.Refuse { return r.refusal }

func (AppendIntent) idempotencyAction()  {}
func (AppendOutcome) idempotencyAction() {}
func (Dispatch) idempotencyAction()      {}
func (Forward) idempotencyAction()       {}
func (Refuse) idempotencyAction()        {}
