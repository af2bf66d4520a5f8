package herald

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
type Members interface {
	Members(doors []string) error
}

const (
	announcePeriod = 8 * time.Second // between two announcements
	readPeriod     = 4 * time.Second // between two reads of the directory
	soonPeriod     = time.Second     // the same, while the store does not answer or nobody else is known
	// memberLife is the time after which a lobby counts as gone that has not
	// announced itself again, while the store could be read.
	memberLife = 3 * announcePeriod
)

// LobbiesConfig holds the construction parameters of Lobbies.
type LobbiesConfig struct {
	Self      string // door of this lobby
	Directory Directory
	Members   Members
	Log       *logrus.Entry
}

// Lobbies is responsible for announcing this lobby and finding the others.
type Lobbies struct {
	config    LobbiesConfig
	announced time.Time
	signs     map[string]sign
	reached   bool
}

// sign is a lobby's newest announcement and when it was first seen.
type sign struct {
	offset int64
	seen   time.Time
}

// NewLobbies returns the duty.
func NewLobbies(config LobbiesConfig) *Lobbies {
	return &Lobbies{config: config, signs: make(map[string]sign)}
}

// String returns the duty's name.
func (*Lobbies) String() string { return "lobbies" }

// Serve announces and reads until ctx ends. It reads sooner while the store
// does not answer or nobody else is known.
func (h *Lobbies) Serve(ctx context.Context) error {
	for {
		err := h.step(time.Now())
		h.reached = report(h.config.Log, "lobbies", h.reached, err)
		span := readPeriod
		if err != nil || len(h.signs) < 2 {
			span = soonPeriod
		}
		if err := crew.Pause(ctx, span); err != nil {
			return err
		}
	}
}

func (h *Lobbies) step(now time.Time) error {
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
	return h.config.Members.Members(h.alive(now, doors))
}

// alive returns the lobbies that have announced themselves lately.
func (h *Lobbies) alive(now time.Time, doors map[string]int64) []string {
	var alive []string
	for door, offset := range doors {
		if known, ok := h.signs[door]; !ok || known.offset != offset {
			h.signs[door] = sign{offset: offset, seen: now}
		}
		if now.Sub(h.signs[door].seen) < memberLife {
			alive = append(alive, door)
		}
	}
	return alive
}
