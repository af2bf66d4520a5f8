package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/crew"
)

const (
	pollPeriod = 400 * time.Millisecond // between two reads of the list
	// wholePeriod is the time between two reads of the whole list, which mend
	// what a change that was missed left behind.
	fullReadPeriod = 15 * time.Second
	// outageLeast is the shortest time without an answer of the store in which
	// entries may have lapsed: backend servers write each 1.2 s and lapse after
	// three.
	minOutage = 2500 * time.Millisecond
	// lapseGrace is the time from the store's return in which backend servers
	// that live are on its list again.
	outageGrace = 2 * time.Second
)

// Backends is responsible for following the list of backend servers.
type BackendWatcher struct {
	config       WatcherConfig
	offset       int64
	known        map[string]charter.Backend
	lastFullRead time.Time       // of the last read of the whole list
	lastRead     time.Time       // of the last read that was answered
	outageEnd    time.Time       // when the store was last reached after an outage
	missing      map[string]bool // ids of known that have left the list since then
	reachable    bool
}

// NewBackends returns the duty.
func NewBackendWatcher(config WatcherConfig) *BackendWatcher {
	return &BackendWatcher{config: config, missing: make(map[string]bool)}
}

// String returns the duty's name.
func (*BackendWatcher) String() string { return "backends" }

// Serve reads until ctx ends.
func (h *BackendWatcher) Serve(ctx context.Context) error {
	for {
		err := h.step(time.Now())
		h.reachable = logReachability(h.config.Log, "backends", h.reachable, err)
		if err := crew.Pause(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

func (h *BackendWatcher) step(now time.Time) error {
	err := h.poll(now)
	if err == nil {
		h.removeMissing(now)
	}
	return err
}

func (h *BackendWatcher) poll(now time.Time) error {
	if h.known == nil || now.Sub(h.lastFullRead) > fullReadPeriod {
		return h.readAll(now)
	}
	changes, offset, err := h.config.Store.Changes(h.offset)
	if errors.Is(err, ErrMissed) {
		return h.readAll(now)
	}
	if err != nil {
		return err
	}
	h.recordRead(now)
	h.offset = offset
	for id, backend := range changes {
		h.apply(now, id, backend)
	}
	if len(changes) > 0 {
		h.publish()
	}
	return nil
}

func (h *BackendWatcher) readAll(now time.Time) error {
	all, offset, err := h.config.Store.Backends()
	if err != nil {
		return err
	}
	h.recordRead(now)
	if h.known == nil {
		h.known = make(map[string]charter.Backend, len(all))
	}
	for id := range h.known {
		if _, ok := all[id]; !ok {
			h.apply(now, id, charter.Backend{})
		}
	}
	for id, backend := range all {
		h.apply(now, id, backend)
	}
	h.offset, h.lastFullRead = offset, now
	h.publish()
	return nil
}

// answered notes a read that was answered. Entries may have lapsed while none
// was.
func (h *BackendWatcher) recordRead(now time.Time) {
	if !h.lastRead.IsZero() && now.Sub(h.lastRead) >= minOutage {
		h.outageEnd = now
	}
	h.lastRead = now
}

// take takes what the list says of one backend server. One that is not on it
// any more is gone, but for a while after an outage, unless it was leaving.
func (h *BackendWatcher) apply(now time.Time, id string, backend charter.Backend) {
	known, ok := h.known[id]
	switch {
	case backend.ID() != "":
		h.known[id] = backend
		delete(h.missing, id)
	case ok && !known.Leaving() && now.Sub(h.outageEnd) < outageGrace:
		h.missing[id] = true
	default:
		delete(h.known, id)
		delete(h.missing, id)
	}
}

// bury drops the entries that have not come back after an outage.
func (h *BackendWatcher) removeMissing(now time.Time) {
	if len(h.missing) == 0 || now.Sub(h.outageEnd) < outageGrace {
		return
	}
	for id := range h.missing {
		delete(h.known, id)
	}
	h.config.Log.WithFields(logrus.Fields{"event": "lapsed", "backends": len(h.missing)}).Warn("backend servers have not come back after an outage of the store")
	clear(h.missing)
	h.publish()
}

func (h *BackendWatcher) publish() {
	list := make([]charter.Backend, 0, len(h.known))
	for _, backend := range h.known {
		list = append(list, backend)
	}
	h.config.State.setBackends(list)
}
