package discovery

import (
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
)

// ListSharer sends changes of the list of backend servers to the other lobbies of this
// failure domain.
type ListSharer interface {
	ShareList(update protocol.ListUpdate) error
}

// SetRank sets the number of live lobbies of this failure domain that read the list
// before this one. It is safe to call from any thread.
func (w *BackendWatcher) SetRank(rank int) { w.rank.Store(int32(rank)) }

// Receive queues an update of another lobby. It is dropped if too many are queued; this
// lobby then reads the store. It is safe to call from any thread.
func (w *BackendWatcher) Receive(update protocol.ListUpdate) { _ = w.updates.Put(update) }

// applyUpdate applies the changes that another lobby has read, if no others lie between
// them and what this lobby knows. Some may be known already: a backend server writes its
// entry less often than the list is read, so none of them is undone by an older state.
func (w *BackendWatcher) applyUpdate(now time.Time, update protocol.ListUpdate) {
	if w.backends == nil || !w.continues(update) {
		return
	}
	changes := make(map[string]deployment.Backend, len(update.Changed())+len(update.Removed()))
	for _, config := range update.Changed() {
		changes[config.ID] = deployment.NewBackend(config)
	}
	for _, id := range update.Removed() {
		changes[id] = deployment.Backend{}
	}
	read := w.readBy(now, update)
	if read.After(w.lastRead) {
		w.recordRead(read)
	}
	w.lastUpdate = read
	w.position = update.To()
	w.applyChanges(now, changes)
	w.removeMissing(now)
}

// readBy returns the latest time at which another lobby may have read an update, which may have
// waited while this lobby was stopped or cut off.
func (w *BackendWatcher) readBy(now time.Time, update protocol.ListUpdate) time.Time {
	if update.Uptime() == 0 {
		return now
	}
	return w.clocks.Sent(now, update.Sender(), update.Uptime())
}

// continues reports whether no changes lie between what this lobby knows and an update. One
// of another era does not continue it: the next read shows whether the store was restored.
func (w *BackendWatcher) continues(update protocol.ListUpdate) bool {
	known, from, to := w.position, update.From(), update.To()
	return known.Era() == from.Era() && from.Offset() <= known.Offset() && known.Offset() <= to.Offset()
}

// share sends changes that were read from a position on to the other lobbies of the
// failure domain, also if there are none: they need not read then.
func (w *BackendWatcher) share(from deployment.Position, changes map[string]deployment.Backend) {
	update := protocol.ListUpdateConfig{Sender: w.config.Incarnation, Era: from.Era(), From: from.Offset(), To: w.position.Offset()}
	if !w.config.Started.IsZero() {
		update.Uptime = w.lastRead.Sub(w.config.Started)
	}
	for id, backend := range changes {
		if backend.ID() == "" {
			update.Removed = append(update.Removed, id)
			continue
		}
		update.Changed = append(update.Changed, backend.Config())
	}
	// A full ring drops the update; the other lobbies then read the store.
	_ = w.sharer.ShareList(protocol.NewListUpdate(update))
}
