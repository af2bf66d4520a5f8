package herald

import (
	"context"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/ring"
)

// Peers are the other lobbies.
type Peers interface {
	// Bundle asks the lobby at a door for the newest that it has read.
	Bundle(door string) (*charter.Charter, []charter.Backend, error)
}

// CatchUpConfig holds the construction parameters of a CatchUp.
type CatchUpConfig struct {
	Store Store
	Peers Peers
	Board *Board
	Log   *logrus.Entry
}

// CatchUp is responsible for reading again when another lobby knows a newer
// configuration: this one's connection may have gone silent, or the store may
// turn this lobby away.
type CatchUp struct {
	config CatchUpConfig
	hints  *ring.Ring
}

// hint names a lobby that knows a configuration.
type hint struct {
	version int64
	door    string
}

// hintCapacity bounds the hints that wait; the next digest brings another.
const hintCapacity = 4

// NewCatchUp returns the duty.
func NewCatchUp(config CatchUpConfig) *CatchUp {
	return &CatchUp{config: config, hints: ring.New(ring.Config{Name: "hints", Capacity: hintCapacity})}
}

// Hear notes the version that the lobby at a door has in force.
func (h *CatchUp) Hear(version int64, door string) {
	if version > h.config.Board.Version() {
		// A full ring means that reading is under way.
		_ = h.hints.Put(hint{version: version, door: door})
	}
}

// String returns the duty's name.
func (*CatchUp) String() string { return "catch up" }

// Serve follows hints until ctx ends.
func (h *CatchUp) Serve(ctx context.Context) error {
	for {
		item, err := h.hints.Take(ctx)
		if err != nil {
			return err
		}
		if m, ok := item.(hint); ok && m.version > h.config.Board.Version() {
			h.follow(m)
		}
	}
}

func (h *CatchUp) follow(m hint) {
	log := h.config.Log.WithFields(logrus.Fields{"event": "catch_up", "version": m.version, "lobby": m.door})
	c, _, err := h.config.Store.Charter()
	if err == nil {
		h.config.Board.postCharter(c, "store")
	}
	if h.config.Board.Version() >= m.version {
		return
	}
	c, backends, err := h.config.Peers.Bundle(m.door)
	if err != nil {
		log.WithError(err).Warn("another lobby does not hand its configuration out")
		return
	}
	h.config.Board.postCharter(c, "lobby")
	h.config.Board.lendBackends(backends)
}
