package protocol

import (
	"time"

	"sesamewell.example/commons/deployment"
)

// ListMethod is the name in net/rpc of the lobby's method that takes a ListUpdate.
const ListMethod = LobbyService + ".List"

// ListUpdateConfig holds the construction parameters of a ListUpdate.
type ListUpdateConfig struct {
	Sender  uint64        // incarnation of the sender
	Uptime  time.Duration // time from the start of the incarnation to the read; zero if not stated
	Era     int64         // era of the platform's store, whose offsets follow
	From    int64         // offset from which on the changes were read
	To      int64         // offset up to which they were read
	Changed []deployment.BackendConfig
	Removed []string // IDs
}

// ListUpdate holds the changes of the list of backend servers that a lobby has read from
// the platform's store, for the other lobbies of its failure domain, which then need not
// read them.
type ListUpdate struct {
	config ListUpdateConfig
}

// NewListUpdate returns an update.
func NewListUpdate(config ListUpdateConfig) ListUpdate { return ListUpdate{config: config} }

// Sender returns the incarnation of the sender.
func (u ListUpdate) Sender() uint64 { return u.config.Sender }

// Uptime returns the time from the start of the sender's incarnation to the read, zero if the sender
// does not state it.
func (u ListUpdate) Uptime() time.Duration { return u.config.Uptime }

// From returns the position from which on the changes were read.
func (u ListUpdate) From() deployment.Position {
	return deployment.NewPosition(u.config.Era, u.config.From)
}

// To returns the position up to which the changes were read.
func (u ListUpdate) To() deployment.Position {
	return deployment.NewPosition(u.config.Era, u.config.To)
}

// Changed returns the backend servers that are new or have changed.
func (u ListUpdate) Changed() []deployment.BackendConfig { return u.config.Changed }

// Removed returns the IDs of the backend servers whose entries were removed.
func (u ListUpdate) Removed() []string { return u.config.Removed }

// MarshalBinary encodes the message.
func (u ListUpdate) MarshalBinary() ([]byte, error) { return encode("list update", &u.config) }

// UnmarshalBinary decodes what MarshalBinary wrote.
func (u *ListUpdate) UnmarshalBinary(data []byte) error {
	return decode("list update", data, &u.config)
}
