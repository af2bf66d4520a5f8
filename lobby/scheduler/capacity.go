package scheduler

import "time"

// capacityLifetime is the time after the last answer that named a rate for which the rate
// counts for the placement of models. It is longer than limitRetention, after which a
// request finds out.
const capacityLifetime = 4 * limitRetention

// BackendCapacity tells how much a backend server runs that names a rate, as far as this
// lobby knows from answers and digests.
type BackendCapacity struct {
	backend string
	start   int64
	engines float64
	since   time.Time
}

// Backend returns the ID of the backend server.
func (b BackendCapacity) Backend() string { return b.backend }

// Start returns the backend server's start time in Unix milliseconds.
func (b BackendCapacity) Start() int64 { return b.start }

// Engines returns the number of engines that requests at the rate keep busy.
func (b BackendCapacity) Engines() float64 { return b.engines }

// Since returns the time from which on the backend server has named a rate.
func (b BackendCapacity) Since() time.Time { return b.since }

// capacities returns the capacities of the backend servers that name a rate.
func (c *Core) capacities(now time.Time) []BackendCapacity {
	var capacities []BackendCapacity
	for id, s := range c.servers {
		if s.limit.named() == 0 || now.Sub(s.limit.heard) >= capacityLifetime {
			continue
		}
		service := s.backend.Service()
		busy := s.limit.named() * c.runTime(service).Seconds() // requests under way at the same time
		capacities = append(capacities, BackendCapacity{
			backend: id, start: s.backend.StartTime(), engines: busy / c.engineSlots(service), since: s.limit.since,
		})
	}
	return capacities
}
