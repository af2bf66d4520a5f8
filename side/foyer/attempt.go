package foyer

import (
	"time"

	"sesamewell.example/commons/notice"
)

type phase uint8

const (
	waiting phase = iota // in the queue
	running              // at the backend server
	over                 // ended; the answer is not yet confirmed by the entry
)

// attempt is responsible for one attempt's answer: it buffers the bytes that
// its entry has not confirmed and knows which of them have been sent.
type attempt struct {
	submit  notice.Submit
	entry   string
	phase   phase
	number  uint64 // order of admission
	index   int    // place in its heap, or -1
	arrived time.Time
	expires time.Time
	started time.Time // when it was handed to a runner
	begun   bool      // bytes of the answer have come

	base        int64 // offset of buffer[0] in the answer
	buffer      []byte
	sent        int64 // offset up to which bytes have been sent
	endSent     bool
	status      int
	contentType string
	state       notice.State
	code        string
	ran         bool
	retryAfter  time.Duration
	abandoned   bool // nobody awaits the answer
	withdrawn   bool // the key was withdrawn while the attempt ran
}

// confirm drops the bytes that the entry holds.
func (a *attempt) confirm(offset int64) {
	held := min(max(offset-a.base, 0), int64(len(a.buffer)))
	a.buffer = a.buffer[held:]
	a.base += held
	a.sent = max(a.sent, a.base)
}

// rewind marks everything that is not confirmed as unsent.
func (a *attempt) rewind() {
	a.sent = a.base
	a.endSent = false
}

// pending reports whether there is something to send.
func (a *attempt) pending() bool {
	unsent := a.sent < a.base+int64(len(a.buffer))
	return unsent || (a.state != notice.Open && !a.endSent)
}

// page takes the next piece of the answer, at most limit bytes of it.
func (a *attempt) page(limit int) notice.Page {
	from := a.sent - a.base
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
	if a.state != notice.Open && a.sent == a.base+int64(len(a.buffer)) {
		config.State, config.Code, config.Ran, config.RetryAfter = a.state, a.code, a.ran, a.retryAfter
		a.endSent = true
	}
	return notice.NewPage(config)
}

// fail ends the answer with a cause.
func (a *attempt) fail(code string, ran bool) {
	a.phase = over
	a.state, a.code, a.ran = notice.Failed, code, ran
}
