package protocol

import "time"

// Name of a keeper's service and of its methods in net/rpc.
const (
	KeeperService = "Keeper"
	AssignMethod  = KeeperService + ".Assign"
	FetchMethod   = KeeperService + ".Fetch"
)

// ModelNeedConfig is one model that a backend server shall hold.
type ModelSizeConfig struct {
	Name      string
	WeightsMB float64 // MB of weights
	AdapterMB float64 // MB of one of its adapters
}

// AssignConfig holds the construction parameters of an Assign.
type AssignConfig struct {
	Planner      string // door of the lobby that plans
	Backend      string // id of the backend server that is meant
	StartTime    int64  // Unix milliseconds of its start, which is meant
	Models       []ModelSizeConfig
	Others       []ModelSizeConfig // further models of the service, which it may still hold
	Memory       float64           // MB for weights and adapters
	AdapterSlots int               // adapters that fit
}

// Assign tells a keeper what its backend server shall hold.
type Assign struct {
	config AssignConfig
}

// NewAssign returns the message.
func NewAssign(config AssignConfig) Assign { return Assign{config: config} }

// Planner returns the door of the lobby that plans.
func (a Assign) Planner() string { return a.config.Planner }

// Backend returns the id of the backend server that is meant.
func (a Assign) Backend() string { return a.config.Backend }

// Born returns the Unix millisecond of the start that is meant.
func (a Assign) StartTime() int64 { return a.config.StartTime }

// Models returns the models that it shall hold.
func (a Assign) Models() []ModelSizeConfig { return a.config.Models }

// Others returns the other models of the service.
func (a Assign) Others() []ModelSizeConfig { return a.config.Others }

// Memory returns the MB for weights and adapters.
func (a Assign) Memory() float64 { return a.config.Memory }

// Places returns the number of adapters that fit.
func (a Assign) AdapterSlots() int { return a.config.AdapterSlots }

// MarshalBinary encodes the message.
func (a Assign) MarshalBinary() ([]byte, error) { return encode("assign", &a.config) }

// UnmarshalBinary decodes what MarshalBinary encoded.
func (a *Assign) UnmarshalBinary(data []byte) error { return decode("assign", data, &a.config) }

// FetchConfig holds the construction parameters of a Fetch.
type FetchConfig struct {
	Model   string
	Adapter string
}

// Fetch asks a keeper to have an adapter loaded and to keep it for a while.
type Fetch struct {
	config FetchConfig
}

// NewFetch returns the message.
func NewFetch(config FetchConfig) Fetch { return Fetch{config: config} }

// Model returns the adapter's model.
func (f Fetch) Model() string { return f.config.Model }

// Adapter returns the adapter's name.
func (f Fetch) Adapter() string { return f.config.Adapter }

// MarshalBinary encodes the message.
func (f Fetch) MarshalBinary() ([]byte, error) { return encode("fetch", &f.config) }

// UnmarshalBinary decodes what MarshalBinary encoded.
func (f *Fetch) UnmarshalBinary(data []byte) error { return decode("fetch", data, &f.config) }

// FetchedConfig holds the construction parameters of a Fetched.
type FetchedConfig struct {
	KeptFor time.Duration // for which the adapter stays; zero if it isn't there
}

// Fetched answers a Fetch.
type Fetched struct {
	config FetchedConfig
}

// NewFetched returns the message.
func NewFetched(config FetchedConfig) Fetched { return Fetched{config: config} }

// Kept returns the time for which the adapter stays loaded, zero if it is not
// loaded.
func (f Fetched) KeptFor() time.Duration { return f.config.KeptFor }

// MarshalBinary encodes the message.
func (f Fetched) MarshalBinary() ([]byte, error) { return encode("fetched", &f.config) }

// UnmarshalBinary decodes what MarshalBinary encoded.
func (f *Fetched) UnmarshalBinary(data []byte) error { return decode("fetched", data, &f.config) }

// Nothing is the answer to a call that has none.
type Nothing struct{ Filler int8 }
