package dispatcher

import (
	"time"

	"sesamewell.example/commons/notice"
)

type phase uint8

const (
	phaseQueued  phase = iota // in the queue
	phaseRunning              // at the backend server
	phaseEnded                // ended; the answer is not yet confirmed by the entry
)

// attempt is responsible for one attempt's answer: it buffers the bytes that
// its entry has not confirmed and knows which of them have been sent.
type attempt struct {
	submit          notice.Submit
	entry           string
	phase           phase
	sequence        uint64 // order of admission
	heapIndex       int    // place in its heap, or -1
	arrivedAt       time.Time
	deadline        time.Time
	startedAt       time.Time // when it was handed to a runner
	responseStarted bool      // bytes of the answer have come

	confirmed    int64 // offset of buffer[0] in the answer
	buffer       []byte
	sent         int64 // offset up to which bytes have been sent
	endSent      bool
	status       int
	contentType  string
	state        notice.State
	code         string
	mayHaveRun   bool
	retryAfter   time.Duration
	abandoned    bool // nobody awaits the answer
	keyWithdrawn bool // the key was withdrawn while the attempt ran
}

// confirm drops the bytes that the entry holds.
func (a *attempt) confirm(offset int64) {
	held := min(max(offset-a.confirmed, 0), int64(len(a.buffer)))
	a.buffer = a.buffer[held:]
	a.confirmed += held
	a.sent = max(a.sent, a.confirmed)
}

// rewind marks everything that is not confirmed as unsent.
func (a *attempt) rewind() {
	a.sent = a.confirmed
	a.endSent = false
}

// pending reports whether there is something to send.
func (a *attempt) hasUnsent() bool {
	unsent := a.sent < a.confirmed+int64(len(a.buffer))
	return unsent || (a.state != notice.Open && !a.endSent)
}

// page takes the next piece of the answer, at most limit bytes of it.
func (a *attempt) nextPage(limit int) notice.Page {
	from := a.sent - a.confirmed
	data := a.buffer[from:]
	if len(data) > limit {
		data = data[:limit]
	}
	config := notice.PageConfig{
		Attempt:     a.submit.Attempt(),
		Offset:      a.sent,
		Data:        data,
		Status:      a.status,
		ContentType: a.contentType,
	}
	a.sent += int64(len(data))
	if a.state != notice.Open && a.sent == a.confirmed+int64(len(a.buffer)) {
		config.State, config.Code, config.Ran, config.RetryAfter = a.state, a.code, a.mayHaveRun, a.retryAfter
		a.endSent = true
	}
	return notice.NewPage(config)
}

// fail ends the answer with a cause.
func (a *attempt) fail(code string, ran bool) {
	a.phase = phaseEnded
	a.state, a.code, a.mayHaveRun = notice.Failed, code, ran
}
