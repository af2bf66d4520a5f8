package scheduler

import (
	"math/rand/v2"
	"time"
)

const (
	// returnBurst is the number of callers that may return at the very time at which
	// capacity is expected; those refused after them return one by one.
	returnBurst = 2
	// retryWaitShare is the part of the time that they have left for which callers wait
	// before they return. With a longer retry delay they give up.
	retryWaitShare = 1.0 / 3
	runTimeShare   = 0.05 // weight of one run in the average of a service
)

// returns assigns the times at which refused callers may return: not before capacity is
// expected, and from then on at the rate at which it becomes free. Callers that are
// refused together would otherwise return together, to be refused again.
type returns struct {
	random *rand.Rand
	next   map[queueKey]time.Time // time of the next return that has not been assigned
}

func newReturns(random *rand.Rand) *returns {
	return &returns{random: random, next: make(map[queueKey]time.Time)}
}

// assign returns the time after which a caller may return. Capacity is expected after
// delay, then for a number of requests in a second. A caller obeys times up to limit. One
// that is not given a turn of its own within that takes none from those refused later.
func (r *returns) assign(now time.Time, key queueKey, delay, limit time.Duration, rate float64) time.Duration {
	spacing := time.Duration(float64(time.Second) / max(rate, minRate))
	earliest := now.Add(delay)
	next := r.next[key]
	if next.Before(earliest) {
		next = earliest
	}
	after := max(next.Sub(now)-returnBurst*spacing, delay)
	if after > delay {
		after += time.Duration(r.random.Float64() * float64(spacing))
	}
	switch {
	case delay >= limit:
		return delay
	case after > limit:
		return delay + time.Duration(r.random.Float64()*float64(limit-delay))
	default:
		r.next[key] = next.Add(spacing)
		return after
	}
}

// forget drops the assignments that are over.
func (r *returns) forget(now time.Time) {
	for key, next := range r.next {
		if next.Before(now) {
			delete(r.next, key)
		}
	}
}

// returnAfter returns the retry delay for the caller of a request that is refused now,
// where capacity is expected after delay.
func (c *Core) returnAfter(now time.Time, req *openRequest, delay time.Duration) time.Duration {
	req.forecast = delay
	if delay <= promptRetryAfter {
		return delay
	}
	limit := maxHold
	if !req.expires.IsZero() {
		limit = time.Duration(float64(req.expires.Sub(now)) * retryWaitShare)
	}
	return c.returns.assign(now, req.queueKey(), delay, limit, c.startRate(now, req))
}

// startRate returns the rate, in requests per second, at which this lobby can start
// requests for what a request needs: as observed while others wait, else this lobby's
// share of the slots over the time of a run.
func (c *Core) startRate(now time.Time, req *openRequest) float64 {
	key := req.queueKey()
	if c.forecast.observedFor(now, key, minObserved) {
		return c.forecast.queues[key].requestRate()
	}
	slots := 0
	service, _ := c.configuration.Service(req.service)
	engine, isEngine := service.Engine()
	for _, s := range c.byService[req.service] {
		if s.usable() && c.eligible(key, s) && (!isEngine || s.hasModel(key.model)) {
			slots += s.backend.Slots()
		}
	}
	return float64(max(slots, engine.Slots, 1)) / float64(c.lobbyCount) / c.runTime(req.service).Seconds()
}

// runTime returns the average time of the complete runs of a service.
func (c *Core) runTime(service string) time.Duration {
	if took, ok := c.runTimes[service]; ok {
		return max(took, time.Millisecond)
	}
	return initialRunTime
}

// runCompleted records the time that a complete run took.
func (c *Core) runCompleted(service string, took time.Duration) {
	average, ok := c.runTimes[service]
	if !ok {
		c.runTimes[service] = took
		return
	}
	c.runTimes[service] = average + time.Duration(float64(took-average)*runTimeShare)
}

// slotDelay returns the time after which a slot is expected to become free where all are
// taken: within a run of the service, and retryAfter at most.
func (c *Core) slotDelay(req *openRequest) time.Duration {
	return min(max(c.runTime(req.service)/2, 2*promptRetryAfter), retryAfter)
}

// freeQueueDelay returns the time after which the queue that a request needs has been
// served, zero if it has not been observed long enough.
func (c *Core) freeQueueDelay(now time.Time, req *openRequest) time.Duration {
	q, ok := c.waiting[req.queueKey()]
	if !ok {
		return 0
	}
	return c.forecast.startDelay(now, req.queueKey(), q.Work())
}
