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
	"sesamewell.example/side/dispatcher"
	"sesamewell.example/side/loader"
	"sesamewell.example/side/rpcserver"
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
type process struct {
	crew       *crew.Crew
	monitor    *freshness.Monitor
	syncer     *statesync.Syncer
	dispatcher *dispatcher.Dispatcher
	loader     *loader.Loader
	drained    chan struct{}
}

func newProcess(settings *handbook.Values, log *logrus.Entry) (*process, error) {
	identity, err := porter.IdentityFor(settings.Text("process", "secret"), settings.Address("desk", "listen"))
	if err != nil {
		return nil, errors.Wrap(err, "[process] secret")
	}
	h := &process{
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
		Address:     settings.Address("backend", "address"),
		IdleTimeout: settings.Duration("backend", "silence"),
		Threads:     concurrency,
		Trail:       traces,
		Log:         log,
	})
	h.monitor = freshness.New(freshness.Config{
		Instance: settings.Text("process", "instance"),
		Core:     freshness.CoreConfig{Limit: settings.Duration("platform", "freshness"), Process: rand.Uint64(), Origin: time.Now()},
		Identity: identity,
		Log:      log,
	})
	records := newAppender(settings, log)
	h.loader = newLoader(settings, h.monitor, records, log)
	h.dispatcher = dispatcher.New(dispatcher.Config{
		Core: dispatcher.CoreConfig{
			Incarnation:  uuid.NewString(),
			Concurrency:  concurrency,
			QueueLimit:   settings.Integer("foyer", "queue"),
			PrefixBlocks: settings.Integer("foyer", "prefix-blocks"),
			Residency:    h.loader,
			MaxBuffered:  settings.Bytes("foyer", "max-buffered"),
			FlushDelay:   settings.Duration("desk", "linger"),
		},
		Capacity:  settings.Integer("foyer", "inbox"),
		Runners:   pool,
		Proof:     h.monitor,
		Log:       log,
		OnDrained: sync.OnceFunc(func() { close(h.drained) }),
	})
	meter := loader.NewDemandMeter(h.dispatcher)
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   traces,
		Rings:   []*ring.Ring{h.dispatcher.Inbox(), pool.Jobs(), h.loader.Inbox(), h.loader.Orders(), records.Inbox()},
	}))
	h.crew.Add(h.monitor)
	h.crew.Add(h.dispatcher.Duty())
	h.crew.Add(records)
	for _, service := range h.loader.Services() {
		h.crew.Add(service)
	}
	if address := settings.Address("platform", "list"); address != "" {
		h.crew.Add(newListPoller(settings, address, h.loader.Inbox(), log))
	}
	h.syncer = statesync.New(statesync.Config{
		Log: log,
		LogService: logbook.New(logbook.Config{
			Address: settings.Address("platform", "log"),
			Timeout: settings.Duration("platform", "log-timeout"),
		}),
		Poll:    min(settings.Duration("platform", "poll"), settings.Duration("platform", "freshness")/pollsPerProof),
		Retry:   logRetryDelay,
		Monitor: h.monitor,
		Peers: statesync.NewPeerClient(statesync.PeerClientConfig{
			Instance: settings.Text("process", "instance"),
			Seeds:    settings.List("platform", "peers"),
			Identity: identity,
			Log:      log,
		}),
		Subscribers: []statesync.Subscriber{h.dispatcher.Inbox(), h.loader.Inbox()},
	})
	h.crew.Add(h.syncer)
	for _, r := range pool.Runners(h.dispatcher) {
		h.crew.Add(r)
	}
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address: settings.Address("desk", "listen"),
		Services: []porter.Service{
			{Name: notice.Service, Receiver: rpcserver.New(meter, h.monitor)},
			{Name: notice.HallService, Receiver: loader.NewRPCServer(h.loader, meter)},
			{Name: freshness.Service, Receiver: freshness.NewRPCServer(h.monitor)},
			{Name: statesync.Service, Receiver: statesync.NewRPCServer(h.syncer)},
		},
		Identity: identity,
		Log:      log,
	}))
	return h, nil
}

// Serve runs the tree until ctx ends.
func (h *process) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Drain refuses new work; the returned channel is closed when all answers have
// been delivered.
func (h *process) Drain(ctx context.Context) (<-chan struct{}, error) {
	return h.drained, h.dispatcher.PutWithin(ctx, dispatcher.Drain{}, drainPutTimeout)
}

// Ready returns nil while the side takes work.
func (h *process) Ready() error {
	if h.dispatcher.Draining() {
		return errors.New("leaving")
	}
	if revision := h.syncer.Revision(); !h.monitor.Fresh(time.Now(), revision.StateOffset()) {
		return errors.New("the configuration may be out of date; see whether the log service and the other instances can be reached")
	}
	return nil
}

// Status returns what the operators' status page shows.
func (h *process) Status() any {
	return status{Revision: h.syncer.Revision().Number(), Queued: h.dispatcher.Queued(), Running: h.dispatcher.Running(), Leaving: h.dispatcher.Draining()}
}

// status is the JSON form of the status page.
type status struct {
	Revision int64 `json:"revision"`
	Queued   int   `json:"queued"`
	Running  int   `json:"running"`
	Leaving  bool  `json:"leaving"`
}
