package dispatcher

import "time"

// smoothing is the weight of a new sample in a moving average.
const smoothing = 0.1

// pace is responsible for how fast the backend server has worked of late.
type latencyEstimator struct {
	service   average // from dispatch to the end of the answer
	firstByte average // from dispatch to the first byte of the answer
}

// average is an exponentially weighted moving average of times.
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

// wait estimates how long an attempt waits that has so many others before it,
// while every one of the slots is taken.
func (p *latencyEstimator) wait(ahead, slots int) time.Duration {
	return time.Duration(ahead+1) * p.service.value / time.Duration(max(slots, 1))
}
