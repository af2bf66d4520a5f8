// Package discovery watches the platform's store for the operator's
// configuration and requests to evacuate failure domains, the list of backend
// servers and the list of lobbies, and notifies a listener of changes.
package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/supervisor"
)

// Store reads the platform's store.
type Store interface {
	// Configuration returns the newest configuration, nil if there is none, the
	// evacuations in force, and the position at which the next read starts. The
	// Through of the evacuations is lower than that if the store did not list all
	// keys.
	Configuration() (*deployment.Configuration, deployment.Evacuations, deployment.Position, error)
	// ConfigurationSince waits for records of the operator written at or after the
	// offset of a position. It returns the newest configuration among them, nil if
	// there is none within wait, what they say of evacuations, and the position at
	// which the next read starts. It returns ErrMissed if records from that offset on
	// were dropped. If the position returned is of another era, the records are not
	// those that follow the given one.
	ConfigurationSince(from deployment.Position, wait time.Duration) (*deployment.Configuration, []deployment.EvacuationRecord, deployment.Position, error)
	// Backends returns all backend servers by ID and the position at which the next
	// read starts.
	Backends() (map[string]deployment.Backend, deployment.Position, error)
	// BackendsSince returns the backend servers, by ID, whose entries were written
	// at or after the offset of a position, and the position at which the next read
	// starts. The value of a removed one has no ID. It returns ErrMissed if records
	// from that offset on were dropped.
	BackendsSince(from deployment.Position) (map[string]deployment.Backend, deployment.Position, error)
}

const (
	minLongPoll = time.Second            // shortest wait for a new configuration
	maxLongPoll = 20 * time.Second       // longest such wait
	retryDelay  = 200 * time.Millisecond // delay after a failed read
)

// WatcherConfig holds the construction parameters of a ConfigurationWatcher or a
// BackendWatcher.
type WatcherConfig struct {
	Store          Store
	State          *State
	DrainTime      time.Duration // time within which a backend server that leaves must get no new requests
	ContactTime    time.Duration // time within which a broken connection to the store has to be noticed
	RequestTimeout time.Duration // limit on one call of the store, beyond the wait of a long poll
	Incarnation    uint64        // identifies the start of this process
	Started        time.Time     // time of that
	Log            *logrus.Entry
}

// longPoll returns the longest wait for a new configuration. A connection may break
// without an error, which shows when the wait and the limit on a call are over.
func (c WatcherConfig) longPoll() time.Duration {
	return min(max(c.ContactTime-c.RequestTimeout, minLongPoll), maxLongPoll)
}

// pollPeriod returns the time between two reads of the list of backend servers.
func (c WatcherConfig) pollPeriod() time.Duration {
	return min(max(c.DrainTime/pollsPerDrain, minPollPeriod), maxPollPeriod)
}

// ErrMissed reports that the store dropped records before they were read.
var ErrMissed = errors.New("changes were missed")

// ConfigurationWatcher watches the operator's configuration and requests to evacuate
// failure domains. It has its own thread because a read blocks until the next change.
type ConfigurationWatcher struct {
	config      WatcherConfig
	position    deployment.Position
	initialized bool
	partial     bool // the last read of all keys lacks some
	reachable   bool // the store answered the last read
}

// NewConfigurationWatcher returns a watcher that reads the store while Serve runs.
func NewConfigurationWatcher(config WatcherConfig) *ConfigurationWatcher {
	return &ConfigurationWatcher{config: config}
}

// String returns the thread's name, which supervision events carry.
func (*ConfigurationWatcher) String() string { return "charters" }

// Serve reads the store until ctx ends.
func (w *ConfigurationWatcher) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.read(); err == nil {
			continue
		}
		if err := supervisor.Sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// read reads the store once and records whether it answered.
func (w *ConfigurationWatcher) read() error {
	err := w.step()
	w.reachable = logReachability(w.config.Log, "charter", w.reachable, err)
	return err
}

func (w *ConfigurationWatcher) step() error {
	if !w.initialized || w.config.State.mustSettleEvacuations(time.Now()) {
		return w.readAll()
	}
	c, evacuations, position, err := w.config.Store.ConfigurationSince(w.position, w.wait())
	if errors.Is(err, ErrMissed) {
		w.initialized = false
		return nil
	}
	if err != nil {
		return err
	}
	if position.Era() != w.position.Era() { // the store was restored: the read began at another record
		w.initialized = false
		return nil
	}
	through := position
	if w.partial { // earlier records are not known; all keys are read again
		through, w.initialized = deployment.NewPosition(position.Era(), 0), false
	}
	w.moveTo(position)
	w.config.State.applyEvacuations(time.Now(), evacuations, through)
	w.config.State.setConfiguration(c, "store")
	return nil
}

// wait returns the longest wait of the next read for new records. The store may have been
// restored while it was out of reach, so the first read after that is answered at once.
func (w *ConfigurationWatcher) wait() time.Duration {
	if !w.reachable {
		return 0
	}
	return w.config.longPoll()
}

// readAll reads all keys of the operator.
func (w *ConfigurationWatcher) readAll() error {
	c, evacuations, position, err := w.config.Store.Configuration()
	if err != nil {
		return err
	}
	w.moveTo(position)
	w.initialized, w.partial = true, evacuations.Through() < position.Offset()
	w.config.State.setEvacuations(time.Now(), evacuations)
	w.config.State.setConfiguration(c, "store")
	return nil
}

// moveTo sets the position at which the next read starts.
func (w *ConfigurationWatcher) moveTo(position deployment.Position) {
	logRestore(w.config.Log, "charter", w.position, position)
	w.position = position
}

// logReachability logs when the store becomes unreachable or reachable, and
// returns whether it is reachable after a read that ended in err.
func logReachability(log *logrus.Entry, reads string, reached bool, err error) bool {
	log = log.WithFields(logrus.Fields{"event": "store", "reads": reads})
	if err != nil && reached {
		log.WithError(err).Warn("store unreachable")
	}
	if err == nil && !reached {
		log.Info("store reachable")
	}
	return err == nil
}
