package scheduler

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// stats holds the scheduler's metrics.
type stats struct {
	ends         map[Result]*metrics.Counter
	refusals     map[Cause]*metrics.Counter
	forecasts    map[Cause]*metrics.Histogram
	queue        *queueGauges
	shares       *shareGauges
	fetches      *metrics.Counter
	quarantines  *metrics.Counter
	streams      *streamGauges
	doubts       *metrics.Counter
	withheld     *metrics.Counter // from cold backend servers
	withheldRate *metrics.Counter // from backend servers that name a rate
	limits       map[limitState]*metrics.Counter
	waited       *metrics.Histogram
	firstEvent   *metrics.Histogram
	longestPause *metrics.Histogram
	startError   *metrics.Histogram
	cacheAge     *metrics.Histogram
	took         *metrics.Histogram
}

func newStats() *stats {
	s := &stats{
		ends:         make(map[Result]*metrics.Counter),
		limits:       make(map[limitState]*metrics.Counter),
		refusals:     make(map[Cause]*metrics.Counter),
		forecasts:    make(map[Cause]*metrics.Histogram),
		queue:        &queueGauges{},
		shares:       &shareGauges{},
		fetches:      metrics.GetOrCreateCounter("sesamewell_adapter_fetches_total"),
		quarantines:  metrics.GetOrCreateCounter("sesamewell_quarantines_total"),
		streams:      newStreamGauges(),
		doubts:       metrics.GetOrCreateCounter("sesamewell_doubts_total"),
		withheld:     metrics.GetOrCreateCounter("sesamewell_cold_withheld_total"),
		withheldRate: metrics.GetOrCreateCounter("sesamewell_limit_withheld_total"),
		waited:       metrics.GetOrCreateHistogram("sesamewell_request_waited_seconds"),
		firstEvent:   metrics.GetOrCreateHistogram("sesamewell_request_first_event_seconds"),
		longestPause: metrics.GetOrCreateHistogram("sesamewell_request_longest_pause_seconds"),
		startError:   metrics.GetOrCreateHistogram("sesamewell_start_estimate_error_seconds"),
		cacheAge:     metrics.GetOrCreateHistogram("sesamewell_prefix_estimate_age_seconds"),
		took:         metrics.GetOrCreateHistogram("sesamewell_request_seconds"),
	}
	for state := range limitTexts {
		s.limits[state] = metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_limits_total{state=%q}", state))
	}
	for result, name := range resultNames {
		s.ends[result] = metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_sends_total{result=%q}", name))
	}
	for cause := range statuses {
		s.refusals[cause] = metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_refusals_total{cause=%q}", cause))
		s.forecasts[cause] = metrics.GetOrCreateHistogram(fmt.Sprintf("sesamewell_refusal_forecast_seconds{cause=%q}", cause))
	}
	return s
}

// refused updates the metrics with a refusal.
func (s *stats) refused(r Refuse) {
	s.refusals[r.Cause()].Inc()
	if r.Forecast() > 0 {
		s.forecasts[r.Cause()].Update(r.Forecast().Seconds())
	}
}

// requestWithheld updates the metrics with a request that was withheld.
func (s *stats) requestWithheld(r RecordWithheld) {
	if r.limited {
		s.withheldRate.Inc()
		return
	}
	s.withheld.Inc()
}

// sendEnded updates the metrics with the end of a send.
func (s *stats) sendEnded(r RecordSend) {
	s.ends[r.Result()].Inc()
	s.waited.Update(r.Waited().Seconds())
	if r.FirstEvent() > 0 {
		s.firstEvent.Update(r.FirstEvent().Seconds())
	}
	if r.LongestPause() > 0 {
		s.longestPause.Update(r.LongestPause().Seconds())
	}
	if e := r.Estimate(); e.Known() {
		s.startError.Update((e.Observed() - e.Predicted()).Abs().Seconds())
		if e.Cached() > 0 {
			s.cacheAge.Update(e.CacheAge().Seconds())
		}
	}
	if r.Result() == Complete {
		s.took.Update(r.Took().Seconds())
	}
}

// takeUp updates the metrics with a stream that a caller takes up.
func (s *stats) takeUp(r RecordTakeUp) {
	metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_take_ups_total{source=%q,goes_on=\"%t\"}", r.finding.Source(), r.goesOn)).Inc()
}

// streamGauges exports what is remembered of the origins of streams.
type streamGauges struct{ streams, bytes, dropped atomic.Int64 }

func newStreamGauges() *streamGauges {
	g := &streamGauges{}
	for name, value := range map[string]*atomic.Int64{"sesamewell_streams_remembered": &g.streams, "sesamewell_streams_remembered_bytes": &g.bytes, "sesamewell_streams_dropped_total": &g.dropped} {
		metrics.GetOrCreateGauge(name, func() float64 { return float64(value.Load()) })
	}
	return g
}

// update sets the number of streams that are remembered, the bytes that they take, and the
// number of those that were forgotten for want of room.
func (g *streamGauges) update(streams, bytes, dropped int) {
	g.streams.Store(int64(streams))
	g.bytes.Store(int64(bytes))
	g.dropped.Store(int64(dropped))
}

// registerGauges exports the number of open requests, readiness and uptime. The
// functions are called from any thread.
func registerGauges(open func() int, ready func() bool) {
	metrics.GetOrCreateGauge("sesamewell_open_requests", func() float64 { return float64(open()) })
	metrics.GetOrCreateGauge("sesamewell_ready", func() float64 {
		if ready() {
			return 1
		}
		return 0
	})
	started := time.Now()
	metrics.GetOrCreateGauge("sesamewell_uptime_seconds", func() float64 { return time.Since(started).Seconds() })
}
