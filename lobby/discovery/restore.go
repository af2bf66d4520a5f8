package discovery

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
)

// removal is the end of a backend server, as the list has told it.
type removal struct {
	startTime int64 // of the start that was removed
	at        time.Time
}

// logRestore logs that the store has come back from a backup between two reads, with the
// positions after them.
func logRestore(log *logrus.Entry, reads string, previous, next deployment.Position) {
	if previous.Era() == next.Era() || previous == (deployment.Position{}) {
		return
	}
	log.WithFields(logrus.Fields{
		"event": "store_restored", "reads": reads, "era": next.Era(), "offset": next.Offset(),
		"previous_era": previous.Era(), "previous_offset": previous.Offset(),
	}).Warn("store restored from a backup")
}

// recordRestore records that the list was read at a position of another era. Backend
// servers that started since the backup are not on it until they report again.
func (w *BackendWatcher) recordRestore(now time.Time, position deployment.Position) {
	if w.backends == nil || position.Era() == w.position.Era() {
		return
	}
	w.restored, w.outageEnd = now, now
}

// believed returns the state of a listed backend server that may be believed, and false if
// it is not to be listed. Soon after a restore of the store the list may say what was so
// before the backup: that a start which leaves is ready, or that one which has gone is
// there.
func (w *BackendWatcher) believed(now time.Time, listed deployment.Backend) (deployment.Backend, bool) {
	if w.restored.IsZero() || now.Sub(w.restored) >= restoreGrace {
		return listed, true
	}
	if gone, ok := w.removed[listed.ID()]; ok && gone.startTime == listed.StartTime() {
		w.doubted = true
		return listed, false
	}
	if known, ok := w.backends[listed.ID()]; ok && known.StartTime() == listed.StartTime() && known.Leaving() && !listed.Leaving() {
		w.doubted = true
		return listed.AsLeaving(), true
	}
	return listed, true
}

// mustSettle reports whether the full list is to be read since the grace period after a
// restore is over, in which it was not believed in part.
func (w *BackendWatcher) mustSettle(now time.Time) bool {
	return w.doubted && now.Sub(w.restored) >= restoreGrace
}

// remove removes a backend server and remembers its start for a while.
func (w *BackendWatcher) remove(now time.Time, id string) {
	if backend, ok := w.backends[id]; ok && len(w.removed) < maxRemoved {
		w.removed[id] = removal{startTime: backend.StartTime(), at: now}
	}
	maps.DeleteFunc(w.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalMemory })
	delete(w.backends, id)
	delete(w.missing, id)
}

// mergeEvacuations returns the evacuations in force after a report. Soon after a restore of
// the store the report may lack requests that the operator has yet to write again, so that
// it ends none.
func (s *State) mergeEvacuations(now time.Time, report deployment.Evacuations) deployment.Evacuations {
	known := s.Evacuations()
	if report.Era() > s.era {
		s.era, s.eraSince = report.Era(), now
	}
	first := known.Era() == 0 && known.Through() == 0 // nothing is known that could be lost
	if report.Era() > known.Era() && !first && now.Sub(s.eraSince) < restoreGrace {
		return known.Union(report)
	}
	return known.Merge(report)
}

// settleEvacuations ends the grace period after a restore, if it is over, with a read of the
// store: an era that only other lobbies have told is not waited for.
func (s *State) settleEvacuations(now time.Time) {
	if now.Sub(s.eraSince) >= restoreGrace {
		s.era = s.Evacuations().Era()
	}
}

// mustSettleEvacuations reports whether all keys of the operator are to be read, since the
// grace period after a restore is over.
func (s *State) mustSettleEvacuations(now time.Time) bool {
	s.changing.Lock()
	defer s.changing.Unlock()
	return s.Evacuations().Era() < s.era && now.Sub(s.eraSince) >= restoreGrace
}
