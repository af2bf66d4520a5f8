package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/supervisor"
)

// Directory is the list of lobbies in the platform's store.
type Directory interface {
	// Announce writes this lobby's RPC address.
	Announce(address string) error
	// Lobbies returns the offset of the newest announcement of each lobby that was
	// ever announced, by RPC address, and the position at which the list ends.
	Lobbies() (map[string]int64, deployment.Position, error)
}

// PeerSet is the set of the other lobbies.
type PeerSet interface {
	// AddPeers takes the RPC addresses of all lobbies that are alive, including
	// this one.
	AddPeers(addresses []string) error
}

// LobbyObserver is notified of each complete read of the directory.
type LobbyObserver interface {
	// LobbiesListed takes the RPC addresses of all lobbies that are alive as of a read
	// that began at a given time, and the time at which this lobby's last successful
	// announcement began.
	LobbiesListed(read, announced time.Time, addresses []string)
	// DirectoryRestored reports that the directory was restored to an older state, which may
	// lack lobbies that have joined lately.
	DirectoryRestored()
}

const (
	announcePeriod  = 8 * time.Second // time between two announcements
	directoryPeriod = 8 * time.Second // time between two reads of the directory; a lobby that starts calls all others before
	retryPeriod     = time.Second     // time between two reads while the store does not answer or no other lobby is known
	// lobbyExpiry is the time without a new announcement after which a lobby counts
	// as stopped, provided that the store can be read.
	lobbyExpiry = 3 * announcePeriod
)

// LobbyWatcherConfig holds the construction parameters of a LobbyWatcher.
type LobbyWatcherConfig struct {
	Self      string // RPC address of this lobby
	Directory Directory
	Peers     PeerSet
	Observer  LobbyObserver
	Log       *logrus.Entry
}

// LobbyWatcher announces this lobby in the directory and reads the other lobbies
// from it.
type LobbyWatcher struct {
	config        LobbyWatcherConfig
	announced     time.Time           // time of this lobby's last announcement
	position      deployment.Position // end of the directory at the last read
	announcements map[string]announcement
	reachable     bool
	hurry         atomic.Bool // the directory is to be read often
}

// announcement is the newest announcement of a lobby.
type announcement struct {
	offset    int64
	firstSeen time.Time // time of the read that first returned it
}

// NewLobbyWatcher returns a watcher that uses the directory while Serve runs.
func NewLobbyWatcher(config LobbyWatcherConfig) *LobbyWatcher {
	return &LobbyWatcher{config: config, announcements: make(map[string]announcement)}
}

// String returns the thread's name, which supervision events carry.
func (*LobbyWatcher) String() string { return "lobbies" }

// SetHurry sets whether the directory is read every second. It is safe to call from any
// thread.
func (w *LobbyWatcher) SetHurry(hurry bool) { w.hurry.Store(hurry) }

// Serve announces this lobby and reads the directory until ctx ends. It reads
// more often while the store does not answer or no other lobby is known.
func (w *LobbyWatcher) Serve(ctx context.Context) error {
	for {
		start := time.Now()
		err := w.step(start)
		w.reachable = logReachability(w.config.Log, "lobbies", w.reachable, err)
		failed := err != nil
		for {
			if err := supervisor.Sleep(ctx, retryPeriod); err != nil {
				return err
			}
			if time.Since(start) >= w.period(failed) {
				break
			}
		}
	}
}

// period returns the time between two reads of the directory.
func (w *LobbyWatcher) period(failed bool) time.Duration {
	if failed || w.announced.IsZero() || len(w.announcements) < 2 || w.hurry.Load() {
		return retryPeriod
	}
	return directoryPeriod
}

func (w *LobbyWatcher) step(now time.Time) error {
	if w.announced.IsZero() || now.Sub(w.announced) >= announcePeriod {
		if err := w.config.Directory.Announce(w.config.Self); err != nil {
			return err
		}
		w.announced = now
	}
	offsets, position, err := w.config.Directory.Lobbies()
	if err != nil {
		return err
	}
	if w.restoredAt(position) {
		w.handleRestore(offsets, position)
		return nil
	}
	w.position = position
	alive := w.alive(now, offsets)
	w.config.Observer.LobbiesListed(now, w.announced, alive)
	return w.config.Peers.AddPeers(alive)
}

// restoredAt reports whether the directory was restored since the last read.
func (w *LobbyWatcher) restoredAt(position deployment.Position) bool {
	return w.position != (deployment.Position{}) && position.Era() != w.position.Era()
}

// handleRestore notes the offsets of a restored directory. Its announcements are older than
// those that were read before, so none is a sign of life, and this lobby's own is lost. It
// announces itself again before the next read.
func (w *LobbyWatcher) handleRestore(offsets map[string]int64, position deployment.Position) {
	logRestore(w.config.Log, "lobbies", w.position, position)
	for address, offset := range offsets {
		if last, ok := w.announcements[address]; ok {
			w.announcements[address] = announcement{offset: offset, firstSeen: last.firstSeen}
		}
	}
	w.position, w.announced = position, time.Time{}
	w.config.Observer.DirectoryRestored()
}

// alive returns the addresses of the lobbies whose newest announcement was first seen less
// than lobbyExpiry ago. The directory may lack some of them since it was restored.
func (w *LobbyWatcher) alive(now time.Time, offsets map[string]int64) []string {
	for address, offset := range offsets {
		if last, ok := w.announcements[address]; !ok || last.offset != offset {
			w.announcements[address] = announcement{offset: offset, firstSeen: now}
		}
	}
	var alive []string
	for address, last := range w.announcements {
		_, listed := offsets[address]
		switch {
		case now.Sub(last.firstSeen) < lobbyExpiry:
			alive = append(alive, address)
		case !listed:
			delete(w.announcements, address)
		}
	}
	return alive
}
