package statesync

import "sesamewell.example/commons/fleetstate"

// Revised tells a duty that a new revision is in force.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevised returns the message for a revision.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// Revision returns the revision.
func (r RevisionChanged) Revision() *fleetstate.Revision { return r.revision }

// Recorded brings a record that the register passes on.
type RecordForwarded struct {
	offset int64
	record fleetstate.Record
}

// NewRecorded returns the message for the record at an offset.
func NewRecordForwarded(offset int64, record fleetstate.Record) RecordForwarded {
	return RecordForwarded{offset: offset, record: record}
}

// Offset returns the record's offset in the log.
func (r RecordForwarded) Offset() int64 { return r.offset }

// Record returns the record.
func (r RecordForwarded) Record() fleetstate.Record { return r.record }

// Restored brings the saved states of a snapshot, after records may have been
// missed. A follower takes its own part if that contains more records than the
// follower has, and passes over the Recorded messages after it that the part
// contains already.
type PartsRestored struct {
	parts []fleetstate.SnapshotPart
}

// NewRestored returns the message for a snapshot's saved states.
func NewPartsRestored(saved []fleetstate.SnapshotPart) PartsRestored {
	return PartsRestored{parts: saved}
}

// Saved returns the part of that name.
func (r PartsRestored) Part(name string) (fleetstate.SnapshotPart, bool) {
	for _, saved := range r.parts {
		if saved.Name == name {
			return saved, true
		}
	}
	return fleetstate.SnapshotPart{}, false
}
