// Package herald follows what the operator and the backend servers write into
// the platform's store and passes on what changes.
package herald

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
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
	longPoll   = 2 * time.Second        // longest wait for a new configuration: a connection may have gone silent
	retryPause = 200 * time.Millisecond // after a read that failed
	listPeriod = 400 * time.Millisecond // between two reads of the list
	// wholePeriod is the time between two reads of the whole list, which mend
	// what a change that was missed left behind.
	wholePeriod = 15 * time.Second
)

// Config holds the construction parameters of the package's duties.
type Config struct {
	Store Store
	Board *Board
	Log   *logrus.Entry
}

// ErrMissed means that records were dropped before they were read.
var ErrMissed = errors.New("changes were missed")

// Charters is responsible for following the operator's configuration: a thread
// of its own, since a read waits for the next change.
type Charters struct {
	config  Config
	offset  int64
	known   bool
	reached bool // the last read had an answer
}

// NewCharters returns the duty.
func NewCharters(config Config) *Charters { return &Charters{config: config} }

// String returns the duty's name.
func (*Charters) String() string { return "charters" }

// Serve reads until ctx ends.
func (h *Charters) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.step()
		h.reached = report(h.config.Log, "charter", h.reached, err)
		if err != nil {
			pause(ctx, retryPause)
		}
	}
	return ctx.Err()
}

func (h *Charters) step() error {
	if !h.known {
		c, offset, err := h.config.Store.Charter()
		if err != nil {
			return err
		}
		h.offset, h.known = offset, true
		h.config.Board.postCharter(c, "store")
		return nil
	}
	c, offset, err := h.config.Store.Charters(h.offset, longPoll)
	if errors.Is(err, ErrMissed) {
		h.known = false
		return nil
	}
	if err != nil {
		return err
	}
	h.offset = offset
	h.config.Board.postCharter(c, "store")
	return nil
}

// Backends is responsible for following the list of backend servers.
type Backends struct {
	config  Config
	offset  int64
	known   map[string]charter.Backend
	whole   time.Time // of the last read of the whole list
	reached bool
}

// NewBackends returns the duty.
func NewBackends(config Config) *Backends { return &Backends{config: config} }

// String returns the duty's name.
func (*Backends) String() string { return "backends" }

// Serve reads until ctx ends.
func (h *Backends) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := h.step(time.Now())
		h.reached = report(h.config.Log, "backends", h.reached, err)
		pause(ctx, listPeriod)
	}
	return ctx.Err()
}

func (h *Backends) step(now time.Time) error {
	if h.known == nil || now.Sub(h.whole) > wholePeriod {
		return h.readAll(now)
	}
	changes, offset, err := h.config.Store.Changes(h.offset)
	if errors.Is(err, ErrMissed) {
		return h.readAll(now)
	}
	if err != nil {
		return err
	}
	h.offset = offset
	for id, backend := range changes {
		if backend.ID() == "" {
			delete(h.known, id)
			continue
		}
		h.known[id] = backend
	}
	if len(changes) > 0 {
		h.pass()
	}
	return nil
}

func (h *Backends) readAll(now time.Time) error {
	all, offset, err := h.config.Store.Backends()
	if err != nil {
		return err
	}
	h.known, h.offset, h.whole = all, offset, now
	h.pass()
	return nil
}

func (h *Backends) pass() {
	list := make([]charter.Backend, 0, len(h.known))
	for _, backend := range h.known {
		list = append(list, backend)
	}
	h.config.Board.postBackends(list)
}

// report logs a dependency that is lost or regained and returns whether it is
// reached.
func report(log *logrus.Entry, what string, reached bool, err error) bool {
	log = log.WithFields(logrus.Fields{"event": "store", "reads": what})
	if err != nil && reached {
		log.WithError(err).Warn("store lost")
	}
	if err == nil && !reached {
		log.Info("store reached")
	}
	return err == nil
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
