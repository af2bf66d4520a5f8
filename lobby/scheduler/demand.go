package scheduler

import (
	"maps"
	"time"
)

const (
	// Demand follows a rise faster than a fall, since the requests of a model that
	// has too few copies wait, while a copy too many costs little.
	risingDemandWindow  = 500 * time.Millisecond
	fallingDemandWindow = 3 * time.Second
	minDemand           = 1e-4 // engines; models with less demand are dropped
	initialRunTime      = time.Second
	runTimeWeight       = 0.05 // weight of one run in the average
)

// demand estimates how many engines the requests for each model keep busy: those
// that are open, and those that were refused for want of a loaded model or a free
// engine, for as long as a run takes on average.
type demand struct {
	engines map[string]float64 // moving average by model
	refused map[string]float64 // engines that refused requests would keep busy, by model
	runTime time.Duration      // average time from the send of a request to the end of its answer
}

func newDemand() *demand {
	return &demand{engines: make(map[string]float64), refused: make(map[string]float64), runTime: initialRunTime}
}

// runEnded records the time that a complete run took.
func (d *demand) runEnded(took time.Duration) {
	d.runTime += time.Duration(float64(took-d.runTime) * runTimeWeight)
}

// requestRefused records that a request was refused that would have kept busy a share
// of an engine.
func (d *demand) requestRefused(model string, share float64) { d.refused[model] += share }

// update updates the averages after span with the engines that open requests keep
// busy now.
func (d *demand) update(span time.Duration, open map[string]float64) {
	for model, engines := range d.refused {
		open[model] += engines
		engines -= engines * min(span.Seconds()/d.runTime.Seconds(), 1)
		if d.refused[model] = engines; engines < minDemand {
			delete(d.refused, model)
		}
	}
	for model := range open {
		if _, known := d.engines[model]; !known {
			d.engines[model] = 0
		}
	}
	for model, engines := range d.engines {
		engines += (open[model] - engines) * demandWeight(span, open[model] > engines)
		if d.engines[model] = engines; engines < minDemand {
			delete(d.engines, model)
		}
	}
}

// byModel returns a copy of the averages.
func (d *demand) byModel() map[string]float64 { return maps.Clone(d.engines) }

// demandWeight returns the weight of the open requests in the average, after the
// given time since the last update.
func demandWeight(span time.Duration, rising bool) float64 {
	window := fallingDemandWindow
	if rising {
		window = risingDemandWindow
	}
	return min(span.Seconds()/window.Seconds(), 1)
}
