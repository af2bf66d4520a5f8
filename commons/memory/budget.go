// Package memory accounts for the bytes of messages that a process holds: bodies of
// requests and answers. A process that takes more than it may is killed, and with it all
// its requests.
package memory

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// budgetPercent is the part of a process's memory that messages may take, in per cent.
	// The rest is for the program, for garbage and for buffers of the kernel.
	budgetPercent = 35
	// overrunPercent is the part of the budget by which what may not be refused, such as
	// answers, may exceed it, in per cent.
	overrunPercent = 25
	// freeShare is the number of times that one customer may hold the bytes that are free.
	freeShare = 2
	// smallBody is the size of a body in bytes up to which the budget may be exceeded by
	// smallPercent, so that large answers keep no small request out.
	smallBody    = 64 << 10
	smallPercent = 50
)

// Budget is an account of bytes by customer. One customer may hold twice as much as is
// free, so that there is always room for others, however many bytes one asks for; with
// only one that takes it two thirds of the budget. This is the dynamic threshold of
// Choudhury and Hahne (IEEE/ACM Transactions on Networking 6(2), 1998). It is safe for
// concurrent use.
type Budget struct {
	limit     int64
	overdrawn *metrics.Counter

	mu    sync.Mutex
	log   *logrus.Entry // nil for none
	total int64
	held  map[string]int64 // by customer
}

// NewBudget returns an empty account of a process that may take the given number of bytes
// of memory.
func NewBudget(memory int64) *Budget { return NewBudgetOf(memory * budgetPercent / 100) }

// NewBudgetOf returns an empty account with a limit in bytes.
func NewBudgetOf(limit int64) *Budget {
	return &Budget{limit: limit, held: make(map[string]int64), overdrawn: metrics.GetOrCreateCounter("sesamewell_account_faults_total")}
}

// Export exports the account as metrics of the process, and reports faults in it to a log.
func (b *Budget) Export(log *logrus.Entry) {
	metrics.GetOrCreateGauge("sesamewell_held_bytes", func() float64 { return float64(b.Total()) })
	metrics.GetOrCreateGauge("sesamewell_held_bytes_limit", func() float64 { return float64(b.limit) })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log = log
}

// Admit charges a customer with bytes if there is room for them, and reports whether there
// is.
func (b *Budget) Admit(customer string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes <= smallBody && b.total+bytes > b.limit+b.limit*smallPercent/100 {
		return false
	}
	if free := b.limit - b.total; bytes > smallBody && (bytes > free || b.held[customer]+bytes > freeShare*free) {
		return false
	}
	b.charge(customer, bytes)
	return true
}

// Charge charges a customer with bytes that the process holds whatever the limit is. It
// reports whether the budget is overrun so far that something has to be given up.
func (b *Budget) Charge(customer string, bytes int64) (overrun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge(customer, bytes)
	return b.total > b.limit+b.limit*overrunPercent/100
}

// Release gives bytes back that a customer was charged with. It is a fault in the program to
// give back more; what exceeds the charge is reported and does not count.
func (b *Budget) Release(customer string, bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.held[customer]; bytes > held {
		b.overdrawn.Inc()
		if b.log != nil {
			b.log.WithFields(logrus.Fields{"event": "account", "held": held, "released": bytes}).Error("more bytes given back than a customer was charged with")
		}
		bytes = held
	}
	b.charge(customer, -bytes)
}

func (b *Budget) charge(customer string, bytes int64) {
	b.total += bytes
	if b.held[customer] += bytes; b.held[customer] == 0 {
		delete(b.held, customer)
	}
}

// Total returns the number of bytes that are held.
func (b *Budget) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }
