package dispatcher

import "time"

// smoothing is the weight of a new sample in a moving average.
const smoothing = 0.1

// latencyEstimator estimates how long the backend server takes for an attempt.
type latencyEstimator struct {
	service   average // from dispatch to the end of the answer
	firstByte average // from dispatch to the first byte of the answer
}

// average is an exponentially weighted moving average of durations.
type average struct {
	value time.Duration
}

func (a *average) add(sample time.Duration) {
	if a.value == 0 {
		a.value = sample
		return
	}
	a.value += time.Duration(smoothing * float64(sample-a.value))
}

// wait estimates how long an attempt waits for a slot if ahead attempts precede it
// and all slots are in use.
func (e *latencyEstimator) wait(ahead, slots int) time.Duration {
	return time.Duration(ahead+1) * e.service.value / time.Duration(max(slots, 1))
}
