package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/courier"
	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/freshness"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/lantern"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/trail"
	"sesamewell.example/side/desk"
	"sesamewell.example/side/dispatcher"
	"sesamewell.example/side/loader"
	"sesamewell.example/side/runner"
)

// house is responsible for the process's supervision tree:
//
//	side
//	├── lantern (operators' pages)
//	├── desk    (calls of entries)
//	├── foyer   (decisions)
//	├── runners (backend server)
//	├── hall    (orders and memory of the backend server)
//	├── lister  (platform's list of instances)
//	├── scribe  (appends to the log)
//	├── nightwatch (freshness proof)
//	└── registrar  (log)
type house struct {
	crew      *crew.Crew
	watch     *freshness.Monitor
	registrar *statesync.Syncer
	foyer     *dispatcher.Dispatcher
	hall      *loader.Loader
	drained   chan struct{}
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
		Export:   courier.New(settings.Address("traces", "otlp")),
	})
	concurrency := settings.Integer("backend", "concurrency")
	pool := runner.New(runner.Config{
		Address: settings.Address("backend", "address"),
		Silence: settings.Duration("backend", "silence"),
		Threads: concurrency,
		Trail:   traces,
		Log:     log,
	})
	h.watch = freshness.New(freshness.Config{
		Instance: settings.Text("process", "instance"),
		Core:     freshness.CoreConfig{Limit: settings.Duration("platform", "freshness"), Process: rand.Uint64(), Origin: time.Now()},
		Identity: identity,
		Log:      log,
	})
	records := newScribe(settings, log)
	h.hall = newHall(settings, h.watch, records, log)
	h.foyer = dispatcher.New(dispatcher.Config{
		Core: dispatcher.CoreConfig{
			Incarnation:  uuid.NewString(),
			Concurrency:  concurrency,
			QueueLimit:   settings.Integer("foyer", "queue"),
			PrefixBlocks: settings.Integer("foyer", "prefix-blocks"),
			Residency:    h.hall,
			MaxBuffered:  settings.Bytes("foyer", "max-buffered"),
			FlushDelay:   settings.Duration("desk", "linger"),
		},
		Capacity:  settings.Integer("foyer", "inbox"),
		Runners:   pool,
		Proof:     h.watch,
		Log:       log,
		OnDrained: sync.OnceFunc(func() { close(h.drained) }),
	})
	meter := loader.NewDemandMeter(h.foyer)
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   traces,
		Rings:   []*ring.Ring{h.foyer.Inbox(), pool.Jobs(), h.hall.Inbox(), h.hall.Orders(), records.Inbox()},
	}))
	h.crew.Add(h.watch)
	h.crew.Add(h.foyer.Duty())
	h.crew.Add(records)
	for _, service := range h.hall.Services() {
		h.crew.Add(service)
	}
	if address := settings.Address("platform", "list"); address != "" {
		h.crew.Add(newLister(settings, address, h.hall.Inbox(), log))
	}
	h.registrar = statesync.New(statesync.Config{
		Log: log,
		LogService: logbook.New(logbook.Config{
			Address: settings.Address("platform", "log"),
			Timeout: settings.Duration("platform", "log-timeout"),
		}),
		Poll:    min(settings.Duration("platform", "poll"), settings.Duration("platform", "freshness")/pollsPerProof),
		Retry:   logRetry,
		Monitor: h.watch,
		Peers: statesync.NewPeerClient(statesync.PeerClientConfig{
			Instance: settings.Text("process", "instance"),
			Seeds:    settings.List("platform", "peers"),
			Identity: identity,
			Log:      log,
		}),
		Subscribers: []statesync.Subscriber{h.foyer.Inbox(), h.hall.Inbox()},
	})
	h.crew.Add(h.registrar)
	for _, r := range pool.Runners(h.foyer) {
		h.crew.Add(r)
	}
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address: settings.Address("desk", "listen"),
		Services: []porter.Service{
			{Name: notice.Service, Receiver: desk.New(meter, h.watch)},
			{Name: notice.HallService, Receiver: loader.NewRPCServer(h.hall, meter)},
			{Name: freshness.Service, Receiver: freshness.NewRPCServer(h.watch)},
			{Name: statesync.Service, Receiver: statesync.NewRPCServer(h.registrar)},
		},
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
	return h.drained, h.foyer.PutWithin(ctx, dispatcher.Drain{}, drainHandOver)
}

// Ready returns nil while the side takes work.
func (h *house) Ready() error {
	if h.foyer.Draining() {
		return errors.New("leaving")
	}
	if revision := h.registrar.Revision(); !h.watch.Fresh(time.Now(), revision.StateOffset()) {
		return errors.New("the configuration may be out of date; see whether the log service and the other instances can be reached")
	}
	return nil
}

// Status returns what the operators' status page shows.
func (h *house) Status() any {
	return status{Revision: h.registrar.Revision().Number(), Queued: h.foyer.Queued(), Running: h.foyer.Running(), Leaving: h.foyer.Draining()}
}

// status is the JSON form of the status page.
type status struct {
	Revision int64 `json:"revision"`
	Queued   int   `json:"queued"`
	Running  int   `json:"running"`
	Leaving  bool  `json:"leaving"`
}
