package ratelimit

import (
	"math/bits"
	"time"
)

// amount is a number of tokens in nanotokens, so that what accrues within one
// nanosecond is exact for whole rates.
type nanotokens int64

const token nanotokens = 1_000_000_000

// tokens returns the amount of whole tokens.
func tokens(n int64) nanotokens { return nanotokens(n) * token }

// whole returns the whole tokens of the amount.
func (a nanotokens) whole() int64 { return int64(a / token) }

// milliRate is a rate in thousandths of a token per second.
type milliRate int64

const milli = 1000

// accrued returns what the rate brings in a time, at most limit.
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

// duration returns the time in which the rate brings an amount.
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

// lower returns the smaller of each limit.
func (s share) min(other share) share {
	return share{rate: min(s.rate, other.rate), burst: min(s.burst, other.burst)}
}

// bucket is a token bucket. The sum of its level and what is lent from it never
// exceeds its burst.
type bucket struct {
	share   share
	level   nanotokens
	lent    nanotokens
	updated time.Time
}

// advance adds what has accrued until now.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	room := b.room()
	b.level += b.share.rate.accrued(now.Sub(b.updated), room)
	b.updated = now
}

// room returns what the bucket can still hold.
func (b *bucket) room() nanotokens { return max(b.share.burst-b.lent-b.level, 0) }

// limit replaces rate and burst.
func (b *bucket) setShare(now time.Time, to share) {
	b.advance(now)
	b.share = to
	b.level = min(b.level, max(to.burst-b.lent, 0))
}

// add puts an amount in as far as there is room and returns the rest.
func (b *bucket) add(a nanotokens) nanotokens {
	taken := min(a, b.room())
	b.level += taken
	return a - taken
}

// take removes up to an amount and returns what was there.
func (b *bucket) take(a nanotokens) nanotokens {
	taken := min(a, b.level)
	b.level -= taken
	return taken
}
