package discovery

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/ring"
)

// Peers calls the other lobbies.
type Peers interface {
	// FetchState requests the newest configuration, list of backend servers and
	// evacuations that the lobby with the given RPC address knows.
	FetchState(address string) (*deployment.Configuration, []deployment.Backend, deployment.Evacuations, error)
}

// RefresherConfig holds the construction parameters of a Refresher.
type RefresherConfig struct {
	Store Store
	Peers Peers
	State *State
	Log   *logrus.Entry
}

// Refresher reads the configuration when another lobby has a newer version: from
// the store, or else from that lobby. This lobby's connection to the store may be
// broken without an error, or the store may reject this lobby's calls.
type Refresher struct {
	config RefresherConfig
	hints  *ring.Ring
}

// hint is a configuration version that another lobby has in force.
type hint struct {
	version int64
	address string
}

// hintCapacity is the number of queued hints. Hints beyond it may be dropped,
// since the lobby's next digest repeats the version.
const hintCapacity = 4

// NewRefresher returns a refresher. It reads while Serve runs.
func NewRefresher(config RefresherConfig) *Refresher {
	return &Refresher{config: config, hints: ring.New(ring.Config{Name: "hints", Capacity: hintCapacity})}
}

// NotifyVersion queues a refresh if the lobby with the given RPC address has a newer
// version in force than this one.
func (r *Refresher) NotifyVersion(version int64, address string) {
	if version > r.config.State.Version() {
		// A full ring means that a refresh is in progress.
		_ = r.hints.Put(hint{version: version, address: address})
	}
}

// String returns the thread's name, which supervision events carry.
func (*Refresher) String() string { return "catch up" }

// Serve handles hints until ctx ends.
func (r *Refresher) Serve(ctx context.Context) error {
	for {
		item, err := r.hints.Take(ctx)
		if err != nil {
			return err
		}
		if h, ok := item.(hint); ok && h.version > r.config.State.Version() {
			r.refresh(h)
		}
	}
}

func (r *Refresher) refresh(h hint) {
	log := r.config.Log.WithFields(logrus.Fields{"event": "catch_up", "version": h.version, "lobby": h.address})
	c, evacuations, _, err := r.config.Store.Configuration()
	if err == nil {
		r.config.State.setEvacuations(time.Now(), evacuations)
		r.config.State.setConfiguration(c, "store")
	}
	if r.config.State.Version() >= h.version {
		return
	}
	c, backends, evacuations, err := r.config.Peers.FetchState(h.address)
	if err != nil {
		log.WithError(err).Warn("configuration not received from another lobby")
		return
	}
	r.config.State.SetPeerEvacuations(time.Now(), evacuations)
	r.config.State.setConfiguration(c, "lobby")
	r.config.State.setPeerBackends(backends)
}
