package herald

import (
	"sync"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
)

// Listener is told of what changes. Its methods must not block for long.
type Listener interface {
	Charter(c *charter.Charter)
	Backends(backends []charter.Backend)
}

// BoardConfig holds the construction parameters of a Board.
type BoardConfig struct {
	Listener Listener
	Log      *logrus.Entry
}

// Board is responsible for the newest of what the package's threads have read,
// and for telling the listener once of each change.
type Board struct {
	config BoardConfig

	mu       sync.Mutex
	charter  *charter.Charter
	backends []charter.Backend
	listed   bool // the list was read from the store
}

// NewBoard returns an empty board.
func NewBoard(config BoardConfig) *Board { return &Board{config: config} }

// Version returns the version of the newest configuration, zero without one.
func (b *Board) Version() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.charter == nil {
		return 0
	}
	return b.charter.Version()
}

// Newest returns the newest configuration, nil if none is known, and the newest
// list of backend servers.
func (b *Board) Newest() (*charter.Charter, []charter.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.charter, b.backends
}

// postCharter takes a configuration over unless it is older than one before.
func (b *Board) postCharter(c *charter.Charter, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c == nil || b.charter != nil && c.Version() <= b.charter.Version() {
		return
	}
	b.charter = c
	b.config.Log.WithFields(logrus.Fields{"event": "configuration", "version": c.Version(), "source": source}).Info("configuration in force")
	b.config.Listener.Charter(c)
}

// postBackends takes a list from the store over.
func (b *Board) postBackends(backends []charter.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends, b.listed = backends, true
	b.config.Listener.Backends(backends)
}

// lendBackends takes a list from another lobby over, until the store can be
// read.
func (b *Board) lendBackends(backends []charter.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listed || len(backends) == 0 {
		return
	}
	b.backends = backends
	b.config.Listener.Backends(backends)
}
