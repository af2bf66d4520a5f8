package fleetstate

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Roles that instances claim.
const (
	PlannerRole       = "planner"  // decides which models each backend server holds
	backendRolePrefix = "backend/" // sends load and unload orders to one backend server; the server's name follows
)

// BackendRole returns the role of the one process that sends load and unload
// orders to a backend server.
func BackendRole(backend string) string { return backendRolePrefix + backend }

// PlanChange is the change of one backend server's plan by one record, in the JSON
// form of the log.
type PlanChange struct {
	Backend string   `json:"backend"`
	Load    []string `json:"load,omitempty"` // models to add
	Drop    []string `json:"drop,omitempty"` // models to remove
}

// PlanConfig holds the construction parameters of a plan record.
type PlanConfig struct {
	Change  string
	Epoch   int64 // epoch of the planner's claim
	Base    int64 // number of the plan that the changes are based on
	Changes []PlanChange
}

// NewPlanRecord returns a record that changes the plan.
func NewPlanRecord(config PlanConfig) (Record, error) {
	body, err := json.Marshal(config.Changes)
	if err != nil {
		return Record{}, errors.Wrap(err, "encode plan")
	}
	return NewRecord(RecordConfig{Change: config.Change, Kind: KindPlan, Epoch: config.Epoch, Base: config.Base, Body: body}), nil
}

// Plan lists the models that each backend server should hold. Adapters are not
// listed: they are loaded with every copy of their model. It is immutable.
type Plan struct {
	number int64
	models map[string][]string // sorted models by backend server
}

// NewPlan returns a plan. The models of each backend server must be sorted.
func NewPlan(number int64, models map[string][]string) *Plan {
	return &Plan{number: number, models: models}
}

// Number returns the plan's number, which increases with each change.
func (p *Plan) Number() int64 { return p.number }

// Models returns the models that a backend server should hold, sorted by name.
func (p *Plan) Models(backend string) []string { return p.models[backend] }

// Backends returns the backend servers that should hold any model, sorted by
// name.
func (p *Plan) Backends() []string { return slices.Sorted(maps.Keys(p.models)) }

// Apply returns the plan with the changes applied and the given number.
func (p *Plan) Apply(number int64, changes []PlanChange) *Plan {
	next := &Plan{number: number, models: maps.Clone(p.models)}
	if next.models == nil {
		next.models = make(map[string][]string)
	}
	for _, change := range changes {
		models := slices.DeleteFunc(slices.Clone(next.models[change.Backend]), func(model string) bool {
			return slices.Contains(change.Drop, model)
		})
		models = append(models, change.Load...)
		slices.Sort(models)
		models = slices.Compact(models)
		next.models[change.Backend] = models
		if len(models) == 0 {
			delete(next.models, change.Backend)
		}
	}
	return next
}

// Plan returns the current plan.
func (r *Revision) Plan() *Plan {
	if r.plan == nil {
		return &Plan{}
	}
	return r.plan
}

// applyPlan changes the plan, if the record comes from the planner with the
// current claim and is based on the current plan. Plans do not change the
// revision's number.
func (r *Revision) applyPlan(offset int64, record Record) (*Revision, error) {
	claim, ok := r.claims[PlannerRole]
	if !ok || claim.epoch != record.config.Epoch {
		return r, errors.Wrapf(ErrStaleBase, "plan %s of epoch %d at epoch %d", record.config.Change, record.config.Epoch, claim.epoch)
	}
	if record.config.Base != r.Plan().number {
		return r, errors.Wrapf(ErrStaleBase, "plan %s from plan %d at plan %d", record.config.Change, record.config.Base, r.Plan().number)
	}
	var changes []PlanChange
	if err := json.Unmarshal(record.config.Body, &changes); err != nil {
		return r, errors.Mark(errors.Wrap(err, "decode plan"), ErrBadRecord)
	}
	next := *r
	next.stateOffset, next.plan = r.offset, r.Plan().Apply(offset+1, changes)
	return &next, nil
}

// Footprints returns, for each model, the bytes of accelerator memory that one
// copy takes together with its KV cache and its adapters.
func (i *Inventory) Footprints() map[string]int64 {
	bytes := make(map[string]int64, len(i.models))
	for name, model := range i.models {
		bytes[name] = model.memory + model.cache
	}
	for _, adapter := range i.adapters {
		bytes[adapter.model] += adapter.memory
	}
	return bytes
}
