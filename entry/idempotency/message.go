package idempotency

import (
	"sesamewell.example/entry/router"
)

// Message is an input of the core.
type Message interface{ idempotencyMessage() }

// Received carries a new request with an Idempotency-Key.
type Received struct {
	request router.Request
}

// NewReceived returns the message for a request.
func NewReceived(request router.Request) Received { return Received{request: request} }

// Abandoned reports that the caller of a request no longer waits for the answer.
type Abandoned struct {
	request string
}

// NewAbandoned returns the message for the request with that ID.
func NewAbandoned(request string) Abandoned { return Abandoned{request: request} }

// BatchRead carries the batch of a record read from the log.
type BatchRead struct {
	offset int64
	batch  Batch
}

// NewBatchRead returns the message for the record at an offset.
func NewBatchRead(offset int64, batch Batch) BatchRead {
	return BatchRead{offset: offset, batch: batch}
}

// Restored carries a table encoded in a snapshot.
type Restored struct {
	state []byte
}

// NewRestored returns the message for a table encoded by Table.State.
func NewRestored(state []byte) Restored { return Restored{state: state} }

// NotAppended reports runs whose intents are certainly not in the log.
type NotAppended struct {
	runs []string
}

// NewNotAppended returns the message for the runs with these IDs.
func NewNotAppended(runs []string) NotAppended { return NotAppended{runs: runs} }

// Delivered carries a part of a run's answer.
type Delivered struct {
	part router.Deliver
}

// NewDelivered returns the message for a part of an answer.
func NewDelivered(part router.Deliver) Delivered { return Delivered{part: part} }

// Failed reports that a run ended without a complete answer.
type Failed struct {
	refusal router.Refuse
}

// NewFailed returns the message for the refusal that ended the run.
func NewFailed(refusal router.Refuse) Failed { return Failed{refusal: refusal} }

func (Received) idempotencyMessage()    {}
func (Abandoned) idempotencyMessage()   {}
func (BatchRead) idempotencyMessage()   {}
func (Restored) idempotencyMessage()    {}
func (NotAppended) idempotencyMessage() {}
func (Delivered) idempotencyMessage()   {}
func (Failed) idempotencyMessage()      {}

// Action is an output of the core, which the coordinator executes.
type Action interface{ idempotencyAction() }

// AppendIntent appends an intent to the log.
type AppendIntent struct {
	intent Intent
}

// Intent returns the intent to append.
func (a AppendIntent) Intent() Intent { return a.intent }

// AppendOutcome appends an outcome to the log.
type AppendOutcome struct {
	outcome Outcome
}

// Outcome returns the outcome to append.
func (a AppendOutcome) Outcome() Outcome { return a.outcome }

// Dispatch passes a run to the router.
type Dispatch struct {
	request router.Request
}

// Request returns the request to route, whose ID is that of the run.
func (d Dispatch) Request() router.Request { return d.request }

// Forward sends a caller a part of its answer.
type Forward struct {
	part router.Deliver
}

// Part returns the part of the answer.
func (f Forward) Part() router.Deliver { return f.part }

// Refuse ends a caller's request without a complete answer.
type Refuse struct {
	refusal router.Refuse
}

// Refusal returns the refusal.
func (r Refuse) Refusal() router.Refuse { return r.refusal }

func (AppendIntent) idempotencyAction()  {}
func (AppendOutcome) idempotencyAction() {}
func (Dispatch) idempotencyAction()      {}
func (Forward) idempotencyAction()       {}
func (Refuse) idempotencyAction()        {}
