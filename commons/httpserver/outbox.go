package httpserver

import (
	"sync"
	"sync/atomic"

	"sesamewell.example/commons/memory"
)

// outbox is the account of what a connection has been given to send and has not sent. It is
// safe for concurrent use.
type outbox struct {
	conns *atomic.Int64 // number of connections that have something to send

	mu      sync.Mutex
	charge  *memory.Charge // for the messages that the event loop has not taken
	queued  int            // number of these messages
	unsent  bool           // bytes are left that the event loop has taken
	counted bool           // the connection counts in conns
	ended   bool
}

// message is a message that the event loop has not taken yet.
type message struct {
	outbox *outbox
	size   int64
	taken  bool
}

// newOutbox returns an empty account, whose messages are charged to a customer.
func newOutbox(conns *atomic.Int64, account memory.Account, customer string) *outbox {
	return &outbox{conns: conns, charge: memory.NewCharge(account, customer)}
}

// put adds a message of a number of bytes. It reports whether the process holds far too many
// bytes.
func (o *outbox) put(size int) (m *message, overrun bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m = &message{outbox: o, size: int64(size)}
	o.queued++
	o.count()
	return m, o.charge.Set(o.charge.Bytes() + m.size)
}

// release takes the message out of its outbox. It may be called several times.
func (m *message) release() {
	o := m.outbox
	o.mu.Lock()
	defer o.mu.Unlock()
	if m.taken {
		return
	}
	m.taken = true
	o.queued--
	o.charge.Set(o.charge.Bytes() - m.size)
	o.count()
}

// setUnsent records whether bytes are left that the event loop has taken.
func (o *outbox) setUnsent(unsent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsent = unsent
	o.count()
}

// pending reports whether there is anything that has not been sent.
func (o *outbox) pending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counted
}

// end gives up everything for good, since the connection has ended: an event loop that has ended
// takes no messages. What is put later is neither charged nor counted.
func (o *outbox) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	o.charge.Release()
	o.count()
}

// count counts the connection, if it has anything to send. The lock must be held.
func (o *outbox) count() {
	pending := !o.ended && (o.queued > 0 || o.unsent)
	if pending == o.counted {
		return
	}
	o.counted = pending
	if pending {
		o.conns.Add(1)
		return
	}
	o.conns.Add(-1)
}
