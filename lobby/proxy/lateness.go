package proxy

import (
	"time"

	"github.com/sirupsen/logrus"
)

// peer is a connection whose events the event loop handles.
type peer interface {
	// busy returns the time for which the event loop has handled the connection.
	busy() *busyTime
	// describe returns the fields of a log line.
	describe() logrus.Fields
}

// busyTime is the time for which the event loop has handled one connection since a check for
// timeouts.
type busyTime struct {
	sweep uint64 // number of the check
	total time.Duration
}

// busy returns the time itself, for the types that embed it.
func (t *busyTime) busy() *busyTime { return t }

// lateness measures how late the event loop comes to its checks for timeouts, and which
// connection it has handled for longest since the last one. It must be used on the event loop
// only.
type lateness struct {
	sweeps  uint64
	busiest peer // nil if there is none
	logged  time.Time
}

// handled records that the event loop has handled a connection for a time.
func (l *lateness) handled(p peer, took time.Duration) {
	t := p.busy()
	if t.sweep != l.sweeps {
		*t = busyTime{sweep: l.sweeps}
	}
	t.total += took
	if l.busiest == nil || t.total > l.busiest.busy().total {
		l.busiest = p
	}
}

// swept starts the time until the next check. It returns the fields of a log line if the check
// is late and the last line is not recent, else nil.
func (l *lateness) swept(now time.Time, late time.Duration) logrus.Fields {
	busiest := l.busiest
	l.sweeps++
	l.busiest = nil
	if late < lateSweep || now.Sub(l.logged) < limitLogPeriod {
		return nil
	}
	l.logged = now
	fields := logrus.Fields{"event": "loop_late", "late": late}
	if busiest != nil {
		for name, value := range busiest.describe() {
			fields[name] = value
		}
		fields["busy"] = busiest.busy().total
	}
	return fields
}

// recordLateness records how long after its time a check for timeouts is made.
func (p *Proxy) recordLateness(now, due time.Time) {
	late := now.Sub(due)
	p.stats.late.Store(int64(late))
	if late >= lateSweep {
		p.stats.lateSweeps.Inc()
	}
	if fields := p.lateness.swept(now, late); fields != nil {
		p.config.Log.WithFields(fields).Warn("event loop late; the connection is the one that it has handled for longest")
	}
}

// describe returns the caller's address and its request, if one is open.
func (c *callerConn) describe() logrus.Fields {
	fields := logrus.Fields{"peer": "caller", "address": c.address}
	if c.exchange != nil {
		fields["request"] = c.exchange.meta.ID()
	}
	return fields
}

// describe returns the backend server and the request that was sent to it, if one is open.
func (b *backendConn) describe() logrus.Fields {
	fields := logrus.Fields{"peer": "backend", "backend": b.pool.backend}
	if b.exchange != nil {
		fields["request"], fields["bytes"] = b.exchange.meta.ID(), b.answer.received
	}
	return fields
}
