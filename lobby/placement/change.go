package placement

// ChangeConfig holds the construction parameters of a Change.
type ChangeConfig struct {
	Backend string
	Model   string
	Dropped []string
	Demand  float64 // engines that the model keeps busy
	Copies  int     // of the model, this one included
	OnHand  bool    // it loads without the weight store
}

// Change is one model that was planned for a backend server.
type Change struct{ config ChangeConfig }

// NewChange returns a change.
func NewChange(config ChangeConfig) Change { return Change{config: config} }

// Backend returns the id of the backend server.
func (c Change) Backend() string { return c.config.Backend }

// Model returns the model that it is to load.
func (c Change) Model() string { return c.config.Model }

// Dropped returns the models that make room.
func (c Change) Dropped() []string { return c.config.Dropped }

// Asked returns the engines that the model keeps busy.
func (c Change) Demand() float64 { return c.config.Demand }

// Copies returns the number of copies of the model, this one included.
func (c Change) Copies() int { return c.config.Copies }

// OnHand reports whether the model loads without the weight store.
func (c Change) OnHand() bool { return c.config.OnHand }
