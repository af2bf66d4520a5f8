package fleetstate

import (
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
)

// RecordKind is the kind of a record in the log.
type RecordKind string

// Kinds of log records.
const (
	KindReplace  RecordKind = "replace"  // replaces the whole inventory
	KindAmend    RecordKind = "amend"    // sets and removes sections of the inventory
	KindSnapshot RecordKind = "snapshot" // holds the whole fleet state, so that the log service may drop earlier records
	KindClaim    RecordKind = "claim"    // claims a role, such as the planner's, for an instance
	KindPlan     RecordKind = "plan"     // changes which models backend servers hold

	// Records of these kinds are only forwarded to the components that process
	// them; the fleet state does not depend on their bodies.
	KindIntent     RecordKind = "intent"     // announces the run of a request that may run at most once
	KindOutcome    RecordKind = "outcome"    // stores the answer to such a request
	KindQuarantine RecordKind = "quarantine" // bans a request that crashes backend servers
)

// RecordConfig holds the construction parameters of a Record and is its JSON
// form in the log.
type RecordConfig struct {
	Change    string       `json:"change"` // unique ID, used to find out whether an append with a lost answer took effect
	Base      int64        `json:"base"`   // revision that the change is based on
	Kind      RecordKind   `json:"kind"`
	Inventory string       `json:"inventory,omitempty"`
	Edits     []EditConfig `json:"edits,omitempty"`
	Claim     string       `json:"claim,omitempty"`  // role that is claimed
	Holder    string       `json:"holder,omitempty"` // incarnation of the instance that claims it
	Epoch     int64        `json:"epoch,omitempty"`  // epoch of the claim that this one supersedes; zero if none

	Body json.RawMessage `json:"body,omitempty"` // body of a snapshot, a plan or a forwarded record
}

// Record is one record of the log.
type Record struct {
	config RecordConfig
}

// NewRecord returns a record.
func NewRecord(config RecordConfig) Record { return Record{config: config} }

// DecodeRecord decodes a record from its JSON form in the log.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record.config); err != nil {
		return Record{}, errors.Wrap(err, "decode log record")
	}
	return record, nil
}

// Encode returns the record's JSON form in the log.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r.config) }

// Change returns the unique ID of the change.
func (r Record) Change() string { return r.config.Change }

// Base returns the revision that the change is based on.
func (r Record) Base() int64 { return r.config.Base }

// Kind returns the record's kind.
func (r Record) Kind() RecordKind { return r.config.Kind }

// Body returns the JSON body of a snapshot, a plan or a forwarded record.
func (r Record) Body() json.RawMessage { return r.config.Body }

// Forwarded reports whether the record does not change the fleet state and is
// forwarded to other components.
func (r Record) Forwarded() bool {
	return r.config.Kind == KindIntent || r.config.Kind == KindOutcome || r.config.Kind == KindQuarantine
}

// Reasons for which Revision.Apply rejects a record.
var (
	ErrStaleBase = errors.New("the change was made from a revision that is no longer current")
	ErrBadRecord = errors.New("the record is not a valid change")
)

// Revision is the fleet state after a prefix of the log. It is immutable.
type Revision struct {
	number      int64
	offset      int64 // offset of the next record to apply
	stateOffset int64 // offset after the last record that changed the inventory, a claim or the plan
	inventory   *Inventory
	claims      map[string]Claim // by role
	plan        *Plan            // nil before the first plan record
}

// Claim is the right of one incarnation of an instance to act in a role. It holds
// until a later claim supersedes it.
type Claim struct {
	role   string
	holder string
	epoch  int64
}

// Role returns the claimed role.
func (c Claim) Role() string { return c.role }

// Holder returns the incarnation of an instance that holds the claim.
func (c Claim) Holder() string { return c.holder }

// Epoch returns the claim's number, which increases with each claim of a role and
// is its fencing number. It is one more than the record's offset.
func (c Claim) Epoch() int64 { return c.epoch }

// InitialRevision returns revision zero, with an empty inventory.
func InitialRevision() *Revision { return &Revision{inventory: EmptyInventory()} }

// Number returns the revision's number, which never decreases. Only changes of
// the inventory increase it.
func (r *Revision) Number() int64 { return r.number }

// Offset returns the offset of the first record that is not applied.
func (r *Revision) Offset() int64 { return r.offset }

// StateOffset returns the offset after the last record that changed the
// inventory, a claim or the plan. It identifies the content of the revision.
func (r *Revision) StateOffset() int64 { return r.stateOffset }

// Inventory returns the fleet's configuration.
func (r *Revision) Inventory() *Inventory { return r.inventory }

// Claim returns the current claim of a role, if any.
func (r *Revision) Claim(role string) (Claim, bool) {
	claim, ok := r.claims[role]
	return claim, ok
}

// Apply applies the record at offset. The result is the same for every reader of
// the log. If the record is rejected, Apply returns the unchanged state with the
// next offset, and an error that is ErrStaleBase or ErrBadRecord. A record
// that has been applied already is ignored.
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

// applyReplace replaces the whole inventory.
func (r *Revision) applyReplace(record Record) (*Revision, error) {
	inventory, err := ParseInventory("inventory", []byte(record.config.Inventory))
	return r.nextRevision(record, inventory, err)
}

// applyAmend sets and removes sections of the inventory.
func (r *Revision) applyAmend(record Record) (*Revision, error) {
	var edits []Edit
	for _, config := range record.config.Edits {
		edits = append(edits, NewEdit(config))
	}
	inventory, err := r.inventory.WithEdits("inventory", edits)
	return r.nextRevision(record, inventory, err)
}

// nextRevision returns the revision with a new inventory. It rejects a change
// that is based on a revision other than this one, or an inventory whose parsing
// failed with err.
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

// applyClaim assigns a role to the holder that the record names. Of two claims
// that supersede the same one, the first in the log wins. Claims do not change
// the revision's number.
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
