package discovery

import (
	"sync"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
)

// Listener is told of what changes. Its methods must not block for long.
type Listener interface {
	ConfigurationChanged(c *charter.Charter)
	BackendsChanged(backends []charter.Backend)
}

// BoardConfig holds the construction parameters of a Board.
type StateConfig struct {
	Listener Listener
	Log      *logrus.Entry
}

// Board is responsible for the newest of what the package's threads have read,
// and for telling the listener once of each change.
type State struct {
	config StateConfig

	mu            sync.Mutex
	configuration *charter.Charter
	backends      []charter.Backend
	fromStore     bool // the list was read from the store
}

// NewBoard returns an empty board.
func NewState(config StateConfig) *State { return &State{config: config} }

// Version returns the version of the newest configuration, zero without one.
func (b *State) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configuration == nil {
		return 0
	}
	return b.configuration.Version()
}

// Newest returns the newest configuration, nil if none is known, and the newest
// list of backend servers.
func (b *State) Newest() (*charter.Charter, []charter.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.configuration, b.backends
}

// postCharter takes a configuration over unless it is older than one before.
func (b *State) setConfiguration(c *charter.Charter, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c == nil || b.configuration != nil && c.Version() <= b.configuration.Version() {
		return
	}
	b.configuration = c
	b.config.Log.WithFields(logrus.Fields{"event": "configuration", "version": c.Version(), "source": source}).Info("configuration in force")
	b.config.Listener.ConfigurationChanged(c)
}

// postBackends takes a list from the store over.
func (b *State) setBackends(backends []charter.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends, b.fromStore = backends, true
	b.config.Listener.BackendsChanged(backends)
}

// lendBackends takes a list from another lobby over, until the store can be
// read.
func (b *State) setPeerBackends(backends []charter.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fromStore || len(backends) == 0 {
		return
	}
	b.backends = backends
	b.config.Listener.BackendsChanged(backends)
}
