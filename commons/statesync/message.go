package statesync

import "sesamewell.example/commons/fleetstate"

// RevisionChanged notifies a subscriber of a new revision.
type RevisionChanged struct {
	revision *fleetstate.Revision
}

// NewRevisionChanged returns the message for a revision.
func NewRevisionChanged(revision *fleetstate.Revision) RevisionChanged {
	return RevisionChanged{revision: revision}
}

// Revision returns the new revision.
func (m RevisionChanged) Revision() *fleetstate.Revision { return m.revision }

// RecordForwarded carries a record that does not change the fleet state.
type RecordForwarded struct {
	offset int64
	record fleetstate.Record
}

// NewRecordForwarded returns the message for the record at an offset.
func NewRecordForwarded(offset int64, record fleetstate.Record) RecordForwarded {
	return RecordForwarded{offset: offset, record: record}
}

// Offset returns the record's offset in the log.
func (m RecordForwarded) Offset() int64 { return m.offset }

// Record returns the record.
func (m RecordForwarded) Record() fleetstate.Record { return m.record }

// PartsRestored carries the parts of a snapshot, after records may have been
// missed. A consumer takes its own part if that includes more records than the
// consumer has, and ignores later RecordForwarded messages whose records the part
// includes already.
type PartsRestored struct {
	parts []fleetstate.SnapshotPart
}

// NewPartsRestored returns the message for the parts of a snapshot.
func NewPartsRestored(parts []fleetstate.SnapshotPart) PartsRestored {
	return PartsRestored{parts: parts}
}

// Part returns the part with the given name.
func (m PartsRestored) Part(name string) (fleetstate.SnapshotPart, bool) {
	for _, part := range m.parts {
		if part.Name == name {
			return part, true
		}
	}
	return fleetstate.SnapshotPart{}, false
}
