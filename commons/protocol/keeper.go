package protocol

import "time"

// Names in net/rpc of a keeper's service and of its methods.
const (
	KeeperService = "Keeper"
	AssignMethod  = KeeperService + ".Assign"
	FetchMethod   = KeeperService + ".Fetch"
)

// ModelSizeConfig describes the memory that one model and its adapters take up.
type ModelSizeConfig struct {
	Name      string
	WeightsMB float64 // size of the model's weights
	AdapterMB float64 // size of one of its adapters
}

// AssignConfig holds the construction parameters of an Assign.
type AssignConfig struct {
	Planner      string            // IP:port of the planning lobby's listener
	Backend      string            // ID of the backend server
	StartTime    int64             // start of the backend server in Unix milliseconds; the assignment applies to this start only
	Models       []ModelSizeConfig // models that the backend server is to hold
	Others       []ModelSizeConfig // other models of the service, which the backend server may still hold
	Memory       float64           // MB available for weights and adapters
	AdapterSlots int               // number of adapters that fit
}

// Assign orders a keeper to have its backend server hold a set of models.
type Assign struct {
	config AssignConfig
}

// NewAssign returns an Assign message.
func NewAssign(config AssignConfig) Assign { return Assign{config: config} }

// Planner returns the IP:port of the planning lobby's listener.
func (a Assign) Planner() string { return a.config.Planner }

// Backend returns the ID of the backend server.
func (a Assign) Backend() string { return a.config.Backend }

// StartTime returns the start of the backend server in Unix milliseconds. The
// assignment applies to this start only.
func (a Assign) StartTime() int64 { return a.config.StartTime }

// Models returns the models that the backend server is to hold.
func (a Assign) Models() []ModelSizeConfig { return a.config.Models }

// Others returns the other models of the service, which the backend server may
// still hold.
func (a Assign) Others() []ModelSizeConfig { return a.config.Others }

// Memory returns the memory available for weights and adapters, in MB.
func (a Assign) Memory() float64 { return a.config.Memory }

// AdapterSlots returns the number of adapters that fit.
func (a Assign) AdapterSlots() int { return a.config.AdapterSlots }

// MarshalBinary encodes the message.
func (a Assign) MarshalBinary() ([]byte, error) { return encode("assign", &a.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (a *Assign) UnmarshalBinary(data []byte) error { return decode("assign", data, &a.config) }

// FetchConfig holds the construction parameters of a Fetch.
type FetchConfig struct {
	Model   string
	Adapter string
	Age     time.Duration // time since the lobby chose the backend server
}

// Fetch requests that a keeper have an adapter loaded and keep it loaded for a while.
type Fetch struct {
	config FetchConfig
}

// NewFetch returns a Fetch message.
func NewFetch(config FetchConfig) Fetch { return Fetch{config: config} }

// Model returns the adapter's model.
func (f Fetch) Model() string { return f.config.Model }

// Adapter returns the adapter's name.
func (f Fetch) Adapter() string { return f.config.Adapter }

// Age returns the time since the lobby chose the backend server, which it may have ceased
// to use.
func (f Fetch) Age() time.Duration { return max(f.config.Age, 0) }

// MarshalBinary encodes the message.
func (f Fetch) MarshalBinary() ([]byte, error) { return encode("fetch", &f.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (f *Fetch) UnmarshalBinary(data []byte) error { return decode("fetch", data, &f.config) }

// FetchedConfig holds the construction parameters of a Fetched.
type FetchedConfig struct {
	KeptFor time.Duration // time for which the adapter stays loaded; zero if it is not loaded
}

// Fetched is the answer to a Fetch.
type Fetched struct {
	config FetchedConfig
}

// NewFetched returns a Fetched message.
func NewFetched(config FetchedConfig) Fetched { return Fetched{config: config} }

// KeptFor returns the time for which the adapter stays loaded, zero if it is not
// loaded.
func (f Fetched) KeptFor() time.Duration { return f.config.KeptFor }

// MarshalBinary encodes the message.
func (f Fetched) MarshalBinary() ([]byte, error) { return encode("fetched", &f.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (f *Fetched) UnmarshalBinary(data []byte) error { return decode("fetched", data, &f.config) }

// Nothing is the answer to a call that returns no data. Its field is never set: gob
// cannot encode a struct without exported fields.
type Nothing struct{ Filler int8 }
