package protocol

import "sesamewell.example/commons/deployment"

// BundleMethod is the name in net/rpc of the lobby's method that returns a Bundle.
const BundleMethod = LobbyService + ".Bundle"

// BundleConfig holds the construction parameters of a Bundle.
type BundleConfig struct {
	Configuration deployment.Config
	Backends      []deployment.BackendConfig
	Evacuations   deployment.EvacuationsConfig
}

// Bundle holds the data that a lobby has read from the platform's store. Lobbies
// that cannot reach the store fetch it from others.
type Bundle struct {
	config BundleConfig
}

// NewBundle returns a bundle.
func NewBundle(config BundleConfig) Bundle { return Bundle{config: config} }

// Configuration returns the configuration; version zero means that the
// lobby has none.
func (b Bundle) Configuration() deployment.Config { return b.config.Configuration }

// Backends returns the backend servers.
func (b Bundle) Backends() []deployment.BackendConfig { return b.config.Backends }

// Evacuations returns the failure domains that are to be evacuated.
func (b Bundle) Evacuations() deployment.Evacuations {
	return deployment.NewEvacuations(b.config.Evacuations)
}

// MarshalBinary encodes the message.
func (b Bundle) MarshalBinary() ([]byte, error) { return encode("bundle", &b.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (b *Bundle) UnmarshalBinary(data []byte) error { return decode("bundle", data, &b.config) }
