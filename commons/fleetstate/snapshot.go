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

// PlanSnapshot is the JSON form of a Plan in a snapshot.
type PlanSnapshot struct {
	Number int64               `json:"number"`
	Models map[string][]string `json:"models,omitempty"` // models by backend server
}

// SnapshotPart is the part of a snapshot that belongs to a component which
// processes forwarded records.
type SnapshotPart struct {
	Name   string          `json:"name"`
	Offset int64           `json:"offset"` // offset of the first record that Body does not include
	Body   json.RawMessage `json:"body"`
}

// SnapshotConfig holds the construction parameters of a Snapshot and is its
// JSON form in the log and on the wire.
type SnapshotConfig struct {
	Number    int64          `json:"number"`
	Offset    int64          `json:"offset"` // offset of the first record that the snapshot does not include
	State     int64          `json:"state"`  // state offset of the revision
	Inventory string         `json:"inventory"`
	Claims    []ClaimConfig  `json:"claims,omitempty"`
	Plan      PlanSnapshot   `json:"plan"`
	Parts     []SnapshotPart `json:"saved,omitempty"`
}

// Snapshot is a whole revision with the parts of other components. It is appended to
// the log, so that the state outlasts the log's retention, and sent to other
// processes.
type Snapshot struct {
	config SnapshotConfig
}

// NewSnapshot returns the snapshot of a revision and the parts of other
// components.
func NewSnapshot(revision *Revision, parts []SnapshotPart) Snapshot {
	config := SnapshotConfig{
		Number:    revision.number,
		Offset:    revision.offset,
		State:     revision.stateOffset,
		Inventory: revision.inventory.text,
		Parts:     parts,
		Plan:      PlanSnapshot{Number: revision.Plan().number, Models: revision.Plan().models},
	}
	for _, role := range slices.Sorted(maps.Keys(revision.claims)) {
		claim := revision.claims[role]
		config.Claims = append(config.Claims, ClaimConfig{Role: claim.role, Holder: claim.holder, Epoch: claim.epoch})
	}
	return Snapshot{config: config}
}

// DecodeSnapshot decodes the output of Encode.
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
// include.
func (s Snapshot) Offset() int64 { return s.config.Offset }

// ReplayFrom returns the offset from which on records are needed in addition to
// the snapshot: the smallest offset of the revision and all parts.
func (s Snapshot) ReplayFrom() int64 {
	from := s.config.Offset
	for _, part := range s.config.Parts {
		from = min(from, part.Offset)
	}
	return from
}

// Parts returns the parts of other components.
func (s Snapshot) Parts() []SnapshotPart { return s.config.Parts }

// Restore returns the snapshot's revision if the snapshot includes more records
// than r, else r.
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

// Snapshot decodes the snapshot in the body of a record of KindSnapshot.
func (r Record) Snapshot() (Snapshot, error) { return DecodeSnapshot(r.config.Body) }
