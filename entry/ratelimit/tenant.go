package ratelimit

import (
	"time"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/entry/router"
)

// allowance is a number of tokens that this entry has borrowed until expiresAt.
type allowance struct {
	serial    int64
	size      nanotokens
	remaining nanotokens
	expiresAt time.Time
}

// waitingRequest is a request that waits for an allowance.
type waitingRequest struct {
	request   router.Request
	arrivedAt time.Time
}

// tenantState holds what this entry may spend of one tenant's rate, its floor and
// its borrowed allowances, and the requests that wait for tokens.
type tenantState struct {
	floor          bucket
	allowances     []allowance // ordered by expiry
	waiting        []waitingRequest
	demand         float64       // moving average of requested tokens per second
	requested      int64         // tokens requested since the last tick
	largestRequest int64         // tokens of the largest recent request
	refuseUntil    time.Time     // new requests that need an allowance are refused until then
	refusalWait    time.Duration // wait that the owner gave with its refusal
	reservedUntil  time.Time     // end of the accrual that is reserved for retries of refused callers
}

// available returns the amount that can be spent now.
func (s *tenantState) available(now time.Time, floor bool) nanotokens {
	var sum nanotokens
	if floor {
		s.floor.advance(now)
		sum = s.floor.level
	}
	for _, a := range s.allowances {
		if now.Before(a.expiresAt) {
			sum += a.remaining
		}
	}
	return sum
}

// spend removes an amount if there is enough, and reports whether there was. It
// takes from the upper part of the floor first, which would otherwise stop
// accruing, then from allowances, then from the rest of the floor.
func (s *tenantState) spend(now time.Time, a nanotokens, floor bool) bool {
	if s.available(now, floor) < a {
		return false
	}
	if floor {
		a -= s.floor.take(min(a, max(s.floor.level-s.floor.share.burst/floorReserveDivisor, 0)))
	}
	for i := range s.allowances {
		if !now.Before(s.allowances[i].expiresAt) {
			continue
		}
		part := min(a, s.allowances[i].remaining)
		s.allowances[i].remaining -= part
		a -= part
	}
	s.floor.take(a)
	return true
}

// refund takes back the unused tokens of an answer, as far as current allowances
// and the floor have room. An allowance is refilled at most to its original size
// and the floor to its burst.
func (s *tenantState) refund(now time.Time, a nanotokens, floor bool) {
	for i := len(s.allowances) - 1; i >= 0 && a > 0; i-- {
		if !now.Before(s.allowances[i].expiresAt) {
			continue
		}
		part := min(a, s.allowances[i].size-s.allowances[i].remaining)
		s.allowances[i].remaining += part
		a -= part
	}
	if floor {
		s.floor.advance(now)
		s.floor.add(a)
	}
}

// expire removes and returns the expired allowances.
func (s *tenantState) expire(now time.Time) []allowance {
	var ended []allowance
	kept := s.allowances[:0]
	for _, a := range s.allowances {
		if now.Before(a.expiresAt) {
			kept = append(kept, a)
			continue
		}
		ended = append(ended, a)
	}
	s.allowances = kept
	return ended
}

// updateDemand updates the moving average of demand once per tick.
func (s *tenantState) updateDemand(span time.Duration) {
	if span <= 0 {
		return
	}
	s.demand += (float64(s.requested)/span.Seconds() - s.demand) * demandWeight
	s.requested = 0
	if s.demand < 1 {
		s.demand, s.largestRequest = 0, 0
	}
}

// loanRequest returns the request for tokens to borrow, and whether any are needed.
func (s *tenantState) loanRequest(now time.Time, tenant string, floor bool) (protocol.LoanRequest, bool) {
	config := protocol.LoanRequestConfig{Tenant: tenant}
	available := s.available(now, floor)
	var waiting nanotokens
	for i, w := range s.waiting {
		waiting += tokens(w.request.Tokens())
		if i == 0 {
			config.Min = ceilTokens(waiting - available)
		}
	}
	config.Backlog = ceilTokens(waiting - available)
	target := int64(s.demand*reserveHorizon.Seconds()) + s.largestRequest
	reserve := s.reserve(now).whole()
	if s.demand > 0 && reserve < target/2 {
		config.Reserve = target - reserve
	}
	wanted := config.Backlog > 0 || (config.Reserve > 0 && !now.Before(s.refuseUntil))
	return protocol.NewLoanRequest(config), wanted
}

// ceilTokens returns an amount in whole tokens, rounded up, or 0 if negative.
func ceilTokens(a nanotokens) int64 { return max((a + token - 1).whole(), 0) }

// reserve returns the remaining amount of the allowances that do not expire soon.
func (s *tenantState) reserve(now time.Time) nanotokens {
	var sum nanotokens
	for _, a := range s.allowances {
		if now.Add(renewAhead).Before(a.expiresAt) {
			sum += a.remaining
		}
	}
	return sum
}
