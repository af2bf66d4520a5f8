package placement

// ChangeConfig holds the construction parameters of a Change.
type ChangeConfig struct {
	Backend      string
	Model        string
	Dropped      []string
	Demand       float64 // number of engines that requests for the model keep busy
	Copies       int     // planned copies of the model, including this one
	HasLocalCopy bool    // the model loads from the backend server's own disk
}

// Change is the decision to place one copy of a model on a backend server.
type Change struct{ config ChangeConfig }

// NewChange returns a change.
func NewChange(config ChangeConfig) Change { return Change{config: config} }

// Backend returns the ID of the backend server.
func (c Change) Backend() string { return c.config.Backend }

// Model returns the model to load.
func (c Change) Model() string { return c.config.Model }

// Dropped returns the models that are unloaded to make room.
func (c Change) Dropped() []string { return c.config.Dropped }

// Demand returns the number of engines that requests for the model keep busy.
func (c Change) Demand() float64 { return c.config.Demand }

// Copies returns the number of planned copies of the model, including this one.
func (c Change) Copies() int { return c.config.Copies }

// HasLocalCopy reports whether the model loads from the backend server's own disk
// instead of the weight store.
func (c Change) HasLocalCopy() bool { return c.config.HasLocalCopy }
