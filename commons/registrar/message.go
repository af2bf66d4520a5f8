package registrar

import "sesamewell.example/commons/register"

// Revised tells a duty that a new revision is in force.
type Revised struct {
	revision *register.Revision
}

// NewRevised returns the message for a revision.
func NewRevised(revision *register.Revision) Revised { return Revised{revision: revision} }

// Revision returns the revision.
func (r Revised) Revision() *register.Revision { return r.revision }

// Recorded brings a record that the register passes on.
type Recorded struct {
	offset int64
	record register.Record
}

// NewRecorded returns the message for the record at an offset.
func NewRecorded(offset int64, record register.Record) Recorded {
	return Recorded{offset: offset, record: record}
}

// Offset returns the record's offset in the log.
func (r Recorded) Offset() int64 { return r.offset }

// Record returns the record.
func (r Recorded) Record() register.Record { return r.record }

// Restored brings the saved states of a snapshot, after records may have been
// missed. A follower takes its own part if that contains more records than the
// follower has, and passes over the Recorded messages after it that the part
// contains already.
type Restored struct {
	saved []register.SavedConfig
}

// NewRestored returns the message for a snapshot's saved states.
func NewRestored(saved []register.SavedConfig) Restored { return Restored{saved: saved} }

// Saved returns the part of that name.
func (r Restored) Saved(name string) (register.SavedConfig, bool) {
	for _, saved := range r.saved {
		if saved.Name == name {
			return saved, true
		}
	}
	return register.SavedConfig{}, false
}
