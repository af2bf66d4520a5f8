package herald

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/crew"
)

const (
	listPeriod = 400 * time.Millisecond // between two reads of the list
	// wholePeriod is the time between two reads of the whole list, which mend
	// what a change that was missed left behind.
	wholePeriod = 15 * time.Second
	// outageLeast is the shortest time without an answer of the store in which
	// entries may have lapsed: backend servers write each 1.2 s and lapse after
	// three.
	outageLeast = 2500 * time.Millisecond
	// lapseGrace is the time from the store's return in which backend servers
	// that live are on its list again.
	lapseGrace = 2 * time.Second
)

// Backends is responsible for following the list of backend servers.
type Backends struct {
	config  Config
	offset  int64
	known   map[string]charter.Backend
	whole   time.Time       // of the last read of the whole list
	read    time.Time       // of the last read that was answered
	back    time.Time       // when the store was last reached after an outage
	lapsed  map[string]bool // ids of known that have left the list since then
	reached bool
}

// NewBackends returns the duty.
func NewBackends(config Config) *Backends {
	return &Backends{config: config, lapsed: make(map[string]bool)}
}

// String returns the duty's name.
func (*Backends) String() string { return "backends" }

// Serve reads until ctx ends.
func (h *Backends) Serve(ctx context.Context) error {
	for {
		err := h.step(time.Now())
		h.reached = report(h.config.Log, "backends", h.reached, err)
		if err := crew.Pause(ctx, listPeriod); err != nil {
			return err
		}
	}
}

func (h *Backends) step(now time.Time) error {
	err := h.follow(now)
	if err == nil {
		h.bury(now)
	}
	return err
}

func (h *Backends) follow(now time.Time) error {
	if h.known == nil || now.Sub(h.whole) > wholePeriod {
		return h.readAll(now)
	}
	changes, offset, err := h.config.Store.Changes(h.offset)
	if errors.Is(err, ErrMissed) {
		return h.readAll(now)
	}
	if err != nil {
		return err
	}
	h.answered(now)
	h.offset = offset
	for id, backend := range changes {
		h.take(now, id, backend)
	}
	if len(changes) > 0 {
		h.pass()
	}
	return nil
}

func (h *Backends) readAll(now time.Time) error {
	all, offset, err := h.config.Store.Backends()
	if err != nil {
		return err
	}
	h.answered(now)
	if h.known == nil {
		h.known = make(map[string]charter.Backend, len(all))
	}
	for id := range h.known {
		if _, ok := all[id]; !ok {
			h.take(now, id, charter.Backend{})
		}
	}
	for id, backend := range all {
		h.take(now, id, backend)
	}
	h.offset, h.whole = offset, now
	h.pass()
	return nil
}

// answered notes a read that was answered. Entries may have lapsed while none
// was.
func (h *Backends) answered(now time.Time) {
	if !h.read.IsZero() && now.Sub(h.read) >= outageLeast {
		h.back = now
	}
	h.read = now
}

// take takes what the list says of one backend server. One that is not on it
// any more is gone, but for a while after an outage, unless it was leaving.
func (h *Backends) take(now time.Time, id string, backend charter.Backend) {
	known, ok := h.known[id]
	switch {
	case backend.ID() != "":
		h.known[id] = backend
		delete(h.lapsed, id)
	case ok && !known.Leaving() && now.Sub(h.back) < lapseGrace:
		h.lapsed[id] = true
	default:
		delete(h.known, id)
		delete(h.lapsed, id)
	}
}

// bury drops the entries that have not come back after an outage.
func (h *Backends) bury(now time.Time) {
	if len(h.lapsed) == 0 || now.Sub(h.back) < lapseGrace {
		return
	}
	for id := range h.lapsed {
		delete(h.known, id)
	}
	h.config.Log.WithFields(logrus.Fields{"event": "lapsed", "backends": len(h.lapsed)}).Warn("backend servers have not come back after an outage of the store")
	clear(h.lapsed)
	h.pass()
}

func (h *Backends) pass() {
	list := make([]charter.Backend, 0, len(h.known))
	for _, backend := range h.known {
		list = append(list, backend)
	}
	h.config.Board.postBackends(list)
}
