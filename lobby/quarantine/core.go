// Package quarantine is the lobby's door to the quarantine of crashing requests: evidence
// that all lobbies share by their digests and keep in the platform's store.
package quarantine

import (
	"time"

	"sesamewell.example/commons/quarantine"
)

// CoreConfig holds the construction parameters of the core of a lobby.
type CoreConfig struct {
	Self     string        // RPC address of this lobby
	Lifetime time.Duration // time after its last crash for which a suspect is remembered
}

// NewCore returns a core without suspects.
func NewCore(config CoreConfig) *quarantine.Core {
	return quarantine.New(quarantine.Config{Self: config.Self, Lifetime: config.Lifetime})
}
