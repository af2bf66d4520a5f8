package placement

import "time"

// pacer is responsible for the rate at which loads begin.
type bucket struct {
	tokens  float64
	updated time.Time
}

func newBucket(now time.Time) bucket { return bucket{updated: now} }

// allowed returns the loads that may begin now, at most those of one second.
func (p *bucket) available(now time.Time, rate int64) int {
	p.tokens = min(p.tokens+now.Sub(p.updated).Seconds()*float64(rate), max(float64(rate), 1))
	p.updated = now
	return int(p.tokens)
}

// spend counts loads that begin.
func (p *bucket) take(loads int) { p.tokens -= float64(loads) }
