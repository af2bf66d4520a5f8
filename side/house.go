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
	"sesamewell.example/side/hall"
	"sesamewell.example/side/runner"
)

// house is responsible for the process's supervision tree:
//
//	side
//	├── lantern (operators' pages)
//	├── desk    (calls of entries)
//	├── hall    (decisions)
//	└── runners (backend server)
type house struct {
	crew    *crew.Crew
	hall    *hall.Hall
	drained chan struct{}
}

func newHouse(settings *handbook.Values, log *logrus.Entry) *house {
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
	h.hall = hall.New(hall.Config{
		Core: hall.CoreConfig{
			Incarnation: uuid.NewString(),
			Concurrency: concurrency,
			Queue:       settings.Integer("hall", "queue"),
			MaxBuffered: settings.Bytes("hall", "max-buffered"),
			Linger:      settings.Duration("desk", "linger"),
		},
		Capacity: settings.Integer("hall", "inbox"),
		Runners:  pool,
		Log:      log,
		Drained:  sync.OnceFunc(func() { close(h.drained) }),
	})
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   traces,
		Rings:   []*ring.Ring{h.hall.Inbox(), pool.Jobs()},
	}))
	h.crew.Add(h.hall.Duty())
	for _, r := range pool.Runners(h.hall) {
		h.crew.Add(r)
	}
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address: settings.Address("desk", "listen"),
		Name:    notice.Service,
		Service: desk.New(h.hall),
		Log:     log,
	}))
	return h
}

// Serve runs the tree until ctx ends.
func (h *house) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Drain refuses new work; the returned channel is closed when all answers have
// been delivered.
func (h *house) Drain(ctx context.Context) (<-chan struct{}, error) {
	return h.drained, h.hall.PutWithin(ctx, hall.Drain{}, drainHandOver)
}

// Ready returns nil while the side takes work.
func (h *house) Ready() error {
	if h.hall.Leaving() {
		return errors.New("leaving")
	}
	return nil
}

// Status returns what the operators' status page shows.
func (h *house) Status() any {
	return status{Queued: h.hall.Queued(), Running: h.hall.Running(), Leaving: h.hall.Leaving()}
}

// status is the JSON form of the status page.
type status struct {
	Queued  int  `json:"queued"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}
