package ratelimit

import (
	"time"

	"sesamewell.example/commons/notice"
)

// debt is an outstanding allowance.
type loan struct {
	holder    string
	serial    int64
	size      nanotokens
	expiresAt time.Time // from then on the rest of it counts as spent
}

// ledger is responsible for the owner's part of one tenant's bucket: its level
// and its outstanding allowances.
type ownedBucket struct {
	bucket bucket
	loans  []loan
}

// advance brings the level up to now and writes off what came back too late.
func (l *ownedBucket) advance(now time.Time) {
	l.bucket.advance(now)
	kept := l.loans[:0]
	for _, d := range l.loans {
		if now.Before(d.expiresAt) {
			kept = append(kept, d)
			continue
		}
		l.bucket.lent -= d.size
	}
	l.loans = kept
}

// lend serves a need as far as the level allows.
func (l *ownedBucket) lend(now time.Time, holder string, serial int64, need notice.Need, until time.Time) notice.Loan {
	l.advance(now)
	level := l.bucket.level.whole()
	if level < need.Least() || level == 0 {
		wait := l.bucket.share.rate.timeToAccrue(tokens(max(need.Least(), 1)) - l.bucket.level)
		return notice.NewLoan(notice.LoanConfig{Tenant: need.Tenant(), Wait: max(wait, time.Millisecond)})
	}
	granted := min(level, need.All())
	granted += min(need.Stock(), (level-granted)/stockDivisor)
	if granted <= 0 {
		return notice.NewLoan(notice.LoanConfig{Tenant: need.Tenant()})
	}
	l.bucket.level -= tokens(granted)
	l.bucket.lent += tokens(granted)
	l.loans = append(l.loans, loan{holder: holder, serial: serial, size: tokens(granted), expiresAt: until})
	return notice.NewLoan(notice.LoanConfig{Tenant: need.Tenant(), Tokens: granted})
}

// settle ends an allowance and takes back what was not spent. An allowance that
// is not known, because its end was reported before or too late, changes
// nothing.
func (l *ownedBucket) settle(now time.Time, holder string, back notice.GiveBack) {
	l.advance(now)
	for i, d := range l.loans {
		if d.holder != holder || d.serial != back.Serial() {
			continue
		}
		l.loans = append(l.loans[:i], l.loans[i+1:]...)
		l.bucket.lent -= d.size
		l.bucket.add(min(tokens(max(back.Tokens(), 0)), d.size))
		return
	}
}

// balance returns the state that a successor needs.
func (l *ownedBucket) balance(now time.Time, tenant string) notice.Balance {
	l.advance(now)
	config := notice.BalanceConfig{Tenant: tenant, Level: l.bucket.level.whole()}
	for _, d := range l.loans {
		config.Debts = append(config.Debts, notice.NewDebt(notice.DebtConfig{
			Holder: d.holder, Serial: d.serial, Tokens: d.size.whole(), Remaining: d.expiresAt.Sub(now),
		}))
	}
	return notice.NewBalance(config)
}

// restore takes over a predecessor's state.
func (l *ownedBucket) restore(now time.Time, balance notice.Balance) {
	l.loans, l.bucket.lent, l.bucket.updated = nil, 0, now
	for _, d := range balance.Debts() {
		size := tokens(max(d.Tokens(), 0))
		l.bucket.lent += size
		l.loans = append(l.loans, loan{holder: d.Holder(), serial: d.Serial(), size: size, expiresAt: now.Add(d.Remaining())})
	}
	l.bucket.level = 0
	l.bucket.add(tokens(max(balance.Level(), 0)))
}
