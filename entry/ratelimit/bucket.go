package ratelimit

import (
	"math/bits"
	"time"
)

// nanotokens is a number of tokens in billionths, so that the accrual within one
// nanosecond is exact for whole rates.
type nanotokens int64

const token nanotokens = 1_000_000_000

// tokens converts whole tokens to nanotokens.
func tokens(n int64) nanotokens { return nanotokens(n) * token }

// whole returns the number of whole tokens, rounded down.
func (a nanotokens) whole() int64 { return int64(a / token) }

// milliRate is a rate in thousandths of a token per second.
type milliRate int64

const milli = 1000

// accrued returns the amount that accrues within span, at most limit.
func (r milliRate) accrued(span time.Duration, limit nanotokens) nanotokens {
	high, low := bits.Mul64(uint64(max(r, 0)), uint64(max(span, 0)))
	if high >= milli {
		return limit
	}
	quotient, _ := bits.Div64(high, low, milli)
	if quotient >= uint64(limit) {
		return limit
	}
	return nanotokens(quotient)
}

// timeToAccrue returns the time in which an amount accrues, at most
// maxRetryAfter.
func (r milliRate) timeToAccrue(a nanotokens) time.Duration {
	if r <= 0 {
		return maxRetryAfter
	}
	high, low := bits.Mul64(uint64(max(a, 0)), milli)
	if high >= uint64(r) {
		return maxRetryAfter
	}
	quotient, _ := bits.Div64(high, low, uint64(r))
	return min(time.Duration(min(quotient, uint64(maxRetryAfter))), maxRetryAfter)
}

// share is a part of a tenant's rate and burst.
type share struct {
	rate  milliRate
	burst nanotokens
}

// min returns the smaller rate and the smaller burst of two shares.
func (s share) min(other share) share {
	return share{rate: min(s.rate, other.rate), burst: min(s.burst, other.burst)}
}

// bucket is a token bucket. The sum of its level and the amount lent from it
// never exceeds its burst.
type bucket struct {
	share   share
	level   nanotokens
	lent    nanotokens
	updated time.Time
}

// advance adds the amount that has accrued until now.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	room := b.room()
	b.level += b.share.rate.accrued(now.Sub(b.updated), room)
	b.updated = now
}

// room returns the amount that the bucket can still take.
func (b *bucket) room() nanotokens { return max(b.share.burst-b.lent-b.level, 0) }

// setShare replaces rate and burst.
func (b *bucket) setShare(now time.Time, to share) {
	b.advance(now)
	b.share = to
	b.level = min(b.level, max(to.burst-b.lent, 0))
}

// add adds an amount as far as there is room and returns the remainder.
func (b *bucket) add(a nanotokens) nanotokens {
	taken := min(a, b.room())
	b.level += taken
	return a - taken
}

// take removes up to an amount and returns the amount removed.
func (b *bucket) take(a nanotokens) nanotokens {
	taken := min(a, b.level)
	b.level -= taken
	return taken
}
