package proxy

import (
	"slices"
	"time"
)

// The kernel ends the connections of a process that was killed in order, as the process does
// at the end of an answer without a length. Such an answer is complete only if its backend
// server has outlived it: it accepts another connection, which is kept for the next request.

// awaitConfirmation adds a connection whose end, in order, may be that of its answer.
func (p *pool) awaitConfirmation(b *backendConn) {
	b.lastDial = p.dials
	p.unconfirmed = append(p.unconfirmed, b)
}

// needsConfirmation reports whether an answer has to be confirmed and no connection has been
// requested since it ended.
func (p *pool) needsConfirmation() bool {
	return slices.ContainsFunc(p.unconfirmed, func(b *backendConn) bool { return b.lastDial == p.dials })
}

// confirm completes the answers that ended before the connection of a number was requested,
// which has been opened.
func (p *pool) confirm(now time.Time, number uint64) {
	for _, b := range p.takeUnconfirmed(number) {
		b.finish(now)
	}
}

// refute reports the answers as incomplete that ended before the connection of a number was
// requested, which could not be opened.
func (p *pool) refute(number uint64) {
	for _, b := range p.takeUnconfirmed(number) {
		b.logExchange("unconfirmed").Info("answer taken for incomplete: its backend server accepts no connection")
		b.reportIncomplete(true)
	}
}

// takeUnconfirmed removes the connections that ended before the one of a number was requested,
// and returns those whose requests are still open.
func (p *pool) takeUnconfirmed(number uint64) []*backendConn {
	var taken []*backendConn
	p.unconfirmed = slices.DeleteFunc(p.unconfirmed, func(b *backendConn) bool {
		before := b.lastDial < number
		if before && b.exchange != nil {
			taken = append(taken, b)
		}
		return before || b.exchange == nil
	})
	return taken
}
