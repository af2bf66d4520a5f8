package discovery

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
)

// Directory is where the lobbies find each other.
type Directory interface {
	// Announce writes this lobby's door.
	Announce(door string) error
	// Lobbies returns the doors of all lobbies that ever announced themselves,
	// each with the offset of its newest announcement.
	Lobbies() (map[string]int64, error)
}

// Members takes the doors of the lobbies that are there.
type PeerSet interface {
	AddPeers(doors []string) error
}

const (
	announcePeriod  = 8 * time.Second // between two announcements
	directoryPeriod = 4 * time.Second // between two reads of the directory
	retryPeriod     = time.Second     // the same, while the store does not answer or nobody else is known
	// memberLife is the time after which a lobby counts as gone that has not
	// announced itself again, while the store could be read.
	lobbyExpiry = 3 * announcePeriod
)

// LobbiesConfig holds the construction parameters of Lobbies.
type LobbyWatcherConfig struct {
	Self      string // door of this lobby
	Directory Directory
	Peers     PeerSet
	Log       *logrus.Entry
}

// Lobbies is responsible for announcing this lobby and finding the others.
type LobbyWatcher struct {
	config        LobbyWatcherConfig
	announced     time.Time
	announcements map[string]announcement
	reachable     bool
}

// sign is a lobby's newest announcement and when it was first seen.
type announcement struct {
	offset    int64
	firstSeen time.Time
}

// NewLobbies returns the duty.
func NewLobbyWatcher(config LobbyWatcherConfig) *LobbyWatcher {
	return &LobbyWatcher{config: config, announcements: make(map[string]announcement)}
}

// String returns the duty's name.
func (*LobbyWatcher) String() string { return "lobbies" }

// Serve announces and reads until ctx ends. It reads sooner while the store
// does not answer or nobody else is known.
func (h *LobbyWatcher) Serve(ctx context.Context) error {
	for {
		err := h.step(time.Now())
		h.reachable = logReachability(h.config.Log, "lobbies", h.reachable, err)
		span := directoryPeriod
		if err != nil || len(h.announcements) < 2 {
			span = retryPeriod
		}
		if err := crew.Pause(ctx, span); err != nil {
			return err
		}
	}
}

func (h *LobbyWatcher) step(now time.Time) error {
	if h.announced.IsZero() || now.Sub(h.announced) >= announcePeriod {
		if err := h.config.Directory.Announce(h.config.Self); err != nil {
			return err
		}
		h.announced = now
	}
	doors, err := h.config.Directory.Lobbies()
	if err != nil {
		return err
	}
	return h.config.Peers.AddPeers(h.alive(now, doors))
}

// alive returns the lobbies that have announced themselves lately.
func (h *LobbyWatcher) alive(now time.Time, doors map[string]int64) []string {
	var alive []string
	for door, offset := range doors {
		if known, ok := h.announcements[door]; !ok || known.offset != offset {
			h.announcements[door] = announcement{offset: offset, firstSeen: now}
		}
		if now.Sub(h.announcements[door].firstSeen) < lobbyExpiry {
			alive = append(alive, door)
		}
	}
	return alive
}
