package discovery

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
)

// Listener is notified of changes, one at a time in their order. Its methods may read the
// State. Other changes wait for them, so they must not block for long.
type Listener interface {
	ConfigurationChanged(c *deployment.Configuration)
	// BackendsChanged takes a list of backend servers, and the time before it was read from the
	// store, zero if another lobby has read it.
	BackendsChanged(read time.Time, backends []deployment.Backend)
	// EvacuationsChanged returns an error if the change could not be passed on. It is
	// called again with the next report.
	EvacuationsChanged(change EvacuationChange) error
}

// StateConfig holds the construction parameters of a State.
type StateConfig struct {
	Listener Listener
	Log      *logrus.Entry
}

// State holds the newest configuration, list of backend servers and evacuations that
// the watchers and the refresher have read, and notifies the listener once of each
// change. It is safe for concurrent use.
type State struct {
	config StateConfig

	changing  sync.Mutex             // held from a change until the listener has been notified; protects the fields up to mu
	fromStore bool                   // the list comes from the store, not from another lobby
	contact   time.Time              // time of the last read of the operator's records from the store
	era       int64                  // newest era of the store of which evacuations were told
	eraSince  time.Time              // time at which that era was first told
	notified  deployment.Evacuations // those that the listener knows
	ended     []string               // failure domains returned to service of which the listener does not know

	mu            sync.Mutex // protects what other threads read; a change also holds changing
	configuration *deployment.Configuration
	backends      []deployment.Backend
	evacuations   deployment.Evacuations
}

// NewState returns an empty State.
func NewState(config StateConfig) *State { return &State{config: config} }

// Version returns the version of the newest configuration, zero if there is none.
func (s *State) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration == nil {
		return 0
	}
	return s.configuration.Version()
}

// hasService reports whether the newest configuration has a service. Without a configuration
// any may be one.
func (s *State) hasService(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration == nil {
		return true
	}
	_, ok := s.configuration.Service(name)
	return ok
}

// Newest returns the newest configuration, nil if there is none, and the newest
// list of backend servers and evacuations.
func (s *State) Newest() (*deployment.Configuration, []deployment.Backend, deployment.Evacuations) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration, s.backends, s.evacuations
}

// setConfiguration puts a configuration in force unless its version is not newer
// than that of the current one. source names its origin in the log.
func (s *State) setConfiguration(c *deployment.Configuration, source string) {
	s.changing.Lock()
	defer s.changing.Unlock()
	if c == nil || !s.replaceConfiguration(c) {
		return
	}
	s.config.Log.WithFields(logrus.Fields{"event": "configuration", "version": c.Version(), "source": source}).Info("configuration in force")
	s.config.Listener.ConfigurationChanged(c)
}

// replaceConfiguration replaces an older configuration, and reports whether it did.
func (s *State) replaceConfiguration(c *deployment.Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration != nil && c.Version() <= s.configuration.Version() {
		return false
	}
	s.configuration = c
	return true
}

// setBackends sets the list of backend servers that was read from the store after a time.
func (s *State) setBackends(read time.Time, backends []deployment.Backend) {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.fromStore = true
	s.replaceBackends(read, backends)
}

// setPeerBackends sets the list of backend servers that another lobby has read.
// It has no effect once a list has been read from the store.
func (s *State) setPeerBackends(backends []deployment.Backend) {
	s.changing.Lock()
	defer s.changing.Unlock()
	if s.fromStore || len(backends) == 0 {
		return
	}
	s.replaceBackends(time.Time{}, backends)
}

// replaceBackends replaces the list of backend servers and notifies the listener.
func (s *State) replaceBackends(read time.Time, backends []deployment.Backend) {
	s.mu.Lock()
	s.backends = backends
	s.mu.Unlock()
	s.config.Listener.BackendsChanged(read, backends)
}
