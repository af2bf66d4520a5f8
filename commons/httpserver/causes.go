package httpserver

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Cause is a reason for which a client is refused or its connection is closed.
type Cause string

// Causes, as in logs and metrics.
const (
	SlowSender  Cause = "slow_sender" // a request that does not arrive in time
	NotReading  Cause = "not_reading" // a caller that takes nothing of its answer
	Flood       Cause = "flood"       // too many bytes behind an open request or an unread answer
	NoRoom      Cause = "no_room"     // no room for the bytes of a request
	Shed        Cause = "shed"        // the process holds too many bytes, and this client holds most
	Displaced   Cause = "displaced"   // a connection without a whole request, closed for another one
	Connections Cause = "connections" // no room for another connection
	BadRequest  Cause = "bad_request" // a request that is malformed or exceeds a limit
	Stopping    Cause = "stopping"    // a request that has not arrived whole when the process ends
	Unfinished  Cause = "unfinished"  // a connection that ends, by either side, before its request has arrived whole
)

// logPeriod is the shortest time between two log lines for the same cause.
const logPeriod = 10 * time.Second

// CauseOf returns the cause for which a request is refused that has not been read whole.
func CauseOf(refusal *Refusal) Cause {
	switch refusal {
	case ErrNoRoom:
		return NoRoom
	case ErrSlowSender:
		return SlowSender
	default:
		return BadRequest
	}
}

// Causes counts refused clients by cause, and logs one line for each cause in a period. It
// is safe for concurrent use.
type Causes struct {
	log *logrus.Entry

	mu     sync.Mutex
	logged map[Cause]logged
}

// logged is what has been logged of one cause, and what has not.
type logged struct {
	at      time.Time
	since   int           // clients that were counted since
	last    string        // address of the last one of them
	details logrus.Fields // of its request
}

// NewCauses returns counters that log to log.
func NewCauses(log *logrus.Entry) *Causes {
	return &Causes{log: log, logged: make(map[Cause]logged)}
}

// Record counts a client at an address that is refused or closed for a cause.
func (c *Causes) Record(now time.Time, cause Cause, address string) {
	c.record(now, cause, address, nil)
}

// RecordFragment counts a client whose request has not arrived whole.
func (c *Causes) RecordFragment(now time.Time, cause Cause, address string, fragment Fragment) {
	c.record(now, cause, address, fragment.Fields())
}

// Flush logs the clients that were counted since the last lines. It is called when the
// process ends.
func (c *Causes) Flush(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cause, l := range c.logged {
		if l.since > 0 {
			c.write(now, cause, l)
		}
	}
}

func (c *Causes) record(now time.Time, cause Cause, address string, details logrus.Fields) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_clients_refused_total{cause=%q}", string(cause))).Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.logged[cause]
	l.since, l.last, l.details = l.since+1, address, details
	c.logged[cause] = l
	if now.Sub(l.at) >= logPeriod {
		c.write(now, cause, l)
	}
}

// write logs what has not been logged of a cause. The log does not block.
func (c *Causes) write(now time.Time, cause Cause, l logged) {
	c.log.WithFields(l.details).WithFields(logrus.Fields{"event": "client_refused", "cause": string(cause), "clients": l.since, "last": l.last}).Warn("clients refused or their connections closed")
	c.logged[cause] = logged{at: now}
}
