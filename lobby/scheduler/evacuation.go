package scheduler

import (
	"slices"
	"time"

	"sesamewell.example/commons/deployment"
)

// EvacuationsChangedConfig holds the construction parameters of an EvacuationsChanged.
type EvacuationsChangedConfig struct {
	Evacuations deployment.Evacuations
	Begun       []string // failure domains that are to be evacuated from now on
	Ended       []string // failure domains that have been returned to service
	Source      string   // where this lobby has learnt of the change
	Age         time.Duration
}

// EvacuationsChanged carries the failure domains that are to be evacuated.
type EvacuationsChanged struct{ config EvacuationsChangedConfig }

// NewEvacuationsChanged returns the message.
func NewEvacuationsChanged(config EvacuationsChangedConfig) EvacuationsChanged {
	return EvacuationsChanged{config: config}
}

func (EvacuationsChanged) schedulerMessage() {}

// evacuationState is the state of a failure domain in the log.
type evacuationState string

const (
	evacuationRequested evacuationState = "requested"
	evacuationEnded     evacuationState = "ended"
)

// RecordEvacuation records in the log that the evacuation of a failure domain begins or
// ends.
type RecordEvacuation struct {
	domain   string
	state    evacuationState
	source   string
	age      time.Duration
	backends int // number of listed backend servers in the domain
}

func (RecordEvacuation) schedulerAction() {}

// updateEvacuations puts the evacuations in force. Requests that wait at a backend server
// in an evacuated failure domain for an adapter are placed again at once; those that wait
// there for a connection return as unsent.
func (c *Core) updateEvacuations(now time.Time, m EvacuationsChanged) {
	c.evacuations = m.config.Evacuations
	for _, s := range c.servers {
		returned := !s.evacuated && slices.Contains(m.config.Ended, s.backend.Domain())
		c.applyEvacuation(now, s)
		if returned && !s.evacuated {
			s.startedCold(now) // it began and ended between two reads
		}
	}
	c.recordEvacuations(m)
	c.endAbsences()
	c.rerouteWaiting(now)
	c.placeQueued(now)
}

// applyEvacuation takes a backend server out of routing if its failure domain is to be
// evacuated, and back in afterwards. The requests that it runs go on. Its connections stay,
// also idle ones: a pool that was given up would not count those still in use against the
// limit when the evacuation ends.
func (c *Core) applyEvacuation(now time.Time, s *server) {
	evacuated := c.evacuations.Contains(s.backend.Domain())
	if s.evacuated == evacuated {
		return
	}
	s.evacuated = evacuated
	if !evacuated {
		s.startedCold(now)
		return
	}
	c.emit(ReturnWaiting{backend: s.backend.ID()})
}

// rerouteWaiting places the requests again that wait for an adapter at backend servers that
// get no requests any more, the most urgent first.
func (c *Core) rerouteWaiting(now time.Time) {
	var waiting []*openRequest
	for _, req := range c.requests {
		if s := req.server; s != nil && s.closed(now) && !req.tried[s.backend.ID()] {
			waiting = append(waiting, req)
		}
	}
	slices.SortFunc(waiting, c.compareUrgency)
	for _, req := range waiting {
		c.release(req)
		c.place(now, req)
	}
}

// evacuatedOnly reports whether backend servers that could run a request are listed, but
// none is usable and some are in evacuated failure domains. It cannot be known when one
// returns to service.
func (c *Core) evacuatedOnly(req *openRequest) bool {
	evacuated := false
	for _, s := range c.byService[req.service] {
		if !c.eligible(req.queueKey(), s) {
			continue
		}
		if s.usable() {
			return false
		}
		evacuated = evacuated || s.evacuated
	}
	return evacuated
}

// markUnsent records a send that failed before a byte was sent. A connection that was
// given up because the failure domain is evacuated says nothing of the backend server.
func (c *Core) markUnsent(now time.Time, req *openRequest, s *server) {
	if s.evacuated {
		return
	}
	s.markFailed(now)
	req.failedSends++
}

// recordEvacuations records what begins and ends. Before the first list of backend servers
// the records are kept until it arrives, since they state how many are concerned.
func (c *Core) recordEvacuations(m EvacuationsChanged) {
	record := RecordEvacuation{state: evacuationRequested, source: m.config.Source, age: m.config.Age}
	for _, record.domain = range m.config.Begun {
		c.evacuationRecords = append(c.evacuationRecords, record)
	}
	record.state = evacuationEnded
	for _, record.domain = range m.config.Ended {
		c.evacuationRecords = append(c.evacuationRecords, record)
	}
	c.emitEvacuations()
}

// emitEvacuations emits the records that are kept once backend servers are listed.
func (c *Core) emitEvacuations() {
	if !c.listed {
		return
	}
	for _, record := range c.evacuationRecords {
		for _, s := range c.servers {
			if s.backend.Domain() == record.domain {
				record.backends++
			}
		}
		c.emit(record)
	}
	c.evacuationRecords = nil
}

// Evacuated returns the number of failure domains that are to be evacuated.
func (c *Core) Evacuated() int { return c.evacuations.Len() }
