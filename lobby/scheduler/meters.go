package scheduler

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters is responsible for the steward's metrics.
type stats struct {
	ends         map[Result]*metrics.Counter
	refusals     map[Cause]*metrics.Counter
	fetches      *metrics.Counter
	waited       *metrics.Histogram
	firstEvent   *metrics.Histogram
	longestPause *metrics.Histogram
	took         *metrics.Histogram
}

func newStats() *stats {
	m := &stats{
		ends:         make(map[Result]*metrics.Counter),
		refusals:     make(map[Cause]*metrics.Counter),
		fetches:      metrics.GetOrCreateCounter("sesamewell_adapter_fetches_total"),
		waited:       metrics.GetOrCreateHistogram("sesamewell_request_waited_seconds"),
		firstEvent:   metrics.GetOrCreateHistogram("sesamewell_request_first_event_seconds"),
		longestPause: metrics.GetOrCreateHistogram("sesamewell_request_longest_pause_seconds"),
		took:         metrics.GetOrCreateHistogram("sesamewell_request_seconds"),
	}
	for result, name := range resultNames {
		m.ends[result] = metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_sends_total{result=%q}", name))
	}
	for cause := range statuses {
		m.refusals[cause] = metrics.GetOrCreateCounter(fmt.Sprintf("sesamewell_refusals_total{cause=%q}", cause))
	}
	return m
}

// ended counts the end of a send.
func (m *stats) sendEnded(n RecordSend) {
	m.ends[n.Result()].Inc()
	m.waited.Update(n.Waited().Seconds())
	if n.FirstEvent() > 0 {
		m.firstEvent.Update(n.FirstEvent().Seconds())
	}
	if n.LongestPause() > 0 {
		m.longestPause.Update(n.LongestPause().Seconds())
	}
	if n.Result() == Complete {
		m.took.Update(n.Took().Seconds())
	}
}

// watch makes the numbers of the core gauges. Each is read through a function
// that any thread may call.
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
