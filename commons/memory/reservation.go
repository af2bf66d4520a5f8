package memory

// Admitter is an account that admits bytes only if there is room for them.
type Admitter interface {
	// Admit charges a customer with bytes if there is room for them, and reports whether
	// there is.
	Admit(customer string, bytes int64) bool
	// Release gives back bytes that a customer was charged with.
	Release(customer string, bytes int64)
}

// Reservation is what an account has admitted for one owner, such as a request that arrives.
// Its owner adds to it as it grows and releases it once; after that it stays zero, also if it
// is released while the account looks for room. It must not be used concurrently.
type Reservation struct {
	account  Admitter
	customer string
	bytes    int64
	released bool
}

// NewReservation returns a reservation of no bytes. Without an account, which is nil then, it
// admits any number and counts none.
func NewReservation(account Admitter, customer string) *Reservation {
	return &Reservation{account: account, customer: customer}
}

// Bytes returns the number of bytes that are reserved, zero for nil.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	return r.bytes
}

// Add reserves more bytes. It reports whether there is room for them and the reservation has
// not been released.
func (r *Reservation) Add(bytes int64) bool {
	if r.released || r.account == nil {
		return !r.released
	}
	if !r.account.Admit(r.customer, bytes) {
		return false
	}
	if r.released { // to make room
		r.account.Release(r.customer, bytes)
		return false
	}
	r.bytes += bytes
	return true
}

// Release gives all bytes back for good. It may be called several times, and for nil.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	bytes := r.bytes
	r.bytes, r.released = 0, true
	if bytes > 0 {
		r.account.Release(r.customer, bytes)
	}
}
