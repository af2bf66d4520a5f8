package memory

// Account is charged with bytes whatever its limit is.
type Account interface {
	// Charge charges a customer with bytes. It reports whether the limit is exceeded so far
	// that something has to be given up.
	Charge(customer string, bytes int64) bool
	// Release gives back bytes that a customer was charged with.
	Release(customer string, bytes int64)
}

// Charge is what an account is charged with for one owner: a buffer, or an answer. Its owner
// sets it as often as its size changes and releases it once; after that it stays zero, whoever
// sets it late. It must not be used concurrently.
type Charge struct {
	account  Account
	customer string
	bytes    int64
	released bool
}

// NewCharge returns a charge of no bytes.
func NewCharge(account Account, customer string) *Charge {
	return &Charge{account: account, customer: customer}
}

// Bytes returns the number of bytes that the account is charged with.
func (c *Charge) Bytes() int64 { return c.bytes }

// Set changes the charge to a number of bytes, unless it has been released. It reports whether
// the account is overrun so far that something has to be given up.
func (c *Charge) Set(bytes int64) (overrun bool) {
	if c.released {
		return false
	}
	more := bytes - c.bytes
	c.bytes = bytes
	switch {
	case more > 0:
		return c.account.Charge(c.customer, more)
	case more < 0:
		c.account.Release(c.customer, -more)
	}
	return false
}

// Release gives all bytes back for good. It may be called several times.
func (c *Charge) Release() {
	c.Set(0)
	c.released = true
}
