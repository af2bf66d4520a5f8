package discovery

import (
	"context"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/ring"
)

// Peers are the other lobbies.
type Peers interface {
	// Bundle asks the lobby at a door for the newest that it has read.
	FetchState(door string) (*charter.Charter, []charter.Backend, error)
}

// CatchUpConfig holds the construction parameters of a CatchUp.
type RefresherConfig struct {
	Store Store
	Peers Peers
	State *State
	Log   *logrus.Entry
}

// CatchUp is responsible for reading again when another lobby knows a newer
// configuration: this one's connection may have gone silent, or the store may
// turn this lobby away.
type Refresher struct {
	config RefresherConfig
	hints  *ring.Ring
}

// hint names a lobby that knows a configuration.
type hint struct {
	version int64
	address string
}

// hintCapacity bounds the hints that wait; the next digest brings another.
const hintCapacity = 4

// NewCatchUp returns the duty.
func NewRefresher(config RefresherConfig) *Refresher {
	return &Refresher{config: config, hints: ring.New(ring.Config{Name: "hints", Capacity: hintCapacity})}
}

// Hear notes the version that the lobby at a door has in force.
func (h *Refresher) PeerVersion(version int64, door string) {
	if version > h.config.State.Version() {
		// A full ring means that reading is under way.
		_ = h.hints.Put(hint{version: version, address: door})
	}
}

// String returns the duty's name.
func (*Refresher) String() string { return "catch up" }

// Serve follows hints until ctx ends.
func (h *Refresher) Serve(ctx context.Context) error {
	for {
		item, err := h.hints.Take(ctx)
		if err != nil {
			return err
		}
		if m, ok := item.(hint); ok && m.version > h.config.State.Version() {
			h.refresh(m)
		}
	}
}

func (h *Refresher) refresh(m hint) {
	log := h.config.Log.WithFields(logrus.Fields{"event": "catch_up", "version": m.version, "lobby": m.address})
	c, _, err := h.config.Store.Charter()
	if err == nil {
		h.config.State.setConfiguration(c, "store")
	}
	if h.config.State.Version() >= m.version {
		return
	}
	c, backends, err := h.config.Peers.FetchState(m.address)
	if err != nil {
		log.WithError(err).Warn("another lobby does not hand its configuration out")
		return
	}
	h.config.State.setConfiguration(c, "lobby")
	h.config.State.setPeerBackends(backends)
}
