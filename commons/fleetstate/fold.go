package fleetstate

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a record in the log.
type RecordKind string

// Kinds of records.
const (
	KindReplace  RecordKind = "replace"  // replaces the whole inventory
	KindAmend    RecordKind = "amend"    // sets and removes sections of the inventory
	KindSnapshot RecordKind = "snapshot" // repeats the whole state before the records that made it are dropped
	KindClaim    RecordKind = "claim"    // takes a role, such as the planner's, for an instance
	KindPlan     RecordKind = "plan"     // changes which backend server holds which model

	// The bodies of these belong to the duties that follow them; the register
	// only passes them on.
	KindIntent     RecordKind = "intent"     // announces the run of a request that may run once
	KindOutcome    RecordKind = "outcome"    // stores the answer of such a request
	KindQuarantine RecordKind = "quarantine" // bars a request that crashes backend servers
)

// RecordConfig holds the construction parameters of a Record and is its JSON
// form in the log.
type RecordConfig struct {
	Change    string       `json:"change"` // unique id, by which a lost answer is settled
	Base      int64        `json:"base"`   // revision that the change was made from
	Kind      RecordKind   `json:"kind"`
	Inventory string       `json:"inventory,omitempty"`
	Edits     []EditConfig `json:"edits,omitempty"`
	Claim     string       `json:"claim,omitempty"`  // role that a claim takes
	Holder    string       `json:"holder,omitempty"` // incarnation that takes it
	Epoch     int64        `json:"epoch,omitempty"`  // epoch of the claim that it supersedes, zero if none

	Body json.RawMessage `json:"body,omitempty"` // of a snapshot and of the kinds that the register passes on
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
func (r Record) Kind() RecordKind { return r.config.Kind }

// Body returns the JSON body of a record that the register passes on.
func (r Record) Body() json.RawMessage { return r.config.Body }

// PassedOn reports whether the register leaves the record to other duties.
func (r Record) Forwarded() bool {
	return r.config.Kind == KindIntent || r.config.Kind == KindOutcome || r.config.Kind == KindQuarantine
}

// Errors of the fold.
var (
	ErrStaleBase = errors.New("the change was made from a revision that is no longer current")
	ErrBadRecord = errors.New("the record is not a valid change")
)

// Revision is responsible for one accepted state of the configuration. It is
// immutable.
type Revision struct {
	number      int64
	offset      int64 // of the next record to read
	stateOffset int64 // offset after the last record that changed anything
	inventory   *Inventory
	claims      map[string]Claim // by role
	plan        *Plan            // nil until the first
}

// Claim is the right of one incarnation to act in a role. It stands until a
// later record supersedes it.
type Claim struct {
	role   string
	holder string
	epoch  int64
}

// Role returns the role that the claim takes.
func (c Claim) Role() string { return c.role }

// Holder returns the incarnation that holds the claim.
func (c Claim) Holder() string { return c.holder }

// Epoch returns the claim's number, which grows with each claim of a role and
// serves as its fencing number. It is one more than the record's offset.
func (c Claim) Epoch() int64 { return c.epoch }

// Initial returns revision zero, which describes nothing.
func InitialRevision() *Revision { return &Revision{inventory: EmptyInventory()} }

// Number returns the revision's number, which only grows.
func (r *Revision) Number() int64 { return r.number }

// Offset returns the offset of the first record that is not folded in.
func (r *Revision) Offset() int64 { return r.offset }

// State returns the offset after the last record that changed the inventory or
// a claim. It names what the revision says.
func (r *Revision) StateOffset() int64 { return r.stateOffset }

// Inventory returns the configuration.
func (r *Revision) Inventory() *Inventory { return r.inventory }

// Claim returns the claim that stands for a role.
func (r *Revision) Claim(role string) (Claim, bool) {
	claim, ok := r.claims[role]
	return claim, ok
}

// Fold applies the record at offset. Every reader of the log gets the same
// result: a new revision, or the old one and the reason for the rejection.
func (r *Revision) Apply(offset int64, data []byte) (*Revision, error) {
	if offset < r.offset {
		return r, nil
	}
	skipped := &Revision{number: r.number, offset: offset + 1, stateOffset: r.stateOffset, inventory: r.inventory, claims: r.claims, plan: r.plan}
	record, err := DecodeRecord(data)
	if err != nil {
		return skipped, errors.Mark(err, ErrBadRecord)
	}
	switch {
	case record.config.Kind == KindReplace:
		return skipped.applyReplace(record)
	case record.config.Kind == KindClaim:
		return skipped.applyClaim(offset, record)
	case record.config.Kind == KindPlan:
		return skipped.applyPlan(offset, record)
	case record.config.Kind == KindAmend:
		return skipped.applyAmend(record)
	case record.config.Kind == KindSnapshot || record.Forwarded():
		return skipped, nil
	default:
		return skipped, errors.Wrapf(ErrBadRecord, "kind %q", record.config.Kind)
	}
}

// replace puts a whole inventory in force.
func (r *Revision) applyReplace(record Record) (*Revision, error) {
	inventory, err := ParseInventory("inventory", []byte(record.config.Inventory))
	return r.nextRevision(record, inventory, err)
}

// edit puts an inventory in force of which some sections have changed.
func (r *Revision) applyAmend(record Record) (*Revision, error) {
	var edits []Edit
	for _, config := range record.config.Edits {
		edits = append(edits, NewEdit(config))
	}
	inventory, err := r.inventory.WithEdits("inventory", edits)
	return r.nextRevision(record, inventory, err)
}

// accept makes the next revision of an inventory, unless it has faults or was
// made from another revision than this one.
func (r *Revision) nextRevision(record Record, inventory *Inventory, err error) (*Revision, error) {
	if record.config.Base != r.number {
		return r, errors.Wrapf(ErrStaleBase, "change %s from revision %d at revision %d", record.config.Change, record.config.Base, r.number)
	}
	if err != nil {
		return r, errors.Mark(err, ErrBadRecord)
	}
	next := *r
	next.number, next.stateOffset, next.inventory = r.number+1, r.offset, inventory
	return &next, nil
}

// take gives a role to the claim's holder. Of two claims that supersede the
// same one, the first in the log stands. Claims leave the revision's number as
// it is.
func (r *Revision) applyClaim(offset int64, record Record) (*Revision, error) {
	if record.config.Claim == "" || record.config.Holder == "" {
		return r, errors.Wrap(ErrBadRecord, "claim without role or holder")
	}
	if record.config.Epoch != r.claims[record.config.Claim].epoch {
		return r, errors.Wrapf(ErrStaleBase, "claim of %s by %s", record.config.Claim, record.config.Holder)
	}
	next := *r
	next.stateOffset = r.offset
	next.claims = maps.Clone(r.claims)
	if next.claims == nil {
		next.claims = make(map[string]Claim)
	}
	next.claims[record.config.Claim] = Claim{role: record.config.Claim, holder: record.config.Holder, epoch: offset + 1}
	return &next, nil
}
