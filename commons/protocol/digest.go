package protocol

import (
	"time"

	"sesamewell.example/commons/deployment"
)

// Names in net/rpc of a lobby's service for other lobbies and of its methods.
const (
	LobbyService = "Lobby"
	DigestMethod = LobbyService + ".Tell"
	RelayMethod  = LobbyService + ".Relay"
)

// BackendLoadConfig describes one lobby's load on one backend server.
type BackendLoadConfig struct {
	Backend     string
	Open        int           // number of open requests
	PrefillTime time.Duration // estimated prefill time of the open requests whose answers have not begun
	Silent      bool          // requests have been unanswered for longer than the pending prefill explains
}

// HomeDemandConfig is the demand for a model by requests that may run in some regions only, or
// wait for a backend server of one software version.
type HomeDemandConfig struct {
	Model   string
	Regions []string // sorted; none if they may run in all
	Version string   // of the backend servers' software, empty for any
	Engines float64  // number of engines that the requests keep busy
}

// LimitConfig is the rate that a backend server names in its answers, or the end of one.
type LimitConfig struct {
	Backend string
	Start   int64         // start time of the backend server, in Unix milliseconds
	Rate    float64       // requests per second that it takes from all lobbies together; zero if it names none any more
	Age     time.Duration // time since the last answer that named the rate, or since the request was sent whose answer named none
}

// DigestConfig holds the construction parameters of a Digest.
type DigestConfig struct {
	Sender        string             // IP:port of the sending lobby's listener
	Incarnation   uint64             // identifies the start of the sender's process
	Serial        int64              // increases with each digest of an incarnation
	Uptime        time.Duration      // time from the start of the incarnation to the sending; zero if not stated
	ConfigVersion int64              // version of the configuration that the sender uses
	Draining      bool               // the sender accepts no new requests, or will soon stop accepting them
	Spent         map[string]float64 // quota taken by each tenant since the incarnation began
	Demand        map[string]float64 // by model, number of engines that its requests keep busy; nil if as in the last digest
	HomeDemand    []HomeDemandConfig // the part of Demand of requests with home regions; sent with Demand
	Loads         []BackendLoadConfig
	Plan          map[string][]string // models by backend server; nil if the sender does not plan or has sent the same plan lately
	Domain        string              // failure domain of the sender
	Replaced      map[string]int64    // start times, in Unix milliseconds, of listed backend servers by ID that the sender has found gone: another one has their address
	Leaving       map[string]int64    // start times, in Unix milliseconds, of backend servers by ID that have said in an answer that they leave
	Limits        []LimitConfig       // rates that backend servers have named in answers to the sender lately, and those that have ended
	Suspects      []SuspectConfig     // those whose crashes have changed or are due to be sent again
	Hot           []HotPartsConfig    // what the sender has sent repeatedly since its last digest with them; bounded in bytes

	Evacuations deployment.EvacuationsConfig // failure domains that are to be evacuated, as far as the sender knows
	Streams     []StreamsConfig              // that began at the sender, where their services have several software versions
}

// Digest is the state that a lobby sends to the other lobbies several times a
// second.
type Digest struct {
	config DigestConfig
}

// NewDigest returns a digest.
func NewDigest(config DigestConfig) Digest { return Digest{config: config} }

// Sender returns the IP:port of the sending lobby's listener.
func (d Digest) Sender() string { return d.config.Sender }

// Replaced returns the start times, by ID, of the listed backend servers that the
// sender has found gone, since another one has their address.
func (d Digest) Replaced() map[string]int64 { return d.config.Replaced }

// Domain returns the failure domain of the sending lobby.
func (d Digest) Domain() string { return d.config.Domain }

// Incarnation returns a value that identifies the start of the sender's process.
func (d Digest) Incarnation() uint64 { return d.config.Incarnation }

// Serial returns the digest's number, which increases with each digest of an
// incarnation.
func (d Digest) Serial() int64 { return d.config.Serial }

// Uptime returns the time from the start of the incarnation to the sending, zero if the sender does
// not state it.
func (d Digest) Uptime() time.Duration { return d.config.Uptime }

// ConfigVersion returns the version of the configuration that the sender uses.
func (d Digest) ConfigVersion() int64 { return d.config.ConfigVersion }

// Draining reports whether the sender accepts no new requests or will soon stop
// accepting them.
func (d Digest) Draining() bool { return d.config.Draining }

// Spent returns the quota that each tenant has taken at the sender since its
// incarnation began.
func (d Digest) Spent() map[string]float64 { return d.config.Spent }

// Demand returns, by model, the number of engines that the sender's requests keep
// busy, or nil if it is that of the sender's last digest with one.
func (d Digest) Demand() map[string]float64 { return d.config.Demand }

// HomeDemand returns the part of the demand that is due to requests with home regions. It
// is complete if Demand is not nil.
func (d Digest) HomeDemand() []HomeDemandConfig { return d.config.HomeDemand }

// Loads returns the sender's load on each backend server.
func (d Digest) Loads() []BackendLoadConfig { return d.config.Loads }

// Plan returns the models that each backend server is to hold, or nil if the
// sender does not plan or has sent the same plan lately.
func (d Digest) Plan() map[string][]string { return d.config.Plan }

// Leaving returns the start times, by ID, of the listed backend servers that have said
// in an answer to the sender or another lobby that they leave.
func (d Digest) Leaving() map[string]int64 { return d.config.Leaving }

// Limits returns the rates that backend servers have named in answers to the sender lately,
// and those that have ended.
func (d Digest) Limits() []LimitConfig { return d.config.Limits }

// Suspects returns what the sender knows of some of the suspects of crashes.
func (d Digest) Suspects() []SuspectConfig { return d.config.Suspects }

// Streams returns streams that began at the sender lately, where their services have several
// software versions.
func (d Digest) Streams() []StreamsConfig { return d.config.Streams }

// Hot returns the prompt parts that the sender has sent repeatedly to backend servers
// lately, nil if they were not due.
func (d Digest) Hot() []HotPartsConfig { return d.config.Hot }

// Evacuations returns the failure domains that are to be evacuated, as far as the sender
// knows.
func (d Digest) Evacuations() deployment.Evacuations {
	return deployment.NewEvacuations(d.config.Evacuations)
}

// MarshalBinary encodes the message.
func (d Digest) MarshalBinary() ([]byte, error) { return encode("digest", &d.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (d *Digest) UnmarshalBinary(data []byte) error { return decode("digest", data, &d.config) }
