package register

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a record in the log.
type Kind string

// Kinds of records.
const (
	Replace Kind = "replace" // replaces the whole inventory
)

// RecordConfig holds the construction parameters of a Record and is its JSON
// form in the log.
type RecordConfig struct {
	Change    string `json:"change"` // unique id, by which a lost answer is settled
	Base      int64  `json:"base"`   // revision that the change was made from
	Kind      Kind   `json:"kind"`
	Inventory string `json:"inventory,omitempty"`
}

// Record is one change of the configuration as it stands in the log.
type Record struct {
	config RecordConfig
}

// NewRecord returns a record.
func NewRecord(config RecordConfig) Record { return Record{config: config} }

// DecodeRecord reads a record from the log.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record.config); err != nil {
		return Record{}, errors.Wrap(err, "decode log record")
	}
	return record, nil
}

// Encode returns the record's form in the log.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r.config) }

// Change returns the change's id.
func (r Record) Change() string { return r.config.Change }

// Base returns the revision that the change was made from.
func (r Record) Base() int64 { return r.config.Base }

// Kind returns the record's kind.
func (r Record) Kind() Kind { return r.config.Kind }

// Errors of the fold.
var (
	ErrStaleBase = errors.New("the change was made from a revision that is no longer current")
	ErrBadRecord = errors.New("the record is not a valid change")
)

// Revision is responsible for one accepted state of the configuration. It is
// immutable.
type Revision struct {
	number    int64
	offset    int64 // of the next record to read
	inventory *Inventory
}

// Initial returns revision zero, which describes nothing.
func Initial() *Revision { return &Revision{inventory: Empty()} }

// Number returns the revision's number, which only grows.
func (r *Revision) Number() int64 { return r.number }

// Offset returns the offset of the first record that is not folded in.
func (r *Revision) Offset() int64 { return r.offset }

// Inventory returns the configuration.
func (r *Revision) Inventory() *Inventory { return r.inventory }

// Fold applies the record at offset. Every reader of the log gets the same
// result: a new revision, or the old one and the reason for the rejection.
func (r *Revision) Fold(offset int64, data []byte) (*Revision, error) {
	if offset < r.offset {
		return r, nil
	}
	skipped := &Revision{number: r.number, offset: offset + 1, inventory: r.inventory}
	record, err := DecodeRecord(data)
	if err != nil {
		return skipped, errors.Mark(err, ErrBadRecord)
	}
	if record.config.Base != r.number {
		return skipped, errors.Wrapf(ErrStaleBase, "change %s from revision %d at revision %d", record.config.Change, record.config.Base, r.number)
	}
	if record.config.Kind != Replace {
		return skipped, errors.Wrapf(ErrBadRecord, "kind %q", record.config.Kind)
	}
	inventory, err := Parse("inventory", []byte(record.config.Inventory))
	if err != nil {
		return skipped, errors.Mark(err, ErrBadRecord)
	}
	return &Revision{number: r.number + 1, offset: offset + 1, inventory: inventory}, nil
}
