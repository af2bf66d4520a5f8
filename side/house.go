package main

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/lantern"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/trail"
	"sesamewell.example/side/desk"
	"sesamewell.example/side/foyer"
	"sesamewell.example/side/runner"
)

// house is responsible for the process's supervision tree:
//
//	side
//	├── lantern (operators' pages)
//	├── desk    (calls of entries)
//	├── foyer    (decisions)
//	└── runners (backend server)
type house struct {
	crew    *crew.Crew
	foyer   *foyer.Foyer
	drained chan struct{}
}

func newHouse(settings *handbook.Values, log *logrus.Entry) (*house, error) {
	identity, err := porter.IdentityFor(settings.Text("process", "secret"), settings.Address("desk", "listen"))
	if err != nil {
		return nil, errors.Wrap(err, "[process] secret")
	}
	h := &house{
		crew:    crew.New(crew.Config{Name: "side", Log: log}),
		drained: make(chan struct{}),
	}
	traces := trail.New(trail.Config{
		Instance: settings.Text("process", "instance"),
		Kept:     settings.Integer("traces", "kept"),
		Sampling: settings.Integer("traces", "sampling"),
	})
	concurrency := settings.Integer("backend", "concurrency")
	pool := runner.New(runner.Config{
		Address: settings.Address("backend", "address"),
		Silence: settings.Duration("backend", "silence"),
		Threads: concurrency,
		Trail:   traces,
		Log:     log,
	})
	h.foyer = foyer.New(foyer.Config{
		Core: foyer.CoreConfig{
			Incarnation: uuid.NewString(),
			Concurrency: concurrency,
			Queue:       settings.Integer("foyer", "queue"),
			Prefixes:    settings.Integer("foyer", "prefix-blocks"),
			MaxBuffered: settings.Bytes("foyer", "max-buffered"),
			Linger:      settings.Duration("desk", "linger"),
		},
		Capacity: settings.Integer("foyer", "inbox"),
		Runners:  pool,
		Log:      log,
		Drained:  sync.OnceFunc(func() { close(h.drained) }),
	})
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   traces,
		Rings:   []*ring.Ring{h.foyer.Inbox(), pool.Jobs()},
	}))
	h.crew.Add(h.foyer.Duty())
	for _, r := range pool.Runners(h.foyer) {
		h.crew.Add(r)
	}
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address:  settings.Address("desk", "listen"),
		Services: []porter.Service{{Name: notice.Service, Receiver: desk.New(h.foyer)}},
		Identity: identity,
		Log:      log,
	}))
	return h, nil
}

// Serve runs the tree until ctx ends.
func (h *house) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Drain refuses new work; the returned channel is closed when all answers have
// been delivered.
func (h *house) Drain(ctx context.Context) (<-chan struct{}, error) {
	return h.drained, h.foyer.PutWithin(ctx, foyer.Drain{}, drainHandOver)
}

// Ready returns nil while the side takes work.
func (h *house) Ready() error {
	if h.foyer.Leaving() {
		return errors.New("leaving")
	}
	return nil
}

// Status returns what the operators' status page shows.
func (h *house) Status() any {
	return status{Queued: h.foyer.Queued(), Running: h.foyer.Running(), Leaving: h.foyer.Leaving()}
}

// status is the JSON form of the status page.
type status struct {
	Queued  int  `json:"queued"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}
