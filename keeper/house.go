package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/lantern"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/trail"
	"sesamewell.example/keeper/loader"
	"sesamewell.example/platform"
)

// house is responsible for the process's supervision tree:
//
//	keeper
//	├── lantern (operators' pages)
//	├── warden (decisions on orders)
//	├── clerk  (calls to the backend server)
//	└── door   (calls of lobbies)
type process struct {
	crew *crew.Crew
}

func newProcess(settings *handbook.Values, log *logrus.Entry) *process {
	crew.LimitMemory(settings.Bytes("process", "memory"))
	h := &process{crew: crew.New(crew.Config{Name: "keeper", Log: log})}
	w := loader.New(loader.Config{
		Core: loader.CoreConfig{
			PollPeriod:      settings.Duration("engine", "look"),
			FetchPollPeriod: settings.Duration("engine", "watch"),
			AdapterLease:    settings.Duration("engine", "lease"),
			FetchTimeout:    settings.Duration("engine", "patience"),
			PlannerTimeout:  settings.Duration("engine", "silence"),
		},
		Engine: engine{client: platform.NewEngine(platform.EngineConfig{
			Address: settings.Address("engine", "address"),
			Holder:  settings.Text("process", "instance"),
			Timeout: settings.Duration("engine", "timeout"),
		})},
		Log: log,
	})
	for _, service := range w.Services() {
		h.crew.Add(service)
	}
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   trail.New(trail.Config{Instance: settings.Text("process", "instance")}),
		Rings:   []*ring.Ring{w.Inbox()},
	}))
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address:  settings.Address("door", "listen"),
		Services: []porter.Service{{Name: notice.KeeperService, Receiver: loader.NewRPCServer(w)}},
		Log:      log,
	}))
	return h
}

// Serve runs the tree until ctx ends.
func (h *process) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Ready returns nil: a keeper has no callers to be kept away.
func (h *process) Ready() error { return nil }

// Status returns what the operators' status page shows.
func (h *process) Status() any { return struct{}{} }

// Drain has nothing to wait for: what the engine holds, it keeps.
func (h *process) Drain(context.Context) (<-chan struct{}, error) {
	done := make(chan struct{})
	close(done)
	return done, nil
}
