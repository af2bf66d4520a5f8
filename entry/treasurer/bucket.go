package treasurer

import (
	"math/bits"
	"time"
)

// amount is a number of tokens in nanotokens, so that what accrues within one
// nanosecond is exact for whole rates.
type amount int64

const token amount = 1_000_000_000

// tokens returns the amount of whole tokens.
func tokens(n int64) amount { return amount(n) * token }

// whole returns the whole tokens of the amount.
func (a amount) whole() int64 { return int64(a / token) }

// milliRate is a rate in thousandths of a token per second.
type milliRate int64

const milli = 1000

// accrued returns what the rate brings in a time, at most limit.
func (r milliRate) accrued(span time.Duration, limit amount) amount {
	high, low := bits.Mul64(uint64(max(r, 0)), uint64(max(span, 0)))
	if high >= milli {
		return limit
	}
	quotient, _ := bits.Div64(high, low, milli)
	if quotient >= uint64(limit) {
		return limit
	}
	return amount(quotient)
}

// duration returns the time in which the rate brings an amount.
func (r milliRate) duration(a amount) time.Duration {
	if r <= 0 {
		return maxWait
	}
	high, low := bits.Mul64(uint64(max(a, 0)), milli)
	if high >= uint64(r) {
		return maxWait
	}
	quotient, _ := bits.Div64(high, low, uint64(r))
	return min(time.Duration(min(quotient, uint64(maxWait))), maxWait)
}

// share is a part of a tenant's rate and burst.
type share struct {
	rate  milliRate
	burst amount
}

// lower returns the smaller of each limit.
func (s share) lower(other share) share {
	return share{rate: min(s.rate, other.rate), burst: min(s.burst, other.burst)}
}

// bucket is a token bucket. The sum of its level and what is lent from it never
// exceeds its burst.
type bucket struct {
	share share
	level amount
	lent  amount
	at    time.Time
}

// advance adds what has accrued until now.
func (b *bucket) advance(now time.Time) {
	if !now.After(b.at) {
		return
	}
	room := b.room()
	b.level += b.share.rate.accrued(now.Sub(b.at), room)
	b.at = now
}

// room returns what the bucket can still hold.
func (b *bucket) room() amount { return max(b.share.burst-b.lent-b.level, 0) }

// limit replaces rate and burst.
func (b *bucket) limit(now time.Time, to share) {
	b.advance(now)
	b.share = to
	b.level = min(b.level, max(to.burst-b.lent, 0))
}

// add puts an amount in as far as there is room and returns the rest.
func (b *bucket) add(a amount) amount {
	taken := min(a, b.room())
	b.level += taken
	return a - taken
}

// take removes up to an amount and returns what was there.
func (b *bucket) take(a amount) amount {
	taken := min(a, b.level)
	b.level -= taken
	return taken
}
