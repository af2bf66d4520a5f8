package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/admin"
	"sesamewell.example/commons/freshness"
	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/otlp"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/side/dispatcher"
	"sesamewell.example/side/loader"
	"sesamewell.example/side/rpcserver"
	"sesamewell.example/side/runner"
)

// process is the supervision tree of the side, with the names that supervision
// events carry:
//
//	side
//	├── lantern    (operators' pages, package admin)
//	├── door       (calls from other processes, packages peerrpc and rpcserver)
//	├── foyer      (queue of attempts and their answers, package dispatcher)
//	├── runner     (attempts at the backend server, several threads, package runner)
//	├── hall       (models, adapters and memory of the backend server, package loader)
//	├── lister     (platform's list of instances, package loader)
//	├── scribe     (appends to the log, package logappender)
//	├── nightwatch (freshness proof, package freshness)
//	└── registrar  (fleet state from the log, package statesync)
type process struct {
	supervisor *supervisor.Supervisor
	monitor    *freshness.Monitor
	syncer     *statesync.Syncer
	dispatcher *dispatcher.Dispatcher
	loader     *loader.Loader
	drained    chan struct{}
}

func newProcess(settings *inifile.Values, log *logrus.Entry) (*process, error) {
	identity, err := peerrpc.IdentityFor(settings.Text("process", "secret"), settings.Address("desk", "listen"))
	if err != nil {
		return nil, errors.Wrap(err, "[process] secret")
	}
	maxHeld := settings.Bytes("foyer", "max-held")
	if bytes := settings.Bytes("process", "memory"); bytes > 0 {
		supervisor.LimitMemory(bytes)
		maxHeld = min(maxHeld, memory.NewBudget(bytes).Limit())
	}
	p := &process{
		supervisor: supervisor.New(supervisor.Config{Name: "side", Log: log}),
		drained:    make(chan struct{}),
	}
	tracer := tracing.New(tracing.Config{
		Instance: settings.Text("process", "instance"),
		Capacity: settings.Integer("traces", "kept"),
		Sampling: settings.Integer("traces", "sampling"),
		Export:   otlp.NewSpanProcessor(settings.Address("traces", "otlp")),
	})
	concurrency := settings.Integer("backend", "concurrency")
	pool := runner.New(runner.Config{
		Address:     settings.Address("backend", "address"),
		IdleTimeout: settings.Duration("backend", "silence"),
		Threads:     concurrency,
		Tracer:      tracer,
		Log:         log,
	})
	p.monitor = freshness.New(freshness.Config{
		Instance: settings.Text("process", "instance"),
		Core:     freshness.CoreConfig{Limit: settings.Duration("platform", "freshness"), Process: rand.Uint64(), Origin: time.Now()},
		Identity: identity,
		Log:      log,
	})
	appender := newAppender(settings, log)
	p.loader = newLoader(settings, p.monitor, appender, log)
	p.dispatcher = dispatcher.New(dispatcher.Config{
		Core: dispatcher.CoreConfig{
			Incarnation:  uuid.NewString(),
			Concurrency:  concurrency,
			QueueLimit:   settings.Integer("foyer", "queue"),
			PrefixBlocks: settings.Integer("foyer", "prefix-blocks"),
			Residency:    p.loader,
			MaxBuffered:  settings.Bytes("foyer", "max-buffered"),
			MaxBodies:    maxHeld / 2,
			MaxAnswers:   maxHeld / 4,
			FlushDelay:   settings.Duration("desk", "linger"),
		},
		Capacity:  settings.Integer("foyer", "inbox"),
		Runners:   pool,
		Proof:     p.monitor,
		Log:       log,
		OnDrained: sync.OnceFunc(func() { close(p.drained) }),
	})
	meter := loader.NewDemandMeter(p.dispatcher)
	p.supervisor.Add(admin.New(admin.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  p,
		Tracer:  tracer,
		Rings:   []*ring.Ring{p.dispatcher.Inbox(), pool.Jobs(), p.loader.Inbox(), p.loader.Jobs(), appender.Inbox()},
	}))
	p.supervisor.Add(p.monitor)
	p.supervisor.Add(p.dispatcher.EventLoop())
	p.supervisor.Add(appender)
	for _, service := range p.loader.Services() {
		p.supervisor.Add(service)
	}
	if address := settings.Address("platform", "list"); address != "" {
		p.supervisor.Add(newListPoller(settings, address, p.loader.Inbox(), log))
	}
	p.syncer = statesync.New(statesync.Config{
		Log: log,
		LogService: logclient.New(logclient.Config{
			Address: settings.Address("platform", "log"),
			Timeout: settings.Duration("platform", "log-timeout"),
		}),
		Poll:       min(settings.Duration("platform", "poll"), settings.Duration("platform", "freshness")/pollsPerProof),
		RetryDelay: logRetryDelay,
		Monitor:    p.monitor,
		Peers: statesync.NewPeerClient(statesync.PeerClientConfig{
			Instance: settings.Text("process", "instance"),
			Seeds:    settings.List("platform", "peers"),
			Identity: identity,
			Log:      log,
		}),
		Subscribers: []statesync.Subscriber{p.dispatcher.Inbox(), p.loader.Inbox()},
	})
	p.supervisor.Add(p.syncer)
	for _, r := range pool.Runners(p.dispatcher) {
		p.supervisor.Add(r)
	}
	p.supervisor.Add(peerrpc.NewServer(peerrpc.ServerConfig{
		Address: settings.Address("desk", "listen"),
		Services: []peerrpc.Service{
			{Name: protocol.SideService, Receiver: rpcserver.New(meter, p.monitor)},
			{Name: protocol.LoaderService, Receiver: loader.NewRPCServer(p.loader, meter)},
			{Name: freshness.Service, Receiver: freshness.NewRPCServer(p.monitor)},
			{Name: statesync.Service, Receiver: statesync.NewRPCServer(p.syncer)},
		},
		Identity:   identity,
		Log:        log,
		MaxMessage: settings.Bytes("desk", "max-message"),
		MaxHeld:    heldMessages * settings.Bytes("desk", "max-message"),
	}))
	return p, nil
}

// Serve runs the supervision tree until ctx ends.
func (p *process) Serve(ctx context.Context) error { return p.supervisor.Serve(ctx) }

// Drain makes the side refuse new attempts. The returned channel is closed when
// all answers have been delivered.
func (p *process) Drain(ctx context.Context) (<-chan struct{}, error) {
	return p.drained, p.dispatcher.PutWithin(ctx, dispatcher.Drain{}, drainPutTimeout)
}

// Ready returns nil while the side accepts attempts, else the reason why not.
func (p *process) Ready() error {
	if p.dispatcher.Draining() {
		return errors.New("leaving")
	}
	if revision := p.syncer.Revision(); !p.monitor.Fresh(time.Now(), revision.StateOffset()) {
		return errors.New("the configuration may be out of date; see whether the log service and the other instances can be reached")
	}
	return nil
}

// Status returns the content of the operators' status page.
func (p *process) Status() any {
	return status{Revision: p.syncer.Revision().Number(), Queued: p.dispatcher.Queued(), Running: p.dispatcher.Running(), Draining: p.dispatcher.Draining()}
}

// status is the JSON form of the status page.
type status struct {
	Revision int64 `json:"revision"`
	Queued   int   `json:"queued"`
	Running  int   `json:"running"`
	Draining bool  `json:"leaving"`
}
