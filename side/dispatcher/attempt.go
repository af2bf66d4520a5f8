package dispatcher

import (
	"bytes"
	"time"

	"sesamewell.example/commons/protocol"
)

type phase uint8

const (
	phaseQueued  phase = iota // in the queue
	phaseRunning              // handed to a runner
	phaseEnded                // ended, but the entry has not confirmed the complete answer
)

// attempt is an attempt and its answer. It buffers the bytes of the answer that its
// entry has not confirmed, and tracks which of them have been sent.
type attempt struct {
	submit          protocol.Submit
	entry           string
	phase           phase
	sequence        uint64 // position in the order of admission
	heapIndex       int    // index in its heap, or -1
	arrivedAt       time.Time
	deadline        time.Time
	startedAt       time.Time // time at which it was handed to a runner
	responseStarted bool      // the first bytes of the answer have arrived

	confirmed    int64 // offset up to which the entry has confirmed the answer; offset of buffer[0]
	buffer       []byte
	sent         int64 // offset up to which the answer has been sent
	endSent      bool
	status       int
	contentType  string
	state        protocol.AnswerState
	code         string
	mayHaveRun   bool
	retryAfter   time.Duration
	cancelled    bool // the entry has cancelled the attempt
	keyWithdrawn bool // the caller's key was withdrawn while the attempt ran
}

// confirm drops the buffered bytes before offset, which the entry has received. It returns
// their number.
func (a *attempt) confirm(offset int64) (received int64) {
	received = min(max(offset-a.confirmed, 0), int64(len(a.buffer)))
	a.buffer = a.buffer[received:]
	a.confirmed += received
	a.sent = max(a.sent, a.confirmed)
	return received
}

// unsent returns the number of buffered bytes that have not been sent.
func (a *attempt) unsent() int64 { return a.confirmed + int64(len(a.buffer)) - a.sent }

// dropUnsent drops the buffered bytes that have not been sent. It returns their number.
func (a *attempt) dropUnsent() int64 {
	dropped := a.unsent()
	a.buffer = bytes.Clone(a.buffer[:int64(len(a.buffer))-dropped])
	return dropped
}

// rewind marks all unconfirmed bytes and the end of the answer as unsent.
func (a *attempt) rewind() {
	a.sent = a.confirmed
	a.endSent = false
}

// hasUnsent reports whether bytes or the end of the answer are still to be sent.
func (a *attempt) hasUnsent() bool {
	return a.unsent() > 0 || (a.state != protocol.AnswerOpen && !a.endSent)
}

// nextPage returns the next page of the answer with at most limit bytes of data and
// marks it as sent.
func (a *attempt) nextPage(limit int) protocol.Page {
	from := a.sent - a.confirmed
	data := a.buffer[from:]
	if len(data) > limit {
		data = data[:limit]
	}
	config := protocol.PageConfig{
		Attempt:     a.submit.Attempt(),
		Offset:      a.sent,
		Data:        data,
		Status:      a.status,
		ContentType: a.contentType,
	}
	a.sent += int64(len(data))
	if a.state != protocol.AnswerOpen && a.sent == a.confirmed+int64(len(a.buffer)) {
		config.State, config.Code, config.MayHaveRun, config.RetryAfter = a.state, a.code, a.mayHaveRun, a.retryAfter
		a.endSent = true
	}
	return protocol.NewPage(config)
}

// fail ends the answer with code as the cause of the failure. mayHaveRun reports
// whether the backend server may have run the attempt.
func (a *attempt) fail(code string, mayHaveRun bool) {
	a.phase = phaseEnded
	a.state, a.code, a.mayHaveRun = protocol.AnswerFailed, code, mayHaveRun
}
