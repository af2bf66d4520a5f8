package ratelimit

import (
	"time"

	"sesamewell.example/commons/protocol"
)

// loan is an outstanding allowance.
type loan struct {
	holder    string
	serial    int64
	size      nanotokens
	expiresAt time.Time // time from which its remaining tokens count as spent
}

// ownedBucket is a tenant's bucket at its owner, with the outstanding allowances.
type ownedBucket struct {
	bucket bucket
	loans  []loan
}

// advance accrues until now and writes off allowances that were not returned in
// time.
func (b *ownedBucket) advance(now time.Time) {
	b.bucket.advance(now)
	kept := b.loans[:0]
	for _, l := range b.loans {
		if now.Before(l.expiresAt) {
			kept = append(kept, l)
			continue
		}
		b.bucket.lent -= l.size
	}
	b.loans = kept
}

// lend grants a request for tokens as far as the level allows.
func (b *ownedBucket) lend(now time.Time, holder string, serial int64, request protocol.LoanRequest, until time.Time) protocol.Loan {
	b.advance(now)
	level := b.bucket.level.whole()
	if level < request.Min() || level == 0 {
		wait := b.bucket.share.rate.timeToAccrue(tokens(max(request.Min(), 1)) - b.bucket.level)
		return protocol.NewLoan(protocol.LoanConfig{Tenant: request.Tenant(), Wait: max(wait, time.Millisecond)})
	}
	granted := min(level, request.Backlog())
	granted += min(request.Reserve(), (level-granted)/reserveDivisor)
	if granted <= 0 {
		return protocol.NewLoan(protocol.LoanConfig{Tenant: request.Tenant()})
	}
	b.bucket.level -= tokens(granted)
	b.bucket.lent += tokens(granted)
	b.loans = append(b.loans, loan{holder: holder, serial: serial, size: tokens(granted), expiresAt: until})
	return protocol.NewLoan(protocol.LoanConfig{Tenant: request.Tenant(), Tokens: granted})
}

// settle ends an allowance and takes back its unspent tokens. An unknown
// allowance, whose end was reported before or too late, changes nothing.
func (b *ownedBucket) settle(now time.Time, holder string, returned protocol.Return) {
	b.advance(now)
	for i, l := range b.loans {
		if l.holder != holder || l.serial != returned.Serial() {
			continue
		}
		b.loans = append(b.loans[:i], b.loans[i+1:]...)
		b.bucket.lent -= l.size
		b.bucket.add(min(tokens(max(returned.Tokens(), 0)), l.size))
		return
	}
}

// balance returns the state that a successor needs.
func (b *ownedBucket) balance(now time.Time, tenant string) protocol.Balance {
	b.advance(now)
	config := protocol.BalanceConfig{Tenant: tenant, Level: b.bucket.level.whole()}
	for _, l := range b.loans {
		config.Loans = append(config.Loans, protocol.NewOutstandingLoan(protocol.OutstandingLoanConfig{
			Borrower: l.holder, Serial: l.serial, Tokens: l.size.whole(), Remaining: l.expiresAt.Sub(now),
		}))
	}
	return protocol.NewBalance(config)
}

// restore replaces the state with a predecessor's.
func (b *ownedBucket) restore(now time.Time, balance protocol.Balance) {
	b.loans, b.bucket.lent, b.bucket.updated = nil, 0, now
	for _, l := range balance.Loans() {
		size := tokens(max(l.Tokens(), 0))
		b.bucket.lent += size
		b.loans = append(b.loans, loan{holder: l.Borrower(), serial: l.Serial(), size: size, expiresAt: now.Add(l.Remaining())})
	}
	b.bucket.level = 0
	b.bucket.add(tokens(max(balance.Level(), 0)))
}
