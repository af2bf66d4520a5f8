package discovery

import (
	"context"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/transit"
)

const (
	// The list is read pollsPerDrain times within the time in which a backend server
	// that leaves must get no new requests, which allows for a slow read.
	pollsPerDrain = 5
	minPollPeriod = 100 * time.Millisecond
	hurriedPeriod = 150 * time.Millisecond // time between two reads while requests wait for a change
	maxPollPeriod = time.Second
	// readerDelay is the additional time that a lobby waits for the changes that another
	// one of its failure domain reads, for each lobby that reads before it, up to the
	// time between two reads. So the next one reads soon if the first has stopped.
	readerDelay = 150 * time.Millisecond
	// republishPeriod is the time after which an unchanged list is passed on again.
	republishPeriod = time.Second
	updateCapacity  = 8 // updates of other lobbies that may be queued
	// fullReadPeriod is the time between two reads of the full list, which correct
	// the effects of missed changes.
	fullReadPeriod = 15 * time.Second
	// followerReadPeriod is the time between two reads of the full list by a lobby that
	// gets the changes from another one.
	followerReadPeriod = 45 * time.Second
	// minOutage is the shortest time without an answer of the store after which
	// entries may have expired although their backend servers run: backend servers
	// write every 1.2 s and their entries expire after three.
	minOutage = 2500 * time.Millisecond
	// outageGrace is the time within which running backend servers are on the list
	// again after an outage of the store.
	outageGrace = 2 * time.Second
	// restoreGrace is the time after a restore of the store within which its list may
	// still hold backend servers as they were before: entries expire after three reports.
	restoreGrace = 4 * time.Second
	// removalMemory is the time for which a removed backend server is remembered. A store
	// is restored to a state of some seconds ago.
	removalMemory = time.Minute
	maxRemoved    = 4096 // removed backend servers that are remembered
	// maxBackends and maxStrangers bound the entries that are kept of the list, in all and
	// of services that are not configured. Other writers may add any number.
	maxBackends  = 16384
	maxStrangers = 256
)

// BackendWatcher watches the list of backend servers. The lobbies of a failure domain
// share their reads: each waits a little longer for the changes than the one before it.
type BackendWatcher struct {
	config       WatcherConfig
	sharer       ListSharer
	updates      *ring.Ring // of protocol.ListUpdate, those of other lobbies
	clocks       *transit.Clocks
	rank         atomic.Int32
	position     deployment.Position
	backends     map[string]deployment.Backend
	lastFullRead time.Time          // time of the last read of the full list
	afterFull    bool               // the last read was of the full list, which may be newer than position
	lastRead     time.Time          // time of the last successful read
	lastAttempt  time.Time          // time of the last read
	lastUpdate   time.Time          // time of the last update of another lobby that this one needed not read
	published    time.Time          // time at which the list was last passed on
	outageEnd    time.Time          // time at which the last outage of the store ended
	missing      map[string]bool    // IDs in backends that have not been listed since the outage
	restored     time.Time          // time at which this lobby learnt of the last restore of the store
	removed      map[string]removal // by ID, those removed lately
	doubted      bool               // the list was not believed in part since the restore
	reachable    bool
	hurry        atomic.Bool // requests wait for a change of the list
	eager        atomic.Bool // they wait for a list that was read later, changed or not
}

// NewBackendWatcher returns a watcher that reads the store while Serve runs.
func NewBackendWatcher(config WatcherConfig, sharer ListSharer) *BackendWatcher {
	return &BackendWatcher{
		config: config, sharer: sharer, missing: make(map[string]bool), removed: make(map[string]removal),
		clocks: transit.New(), updates: ring.New(ring.Config{Name: "list updates", Capacity: updateCapacity}),
	}
}

// String returns the thread's name, which supervision events carry.
func (*BackendWatcher) String() string { return "backends" }

// SetHurry sets whether requests wait for a change of the list, so that it is read more often,
// and whether it is passed on after each read even so. It is safe to call from any thread.
func (w *BackendWatcher) SetHurry(hurry, eager bool) {
	w.hurry.Store(hurry)
	w.eager.Store(eager)
}

// Serve reads the store and handles updates until ctx ends.
func (w *BackendWatcher) Serve(ctx context.Context) error {
	for {
		now := time.Now()
		if w.untilDue(now) <= 0 {
			w.lastAttempt = now
			err := w.step(now)
			w.reachable = logReachability(w.config.Log, "backends", w.reachable, err)
		}
		item, err := w.updates.TakeWithin(ctx, min(hurriedPeriod, w.untilDue(now)))
		if err != nil {
			return err
		}
		if update, ok := item.(protocol.ListUpdate); ok {
			w.applyUpdate(time.Now(), update)
		}
	}
}

// reportDiffers reports whether a new report of a backend server, or its removal, says
// something new. Each report of a cold time does, as it is newer.
func reportDiffers(previous, next deployment.Backend) bool {
	a, b := previous.Config(), next.Config()
	if a.ColdFor == 0 && b.ColdFor == 0 {
		a.Revision, b.Revision = 0, 0
	}
	return !reflect.DeepEqual(a, b)
}

// untilDue returns the time until the list is to be read, zero or less if it is now.
func (w *BackendWatcher) untilDue(now time.Time) time.Duration {
	period := w.config.pollPeriod()
	if w.hurry.Load() {
		period = min(period, hurriedPeriod)
	}
	period += min(time.Duration(w.rank.Load())*readerDelay, period)
	last := w.lastAttempt
	if w.lastUpdate.After(last) {
		last = w.lastUpdate
	}
	if w.rank.Load() == 0 || w.backends == nil {
		return period - now.Sub(last)
	}
	fullRead := followerReadPeriod - now.Sub(w.lastFullRead)
	if w.mustSettle(now) {
		fullRead = 0
	}
	return min(period-now.Sub(last), max(fullRead, period-now.Sub(w.lastAttempt)))
}

// applyChanges applies changes and passes the list on if it has changed or has not been
// passed on for a while. It returns the changes that were not known.
func (w *BackendWatcher) applyChanges(now time.Time, changes map[string]deployment.Backend) map[string]deployment.Backend {
	unknown := make(map[string]deployment.Backend)
	for id, backend := range changes {
		if previous, ok := w.backends[id]; !ok && backend.ID() != "" || ok && reportDiffers(previous, backend) || w.missing[id] {
			unknown[id] = backend
		}
		w.apply(now, id, backend)
	}
	if len(unknown) > 0 || w.eager.Load() || now.Sub(w.published) >= republishPeriod {
		w.publish(now)
	}
	return unknown
}

func (w *BackendWatcher) step(now time.Time) error {
	err := w.poll(now)
	if err == nil {
		w.removeMissing(now)
	}
	return err
}

func (w *BackendWatcher) poll(now time.Time) error {
	if w.backends == nil || now.Sub(w.lastFullRead) > fullReadPeriod || w.mustSettle(now) {
		return w.readAll(now)
	}
	changes, position, err := w.config.Store.BackendsSince(w.position)
	if errors.Is(err, ErrMissed) {
		return w.readAll(now)
	}
	if err != nil {
		return err
	}
	if position.Era() != w.position.Era() {
		return w.readAll(now)
	}
	w.recordRead(now)
	from := w.position
	w.moveTo(position)
	unknown := w.applyChanges(now, changes)
	if w.afterFull { // some may be known from the full list, but not to the other lobbies
		unknown, w.afterFull = changes, false
	}
	w.share(from, unknown)
	return nil
}

// moveTo sets the position at which the next read starts.
func (w *BackendWatcher) moveTo(position deployment.Position) {
	logRestore(w.config.Log, "backends", w.position, position)
	w.position = position
}

func (w *BackendWatcher) readAll(now time.Time) error {
	all, position, err := w.config.Store.Backends()
	if err != nil {
		return err
	}
	w.recordRead(now)
	w.recordRestore(now, position)
	if w.backends == nil {
		w.backends = make(map[string]deployment.Backend, len(all))
	}
	for id := range w.backends {
		if _, ok := all[id]; !ok {
			w.apply(now, id, deployment.Backend{})
		}
	}
	for id, backend := range all {
		w.apply(now, id, backend)
	}
	w.moveTo(position)
	w.lastFullRead, w.afterFull, w.doubted = now, true, w.doubted && !w.mustSettle(now)
	w.publish(now)
	return nil
}

// recordRead records a successful read. If the last one is long enough ago, it
// marks the end of an outage, in which entries may have expired.
func (w *BackendWatcher) recordRead(now time.Time) {
	if !w.lastRead.IsZero() && now.Sub(w.lastRead) >= minOutage {
		w.outageEnd = now
	}
	w.lastRead = now
}

// apply applies the listed state of one backend server; backend has no ID if the
// server is no longer listed. Such a server is removed. Within the grace period
// after an outage it is only marked as missing, unless it was leaving.
func (w *BackendWatcher) apply(now time.Time, id string, backend deployment.Backend) {
	previous, ok := w.backends[id]
	switch {
	case backend.ID() != "":
		if !ok && !w.hasRoom(backend) {
			return
		}
		if backend, ok = w.believed(now, backend); ok {
			w.backends[id] = backend
			delete(w.missing, id)
		}
	case ok && !previous.Leaving() && now.Sub(w.outageEnd) < outageGrace:
		w.missing[id] = true
	default:
		w.remove(now, id)
	}
}

// hasRoom reports whether a backend server that was not on the list may be added to it.
func (w *BackendWatcher) hasRoom(backend deployment.Backend) bool {
	if w.config.State.hasService(backend.Service()) {
		return len(w.backends) < maxBackends
	}
	strangers := 0
	for _, other := range w.backends {
		if !w.config.State.hasService(other.Service()) {
			strangers++
		}
	}
	if strangers >= maxStrangers || len(w.backends) >= maxBackends {
		return false
	}
	w.config.Log.WithFields(logrus.Fields{"event": "backend", "backend": backend.ID(), "service": backend.Service()}).Info("backend server of a service that is not configured")
	return true
}

// removeMissing removes the servers that are still missing at the end of the
// grace period after an outage.
func (w *BackendWatcher) removeMissing(now time.Time) {
	if len(w.missing) == 0 || now.Sub(w.outageEnd) < outageGrace {
		return
	}
	w.config.Log.WithFields(logrus.Fields{"event": "lapsed", "backends": len(w.missing)}).Warn("backend servers removed: not listed again after an outage of the store")
	for id := range w.missing {
		w.remove(now, id)
	}
	w.publish(now)
}

func (w *BackendWatcher) publish(now time.Time) {
	w.published = now
	newest := make(map[string]deployment.Backend, len(w.backends)) // by address
	for _, backend := range w.backends {
		if w.config.State.hasService(backend.Service()) && backend.StartTime() > newest[backend.Address()].StartTime() {
			newest[backend.Address()] = backend
		}
	}
	list := make([]deployment.Backend, 0, len(w.backends))
	for _, backend := range w.backends {
		if !succeeded(backend, newest[backend.Address()]) {
			list = append(list, backend)
		}
	}
	w.config.State.setBackends(w.lastRead, list)
}

// succeeded reports whether another backend server that started later has the address of
// a listed one, which then has ended although its entry has not expired yet. An entry of a
// service that is not configured may come from another writer, and succeeds no other.
func succeeded(backend, newest deployment.Backend) bool {
	return newest.ID() != "" && newest.ID() != backend.ID() && backend.StartTime() > 0 && backend.StartTime() < newest.StartTime()
}
