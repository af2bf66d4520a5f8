package scheduler

import "time"

// coldServers is what the core knows of cold backend servers as a whole.
type coldServers struct {
	firstList time.Time // receipt of the first list of backend servers
	expected  bool      // some backend server may become cold
}

// updateCold applies the listed state of a backend server to its gate. A backend server
// of a service that is never cold has none.
func (c *Core) updateCold(now time.Time, s *server) {
	if c.cold.firstList.IsZero() {
		c.cold.firstList = now
	}
	if s.firstSeen.IsZero() {
		s.firstSeen = now
	}
	start, rate, ok := c.coldService(s)
	if !ok {
		s.setCold(nil)
		return
	}
	c.cold.expected, c.rateLimited = true, true
	if s.cold == nil {
		s.setCold(newColdGate(coldGateConfig{Backend: s.backend.ID(), Start: start, Rate: rate, Shares: c.rateShares}))
		s.reportSeen = false
		c.startCold(now, s)
	}
	s.cold.configure(start, rate)
	report := coldReport{revision: s.backend.Revision(), remaining: s.backend.ColdFor()}
	if s.reportSeen && s.report == report {
		return // repeated with a list in which others have changed
	}
	s.report, s.reportSeen = report, true
	s.cold.reported(now, report.remaining)
}

// coldReport identifies a report of a backend server.
type coldReport struct {
	revision  int64
	remaining time.Duration
}

func (c *Core) coldService(s *server) (start time.Duration, rate float64, ok bool) {
	if c.configuration == nil {
		return 0, 0, false
	}
	service, _ := c.configuration.Service(s.backend.Service())
	return service.Cold()
}

// startCold sets the cold time of a backend server by its start time. If that is
// implausible, the backend server started when it was first seen, unless that was on the
// first list; of those on it, this lobby can't tell. The start is counted back from now
// because the time of day may be set later.
func (c *Core) startCold(now time.Time, s *server) {
	age := now.Sub(time.UnixMilli(s.backend.StartTime()))
	plausible := s.backend.StartTime() > 0 && age >= -startTimeTolerance
	switch {
	case plausible:
		s.cold.started(now, now.Add(startTimeTolerance-max(age, 0)))
	case !s.firstSeen.Equal(c.cold.firstList):
		s.cold.started(now, s.firstSeen)
	}
}

// startedCold records that the backend server may have become cold just now, whatever the
// list says: its failure domain has returned to service.
func (s *server) startedCold(now time.Time) {
	if s.cold != nil {
		s.cold.started(now, now)
	}
}

// configureCold applies the cold times and rates of a new configuration.
func (c *Core) configureCold(now time.Time) {
	c.cold.expected = false
	for _, s := range c.servers {
		c.updateCold(now, s)
	}
}

// recordColds records the cold times that have begun or ended. Requests that wait for a
// connection to a backend server that has become cold are taken back.
func (c *Core) recordColds(now time.Time) {
	for _, s := range c.servers {
		if cold := s.cold.cold(now); cold != s.coldRecorded {
			s.coldRecorded = cold
			if cold {
				c.emit(ReturnWaiting{backend: s.backend.ID()})
			}
			c.emit(RecordCold{backend: s.backend.ID(), cold: cold, until: s.coldUntil(), listAge: now.Sub(c.listedAt)})
		}
	}
}

// coldUntil returns the end of the backend server's last cold time, zero if there was none.
func (s *server) coldUntil() time.Time {
	if s.cold == nil {
		return time.Time{}
	}
	return s.cold.until()
}

// RecordCold records in the log that a cold time of a backend server has begun or ended.
type RecordCold struct {
	backend string
	cold    bool
	until   time.Time
	listAge time.Duration // age of the list of backend servers
}

func (RecordCold) schedulerAction() {}
