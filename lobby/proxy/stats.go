package proxy

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// stats holds the proxy's metrics.
type stats struct {
	closed  *metrics.Counter // connections without a request that were closed for others
	refused *metrics.Counter // connections or requests refused because there were too many
	noRoom  *metrics.Counter // requests refused since there was no room for their bodies
	givenUp *metrics.Counter // answers and connections given up for room
	// lateSweeps counts the checks for timeouts that were late.
	lateSweeps *metrics.Counter
	late       atomic.Int64 // lateness of the last check for timeouts in nanoseconds

	callers  atomic.Int64 // connections of callers
	backends atomic.Int64 // connections to backend servers
	pending  atomic.Int64 // connections of callers without an open request that are owed an answer
	limit    atomic.Int64 // connections beyond which idle ones are closed
}

func newStats() *stats {
	s := &stats{
		closed:  metrics.GetOrCreateCounter("sesamewell_connections_closed_for_room_total"),
		refused: metrics.GetOrCreateCounter("sesamewell_connections_refused_total"),
		noRoom:  metrics.GetOrCreateCounter("sesamewell_bodies_refused_total"),
		givenUp: metrics.GetOrCreateCounter("sesamewell_answers_given_up_total"),

		lateSweeps: metrics.GetOrCreateCounter("sesamewell_event_loop_late_total"),
	}
	gauge := func(name string, value *atomic.Int64) {
		metrics.GetOrCreateGauge(name, func() float64 { return float64(value.Load()) })
	}
	metrics.GetOrCreateGauge("sesamewell_event_loop_late_seconds", func() float64 { return time.Duration(s.late.Load()).Seconds() })
	gauge(`sesamewell_connections{peer="caller"}`, &s.callers)
	gauge(`sesamewell_connections{peer="backend"}`, &s.backends)
	gauge("sesamewell_connections_limit", &s.limit)
	gauge("sesamewell_connections_pending", &s.pending)
	return s
}
