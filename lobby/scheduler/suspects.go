package scheduler

import (
	"time"

	"sesamewell.example/commons/protocol"
)

// SuspectRecorder saves what this lobby knows against requests that crash backend servers.
type SuspectRecorder interface {
	// Save queues what is known at a given time, in place of what was queued before. It
	// does not block.
	Save(at time.Time, suspects []protocol.SuspectConfig)
}

// SuspectMemory is the part of the Quarantine that outlives all lobbies.
type SuspectMemory interface {
	// Unsaved returns what this lobby knows if that is to be saved now.
	Unsaved(now time.Time) ([]protocol.SuspectConfig, bool)
	// Recall merges what lobbies had saved as of a given time, by their RPC addresses.
	Recall(at time.Time, saved map[string][]protocol.SuspectConfig)
}

// SuspectsRecalled carries what lobbies had saved of suspects before this one started.
type SuspectsRecalled struct {
	at    time.Time
	saved map[string][]protocol.SuspectConfig
}

// NewSuspectsRecalled returns the message. saved holds the suspects as of a given time, by
// the RPC addresses of the lobbies.
func NewSuspectsRecalled(at time.Time, saved map[string][]protocol.SuspectConfig) SuspectsRecalled {
	return SuspectsRecalled{at: at, saved: saved}
}

func (SuspectsRecalled) schedulerMessage() {}

// SaveSuspects saves what this lobby knows of suspects, in place of what it has saved before.
type SaveSuspects struct{ suspects []protocol.SuspectConfig }

// Suspects returns the suspects, with ages as of the action.
func (s SaveSuspects) Suspects() []protocol.SuspectConfig { return s.suspects }

func (SaveSuspects) schedulerAction() {}

// saveSuspects saves what is known of suspects if that is due.
func (c *Core) saveSuspects(now time.Time) {
	if suspects, due := c.config.Quarantine.Unsaved(now); due {
		c.emit(SaveSuspects{suspects: suspects})
	}
}
