package booking

import (
	"sesamewell.example/entry/usher"
)

// Message is what the booking's inbox carries.
type Message interface{ bookingMessage() }

// Asked brings a request that has an Idempotency-Key.
type Asked struct {
	ask usher.Ask
}

// NewAsked returns the message.
func NewAsked(ask usher.Ask) Asked { return Asked{ask: ask} }

// Left reports that nobody awaits a request's answer any more.
type Left struct {
	request string
}

// NewLeft returns the message.
func NewLeft(request string) Left { return Left{request: request} }

// Folded brings the batch of a log record.
type Folded struct {
	offset int64
	batch  Batch
}

// NewFolded returns the message for the record at an offset.
func NewFolded(offset int64, batch Batch) Folded { return Folded{offset: offset, batch: batch} }

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
	refuse usher.Refuse
}

// NewFailed returns the message.
func NewFailed(refuse usher.Refuse) Failed { return Failed{refuse: refuse} }

func (Asked) bookingMessage()       {}
func (Left) bookingMessage()        {}
func (Folded) bookingMessage()      {}
func (Restored) bookingMessage()    {}
func (NotAppended) bookingMessage() {}
func (Delivered) bookingMessage()   {}
func (Failed) bookingMessage()      {}

// Action is what the core asks its duty to do.
type Action interface{ bookingAction() }

// Announce has an intent appended to the log.
type Announce struct {
	intent Intent
}

// Intent returns the intent.
func (a Announce) Intent() Intent { return a.intent }

// Report has an outcome appended to the log.
type Report struct {
	outcome Outcome
}

// Outcome returns the outcome.
func (r Report) Outcome() Outcome { return r.outcome }

// Dispatch hands a run to the usher.
type Dispatch struct {
	ask usher.Ask
}

// Ask returns the run.
func (d Dispatch) Ask() usher.Ask { return d.ask }

// Pass gives a caller a piece of its answer.
type Pass struct {
	piece usher.Deliver
}

// Piece returns the piece.
func (p Pass) Piece() usher.Deliver { return p.piece }

// Refuse ends a caller's request without a whole answer.
type Refuse struct {
	refuse usher.Refuse
}

// Refuse returns the refusal.
func (r Refuse) Refuse() usher.Refuse { return r.refuse }

func (Announce) bookingAction() {}
func (Report) bookingAction()   {}
func (Dispatch) bookingAction() {}
func (Pass) bookingAction()     {}
func (Refuse) bookingAction()   {}
