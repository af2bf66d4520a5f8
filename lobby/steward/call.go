package steward

import (
	"time"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/visit"
)

// call is responsible for one request whose answer has not ended.
type call struct {
	number  uint64
	visit   *visit.Visit
	route   charter.Route
	tenant  charter.Tenant
	service string
	expires time.Time
	host    *host // that has it now
	reading int64 // prompt tokens counted there
	sent    int   // backend servers that it has reached
	unsent  int   // sends that failed before a byte was sent
	begun   bool
	parked  bool // it waits for a backend server
	tried   map[string]bool
}

// repeatable reports whether the request may run again after it may have run.
func (c *call) repeatable() bool {
	return c.route.Repeatable() || c.route.Resumable() && !c.begun
}
