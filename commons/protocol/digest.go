package protocol

import "time"

// Name of a lobby's service for other lobbies and of its method in net/rpc.
const (
	LobbyService = "Lobby"
	DigestMethod = LobbyService + ".Tell"
)

// LoadConfig is what one lobby has at one backend server.
type BackendLoadConfig struct {
	Backend     string
	Open        int           // requests
	PrefillTime time.Duration // of the prompts of those that have not begun
	Silent      bool          // requests wait there without a sign
}

// DigestConfig holds the construction parameters of a Digest.
type DigestConfig struct {
	Sender        string             // door of the lobby, IP:port
	Incarnation   uint64             // of the sender's process
	Serial        int64              // rises with each digest of an incarnation
	ConfigVersion int64              // version of the configuration in force
	Leaving       bool               // the sender takes no new requests any more, or soon
	Spent         map[string]float64 // by tenant, since the incarnation began
	Demand        map[string]float64 // engines that the requests for each model keep busy
	Loads         []BackendLoadConfig
	Plan          map[string][]string // models by backend server; nil if the sender has no plan
}

// Digest is what a lobby tells the others of itself, several times a second.
type Digest struct {
	config DigestConfig
}

// NewDigest returns a digest.
func NewDigest(config DigestConfig) Digest { return Digest{config: config} }

// Sender returns the door of the lobby that sent it.
func (d Digest) Sender() string { return d.config.Sender }

// Incarnation tells the sender's process from earlier ones.
func (d Digest) Incarnation() uint64 { return d.config.Incarnation }

// Serial rises with each digest of an incarnation.
func (d Digest) Serial() int64 { return d.config.Serial }

// Charter returns the version of the configuration in force at the sender.
func (d Digest) ConfigVersion() int64 { return d.config.ConfigVersion }

// Leaving reports whether the sender takes no new requests any more, or soon.
func (d Digest) Leaving() bool { return d.config.Leaving }

// Spent returns what the sender has taken of each tenant's quota since its
// incarnation began.
func (d Digest) Spent() map[string]float64 { return d.config.Spent }

// Asked returns the number of engines that the requests for each model of the
// sender's callers keep busy.
func (d Digest) Demand() map[string]float64 { return d.config.Demand }

// Loads returns what the sender has at the backend servers.
func (d Digest) Loads() []BackendLoadConfig { return d.config.Loads }

// Plan returns the models that each backend server shall hold, nil if the
// sender makes no plan.
func (d Digest) Plan() map[string][]string { return d.config.Plan }

// MarshalBinary encodes the message.
func (d Digest) MarshalBinary() ([]byte, error) { return encode("digest", &d.config) }

// UnmarshalBinary decodes what MarshalBinary encoded.
func (d *Digest) UnmarshalBinary(data []byte) error { return decode("digest", data, &d.config) }
