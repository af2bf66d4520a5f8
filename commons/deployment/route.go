package deployment

import "time"

// Kind tells how the requests of a route may be repeated and answered.
type RouteKind uint8

// Kinds of routes.
const (
	Safe   RouteKind = iota // may run more than once
	Unsafe                  // may run once at most
	Stream                  // answered by a series of events
)

// ShareConfig is one service's part of a route's requests.
type ShareConfig struct {
	Service string
	Weight  int
}

// RouteConfig holds the construction parameters of a Route.
type RouteConfig struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             RouteKind
	Timeout          time.Duration // longest time that a request may be kept waiting
	LatencyObjective time.Duration // time to the answer, or to the first event of a stream
	GapObjective     time.Duration // longest pause between two events
	Priority         int           // zero is the most urgent
	MaxAttempts      int           // backend servers to which one request may be sent
	Shares           []ShareConfig
	Open             bool // needs no key
	Resumable        bool // a stream may go on at another backend server
}

// Route is responsible for one path of a host and what may be done with its
// requests.
type Route struct {
	config RouteConfig
}

// Name returns the route's name.
func (r Route) Name() string { return r.config.Name }

// Kind returns how the requests may be repeated and answered.
func (r Route) Kind() RouteKind { return r.config.Kind }

// Timeout returns the longest time that a request may be kept waiting.
func (r Route) Timeout() time.Duration { return r.config.Timeout }

// Objective returns the time within which an answer, or its first event, is
// worth most.
func (r Route) LatencyObjective() time.Duration { return r.config.LatencyObjective }

// Gap returns the longest pause between two events with which a stream is on
// time.
func (r Route) GapObjective() time.Duration { return r.config.GapObjective }

// Priority returns the rank, zero being the most urgent.
func (r Route) Priority() int { return r.config.Priority }

// Attempts returns the number of backend servers to which one request may be
// sent, at least one.
func (r Route) MaxAttempts() int { return max(r.config.MaxAttempts, 1) }

// Open reports whether requests need no key.
func (r Route) Open() bool { return r.config.Open }

// Repeatable reports whether a request that may have run can be sent again.
func (r Route) Idempotent() bool { return r.config.Kind == Safe }

// Resumable reports whether a stream may go on at another backend server.
func (r Route) Resumable() bool { return r.config.Resumable }

// Service picks the service of a request by the shares of the route; point is
// drawn evenly from 0 up to 1.
func (r Route) PickService(point float64) string {
	total := 0
	for _, share := range r.config.Shares {
		total += share.Weight
	}
	rest := point * float64(total)
	for _, share := range r.config.Shares {
		if rest -= float64(share.Weight); rest < 0 {
			return share.Service
		}
	}
	return ""
}
