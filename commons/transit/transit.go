// Package transit tells how long messages have been on their way. A process that was stopped, or
// cut off, finds the messages of others that have waited in its connections and rings, the oldest
// first: the time of their arrival says nothing about that of their sending.
package transit

import (
	"sync"
	"time"
)

const (
	// drift is the part of the time by which a sender's clock may run slower than this one's.
	drift = 200e-6
	// memory is the time without a message after which a sender is forgotten, and with it the
	// time that its messages take.
	memory = 10 * time.Minute
)

// Clocks compares the clocks of the senders of messages with the clock of this process, by the
// message of each that was fastest (the minimum filter of NTP, RFC 5905, section 10). It is safe
// for concurrent use.
type Clocks struct {
	mu      sync.Mutex
	senders map[uint64]*sender
	expired time.Time // time of the last check for senders to forget
}

// sender is what is known of the clock of a sender.
type sender struct {
	start time.Time // time of its start by the fastest message
	last  time.Time // arrival of its last message
}

// New returns Clocks that know no sender.
func New() *Clocks { return &Clocks{senders: make(map[uint64]*sender)} }

// Sent returns the latest time at which a message may have been sent that arrives now. uptime is the
// time from the start of its sender, which incarnation identifies, to the sending. A first message
// counts as one that has not waited.
func (c *Clocks) Sent(now time.Time, incarnation uint64, uptime time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	start := now.Add(-uptime)
	s, ok := c.senders[incarnation]
	if !ok {
		s = &sender{start: start, last: now}
		c.senders[incarnation] = s
	}
	s.start = s.start.Add(time.Duration(drift * float64(now.Sub(s.last))))
	if start.Before(s.start) {
		s.start = start
	}
	s.last = now
	return now.Add(-start.Sub(s.start))
}

// expire forgets the senders that are gone, from time to time.
func (c *Clocks) expire(now time.Time) {
	if now.Sub(c.expired) < memory {
		return
	}
	c.expired = now
	for incarnation, s := range c.senders {
		if now.Sub(s.last) > memory {
			delete(c.senders, incarnation)
		}
	}
}
