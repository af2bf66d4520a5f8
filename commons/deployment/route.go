package deployment

import (
	"slices"
	"time"
)

// RouteKind determines whether a route's requests may run more than once and how they
// are answered.
type RouteKind uint8

// Kinds of routes.
const (
	Safe   RouteKind = iota // a request may run more than once
	Unsafe                  // a request may run at most once
	Stream                  // a request is answered with a stream of events
)

// ShareConfig is the share of a route's requests that one service gets.
type ShareConfig struct {
	Service string
	Weight  float64 // relative to the sum of the route's weights
}

// RouteConfig holds the construction parameters of a Route.
type RouteConfig struct {
	Name             string
	Host             string
	Prefix           string // begins and ends with a slash
	Kind             RouteKind
	Timeout          time.Duration // maximum time that a request may be kept waiting
	LatencyObjective time.Duration // target for the time to the answer, or to the first event of a stream
	GapObjective     time.Duration // target for the longest pause between two events of a stream
	Priority         int           // zero is the most urgent
	MaxAttempts      int           // number of backend servers to which one request may be sent
	Shares           []ShareConfig
	Open             bool     // requests need no API key
	Resumable        bool     // a truncated stream may be resumed on another backend server
	Homes            []string // regions in which requests may run; empty for any
}

// Route is the rule for requests to the paths of a host that have a given prefix.
type Route struct {
	config RouteConfig
}

// Name returns the route's name.
func (r Route) Name() string { return r.config.Name }

// Kind returns whether requests may run more than once and how they are answered.
func (r Route) Kind() RouteKind { return r.config.Kind }

// Timeout returns the maximum time that a request may be kept waiting.
func (r Route) Timeout() time.Duration { return r.config.Timeout }

// LatencyObjective returns the target for the time to the answer, or to the first
// event of a stream. An answer within this time is worth most.
func (r Route) LatencyObjective() time.Duration { return r.config.LatencyObjective }

// GapObjective returns the longest pause between two events with which a stream
// counts as on time.
func (r Route) GapObjective() time.Duration { return r.config.GapObjective }

// Priority returns the priority of the route's requests; zero is the most urgent.
func (r Route) Priority() int { return r.config.Priority }

// MaxAttempts returns the number of backend servers to which one request may be
// sent, at least one.
func (r Route) MaxAttempts() int { return max(r.config.MaxAttempts, 1) }

// Open reports whether requests need no API key.
func (r Route) Open() bool { return r.config.Open }

// Idempotent reports whether a request may run more than once, so that one that
// may have run can be sent again.
func (r Route) Idempotent() bool { return r.config.Kind == Safe }

// Homes returns the regions in which the route's requests may run, none if they may run
// anywhere.
func (r Route) Homes() []string { return r.config.Homes }

// Resumable reports whether a truncated stream may be resumed on another backend
// server.
func (r Route) Resumable() bool { return r.config.Resumable }

// Services returns the names of the services that get requests, in their order.
func (r Route) Services() []string {
	var names []string
	for _, share := range r.config.Shares {
		if share.Weight > 0 && !slices.Contains(names, share.Service) {
			names = append(names, share.Service)
		}
	}
	return names
}

// PickService returns the service that gets a request, selected by the weights of
// the route's shares, or "" if all weights are zero. point is a random number,
// uniform in [0, 1).
func (r Route) PickService(point float64) string {
	total := 0.0
	for _, share := range r.config.Shares {
		total += share.Weight
	}
	rest := point * total
	for _, share := range r.config.Shares {
		if rest -= share.Weight; rest < 0 {
			return share.Service
		}
	}
	return ""
}
