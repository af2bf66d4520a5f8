package placement

import "time"

// bucket is a token bucket that limits the rate at which loads of models begin.
type bucket struct {
	tokens  float64
	updated time.Time
}

// newBucket returns an empty bucket.
func newBucket(now time.Time) bucket { return bucket{updated: now} }

// available refills the bucket at rate, in loads per second, and returns the
// number of loads that may begin now. The bucket holds the loads of one second,
// but at least one.
func (b *bucket) available(now time.Time, rate int64) int {
	b.tokens = min(b.tokens+now.Sub(b.updated).Seconds()*float64(rate), max(float64(rate), 1))
	b.updated = now
	return int(b.tokens)
}

// take removes the tokens of loads that begin.
func (b *bucket) take(loads int) { b.tokens -= float64(loads) }
