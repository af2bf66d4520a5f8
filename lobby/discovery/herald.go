// Package herald follows what the operator and the backend servers write into
// the platform's store and passes on what changes.
package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/crew"
)

// Store is the platform's store, as far as it is read here.
type Store interface {
	// Charter returns the newest configuration and the offset to read on from.
	Charter() (*charter.Charter, int64, error)
	// Charters returns the newest configuration from an offset on, nil if there
	// is none within wait.
	Charters(from int64, wait time.Duration) (*charter.Charter, int64, error)
	// Backends returns all backend servers and the offset to read on from.
	Backends() (map[string]charter.Backend, int64, error)
	// Changes returns what has been written about backend servers from an
	// offset on; one that is gone has no ID.
	Changes(from int64) (map[string]charter.Backend, int64, error)
}

const (
	longPollTimeout = 2 * time.Second        // longest wait for a new configuration: a connection may have gone silent
	retryDelay      = 200 * time.Millisecond // after a read that failed
)

// Config holds the construction parameters of the package's duties.
type WatcherConfig struct {
	Store Store
	State *State
	Log   *logrus.Entry
}

// ErrMissed means that records were dropped before they were read.
var ErrMissed = errors.New("changes were missed")

// Charters is responsible for following the operator's configuration: a thread
// of its own, since a read waits for the next change.
type ConfigurationWatcher struct {
	config      WatcherConfig
	offset      int64
	initialized bool
	reachable   bool // the last read had an answer
}

// NewCharters returns the duty.
func NewConfigurationWatcher(config WatcherConfig) *ConfigurationWatcher {
	return &ConfigurationWatcher{config: config}
}

// String returns the duty's name.
func (*ConfigurationWatcher) String() string { return "charters" }

// Serve reads until ctx ends.
func (h *ConfigurationWatcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.step()
		h.reachable = logReachability(h.config.Log, "charter", h.reachable, err)
		if err == nil {
			continue
		}
		if err := crew.Pause(ctx, retryDelay); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (h *ConfigurationWatcher) step() error {
	if !h.initialized {
		c, offset, err := h.config.Store.Charter()
		if err != nil {
			return err
		}
		h.offset, h.initialized = offset, true
		h.config.State.setConfiguration(c, "store")
		return nil
	}
	c, offset, err := h.config.Store.Charters(h.offset, longPollTimeout)
	if errors.Is(err, ErrMissed) {
		h.initialized = false
		return nil
	}
	if err != nil {
		return err
	}
	h.offset = offset
	h.config.State.setConfiguration(c, "store")
	return nil
}

// report logs a dependency that is lost or regained and returns whether it is
// reached.
func logReachability(log *logrus.Entry, what string, reached bool, err error) bool {
	log = log.WithFields(logrus.Fields{"event": "store", "reads": what})
	if err != nil && reached {
		log.WithError(err).Warn("store lost")
	}
	if err == nil && !reached {
		log.Info("store reached")
	}
	return err == nil
}
