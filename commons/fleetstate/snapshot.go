package fleetstate

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// ClaimConfig holds the construction parameters of a Claim and is its JSON form
// in a snapshot.
type ClaimConfig struct {
	Role   string `json:"role"`
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
}

// PlanSnapshot is the form of a plan in a snapshot.
type PlanSnapshot struct {
	Number int64               `json:"number"`
	Models map[string][]string `json:"models,omitempty"` // by backend server
}

// SavedConfig is the part of a snapshot that belongs to a duty which follows
// the records that the register passes on.
type SnapshotPart struct {
	Name   string          `json:"name"`
	Offset int64           `json:"offset"` // of the first record that Body does not contain
	Body   json.RawMessage `json:"body"`
}

// SnapshotConfig holds the construction parameters of a Snapshot and is its
// JSON form.
type SnapshotConfig struct {
	Number    int64          `json:"number"`
	Offset    int64          `json:"offset"` // of the first record that the snapshot does not contain
	State     int64          `json:"state"`
	Inventory string         `json:"inventory"`
	Claims    []ClaimConfig  `json:"claims,omitempty"`
	Plan      PlanSnapshot   `json:"plan"`
	Parts     []SnapshotPart `json:"saved,omitempty"`
}

// Snapshot is a whole revision, in the form in which it is kept past the log's
// retention and handed from process to process.
type Snapshot struct {
	config SnapshotConfig
}

// NewSnapshot returns the snapshot of a revision, with what other duties add.
func NewSnapshot(revision *Revision, saved []SnapshotPart) Snapshot {
	config := SnapshotConfig{
		Number:    revision.number,
		Offset:    revision.offset,
		State:     revision.stateOffset,
		Inventory: revision.inventory.text,
		Parts:     saved,
		Plan:      PlanSnapshot{Number: revision.Plan().number, Models: revision.Plan().models},
	}
	for _, role := range slices.Sorted(maps.Keys(revision.claims)) {
		claim := revision.claims[role]
		config.Claims = append(config.Claims, ClaimConfig{Role: claim.role, Holder: claim.holder, Epoch: claim.epoch})
	}
	return Snapshot{config: config}
}

// DecodeSnapshot reads what Encode wrote.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var snapshot Snapshot
	if err := json.Unmarshal(data, &snapshot.config); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return snapshot, nil
}

// Encode returns the snapshot's JSON form.
func (s Snapshot) Encode() ([]byte, error) { return json.Marshal(s.config) }

// Offset returns the offset of the first record that the snapshot does not
// contain.
func (s Snapshot) Offset() int64 { return s.config.Offset }

// Since returns the offset from which on records are needed beside the
// snapshot.
func (s Snapshot) ReplayFrom() int64 {
	since := s.config.Offset
	for _, saved := range s.config.Parts {
		since = min(since, saved.Offset)
	}
	return since
}

// Saved returns what other duties have added.
func (s Snapshot) Parts() []SnapshotPart { return s.config.Parts }

// Adopt returns the snapshot's revision, or this one unless the snapshot
// contains more records.
func (r *Revision) Restore(snapshot Snapshot) (*Revision, error) {
	if snapshot.config.Offset <= r.offset {
		return r, nil
	}
	inventory, err := ParseInventory("snapshot", []byte(snapshot.config.Inventory))
	if err != nil {
		return r, errors.Mark(err, ErrBadRecord)
	}
	next := &Revision{
		number:      snapshot.config.Number,
		offset:      snapshot.config.Offset,
		stateOffset: snapshot.config.State,
		inventory:   inventory,
		claims:      make(map[string]Claim),
		plan:        NewPlan(snapshot.config.Plan.Number, snapshot.config.Plan.Models),
	}
	for _, claim := range snapshot.config.Claims {
		next.claims[claim.Role] = Claim{role: claim.Role, holder: claim.Holder, epoch: claim.Epoch}
	}
	return next, nil
}

// Snapshot returns the snapshot that a record carries.
func (r Record) Snapshot() (Snapshot, error) { return DecodeSnapshot(r.config.Body) }
