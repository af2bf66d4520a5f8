package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/admin"
	"sesamewell.example/commons/descriptors"
	"sesamewell.example/commons/freshness"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/logappender"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/otlp"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/entry/frontend"
	"sesamewell.example/entry/idempotency"
	"sesamewell.example/entry/membership"
	"sesamewell.example/entry/placement"
	"sesamewell.example/entry/quarantine"
	"sesamewell.example/entry/ratelimit"
	"sesamewell.example/entry/router"
	"sesamewell.example/entry/transport"
)

// process is the supervision tree of the entry, with the names that supervision
// events carry:
//
//	entry
//	├── lantern    (operators' pages, package admin)
//	├── wicket     (callers' connections, package httpserver)
//	├── gate       (callers' requests, package frontend)
//	├── treasurer  (tenants' rate limits and calls to other entries, package ratelimit)
//	├── booking    (requests with an Idempotency-Key and their appends, package idempotency)
//	├── quarantine (requests that crash backend servers, package quarantine)
//	├── usher      (routing, package router)
//	├── roster     (membership of the sides, package membership)
//	├── lines      (a sender, a reader and a prober for each side that the entry calls, package transport)
//	├── pitch      (placement of models, package placement)
//	├── scribe     (appends to the log, package logappender)
//	├── door       (calls from other processes, package peerrpc)
//	├── nightwatch (freshness proof, package freshness)
//	└── registrar  (fleet state from the log, package statesync)
type process struct {
	supervisor    *supervisor.Supervisor
	monitor       *freshness.Monitor
	syncer        *statesync.Syncer
	frontend      *frontend.Frontend
	server        *httpserver.Server // connections of callers
	limiter       *ratelimit.Limiter
	coordinator   *idempotency.Coordinator
	router        *router.Router
	tracker       *membership.Tracker
	drained       chan struct{}
	pendingDrains atomic.Int32 // number of components whose drain has not ended
}

func newProcess(settings *inifile.Values, log *logrus.Entry) (*process, error) {
	identity, err := peerrpc.IdentityFor(settings.Text("process", "secret"), settings.Address("link", "listen"))
	if err != nil {
		return nil, errors.Wrap(err, "[process] secret")
	}
	limit, err := descriptors.Limit(settings.Integer("process", "descriptors"))
	if err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"event": "limits", "descriptors": limit}).Info("limit on open files read")
	account := newAccount(settings, log)
	p := &process{
		supervisor: supervisor.New(supervisor.Config{Name: "entry", Log: log}),
		drained:    make(chan struct{}),
	}
	tracer := newTracer(settings)
	p.monitor = freshness.New(freshness.Config{
		Instance: settings.Text("process", "instance"),
		Core:     freshness.CoreConfig{Limit: settings.Duration("platform", "freshness"), Process: rand.Uint64(), Origin: time.Now()},
		Identity: identity,
		Log:      log,
	})
	incarnation := uuid.NewString()
	pool := transport.New(transport.Config{
		Incarnation: incarnation,
		Capacity:    settings.Integer("line", "inbox"),
		ReadWait:    settings.Duration("line", "read-wait"),
		Timeout:     settings.Duration("line", "timeout"),
		Identity:    identity,
		Freshness:   p.monitor,
		IdleTimeout: settings.Duration("line", "idle"),
		Log:         log,
	})
	p.frontend = p.newFrontend(settings, account, tracer, log)
	logService := logclient.New(logclient.Config{
		Address: settings.Address("platform", "log"),
		Timeout: settings.Duration("platform", "log-timeout"),
	})
	p.pendingDrains.Store(drainCount)
	p.coordinator = newCoordinator(settings, p, logService, log)
	appender := newAppender(settings, logService, log)
	p.limiter = newLimiter(settings, p, appender, identity, log)
	q := newQuarantine(settings, p, appender, log)
	p.router = newRouter(settings, pool, q, log)
	p.tracker = membership.New(membership.Config{
		Incarnation: incarnation,
		ListAddress: settings.Address("platform", "list"),
		Router:      p.router,
		Identity:    identity,
		Log:         log,
	})
	planner := newPlanner(settings, identity, appender, log)
	p.monitor.SetMembership(p.tracker)
	pool.SetReceiver(p.tracker)
	q.SetRouter(p.router)
	p.coordinator.SetRouter(q)
	p.limiter.SetRouter(p.coordinator)
	p.frontend.SetLimiter(p.limiter)
	p.supervisor.Add(admin.New(admin.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  p,
		Tracer:  tracer,
		Rings:   []*ring.Ring{p.frontend.Inbox(), p.coordinator.Inbox(), p.coordinator.Appends(), p.limiter.Inbox(), q.Inbox(), p.router.Inbox(), p.tracker.Inbox(), pool.Inbox(), planner.Inbox(), planner.Calls(), appender.Inbox()},
	}))
	for _, service := range slices.Concat(p.coordinator.Services(), p.limiter.Services(), p.tracker.Services()) {
		p.supervisor.Add(service)
	}
	for _, service := range planner.Services() {
		p.supervisor.Add(service)
	}
	p.supervisor.Add(appender)
	p.supervisor.Add(q.EventLoop())
	p.supervisor.Add(p.router.EventLoop())
	p.supervisor.Add(p.frontend.EventLoop())
	p.supervisor.Add(pool)
	p.supervisor.Add(p.monitor)
	p.syncer = statesync.New(statesync.Config{
		Log:        log,
		LogService: logService,
		Poll:       min(settings.Duration("platform", "poll"), settings.Duration("platform", "freshness")/pollsPerProof),
		RetryDelay: logRetryDelay,
		Monitor:    p.monitor,
		Peers: statesync.NewPeerClient(statesync.PeerClientConfig{
			Instance: settings.Text("process", "instance"),
			Seeds:    settings.List("platform", "peers"),
			Identity: identity,
			Log:      log,
		}),
		Subscribers: []statesync.Subscriber{pool.Inbox(), p.tracker.Inbox(), p.router.Inbox(), p.frontend.Inbox(), p.limiter.Inbox(), p.coordinator.Inbox(), planner.Inbox()},
		Consumers:   []statesync.Consumer{p.coordinator.Inbox(), q.Inbox()},
		Snapshots: statesync.SnapshotConfig{
			Period:  settings.Duration("platform", "snapshot-period"),
			Records: int64(settings.Integer("platform", "snapshot-records")),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	})
	p.supervisor.Add(p.syncer)
	p.supervisor.Add(peerrpc.NewServer(peerrpc.ServerConfig{
		Address: settings.Address("link", "listen"),
		Services: []peerrpc.Service{
			{Name: protocol.PlacementService, Receiver: placement.NewRPCServer(planner)},
			{Name: freshness.Service, Receiver: freshness.NewRPCServer(p.monitor)},
			{Name: protocol.RateLimitService, Receiver: ratelimit.NewRPCServer(p.limiter)},
			{Name: statesync.Service, Receiver: statesync.NewRPCServer(p.syncer)},
		},
		Identity: identity,
		Log:      log,
	}))
	p.server = p.newServer(settings, account, descriptors.NewBudget(limit).Limit(time.Now()), log)
	p.supervisor.Add(p.server)
	return p, nil
}

// newServer returns the server of callers, which accepts no more than maxConns connections.
func (p *process) newServer(settings *inifile.Values, account *memory.Budget, maxConns int, log *logrus.Entry) *httpserver.Server {
	return httpserver.New(httpserver.Config{
		Address:    settings.Address("gate", "listen"),
		Inbox:      p.frontend.Inbox(),
		Log:        log,
		MaxHeader:  int(settings.Bytes("gate", "max-header")),
		MaxBody:    int(settings.Bytes("gate", "max-body")),
		MaxUnsent:  int(settings.Bytes("gate", "max-unsent")),
		Account:    account,
		MaxConns:   min(settings.Integer("gate", "max-connections"), maxConns),
		SlowSender: settings.Duration("gate", "slow-sender"),
		MinUpload:  settings.Bytes("gate", "min-upload"),
		Idle:       settings.Duration("gate", "idle"),
		Loops:      callerEventLoops,
	})
}

func newRouter(settings *inifile.Values, pool router.Transport, responder router.Responder, log *logrus.Entry) *router.Router {
	return router.New(router.Config{
		Core: router.CoreConfig{
			Domain:        settings.Text("process", "domain"),
			MaxAttempts:   settings.Integer("usher", "max-attempts"),
			Probes:        settings.Integer("usher", "probes"),
			ReportCrashes: true,
			RetryShare:    float64(settings.Integer("usher", "retry-share")) / 100,
			Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Capacity:  settings.Integer("usher", "inbox"),
		Transport: pool,
		Responder: responder,
		Log:       log,
	})
}

func newTracer(settings *inifile.Values) *tracing.Tracer {
	return tracing.New(tracing.Config{
		Instance: settings.Text("process", "instance"),
		Capacity: settings.Integer("traces", "kept"),
		Sampling: settings.Integer("traces", "sampling"),
		Export:   otlp.NewSpanProcessor(settings.Address("traces", "otlp")),
	})
}

func (p *process) newFrontend(settings *inifile.Values, account *memory.Budget, tracer *tracing.Tracer, log *logrus.Entry) *frontend.Frontend {
	return frontend.New(frontend.Config{
		Capacity:         settings.Integer("gate", "inbox"),
		RequestTimeout:   settings.Duration("gate", "request-limit"),
		MaxAnswer:        settings.Bytes("gate", "max-answer"),
		Account:          account,
		DefaultMaxTokens: int64(settings.Integer("gate", "default-output")),
		Tracer:           tracer,
		Proof:            p.monitor,
		Log:              log,
		OnDrained:        sync.OnceFunc(func() { p.coordinator.Drain() }),
	})
}

// newAccount returns the account of the bytes of requests and answers, and limits the memory
// of the Go runtime if the settings limit that of the process.
func newAccount(settings *inifile.Values, log *logrus.Entry) *memory.Budget {
	limit := settings.Bytes("gate", "max-bodies")
	if bytes := settings.Bytes("process", "memory"); bytes > 0 {
		supervisor.LimitMemory(bytes)
		limit = min(limit, memory.NewBudget(bytes).Limit())
	}
	account := memory.NewBudgetOf(limit)
	account.Export(log)
	return account
}

func newCoordinator(settings *inifile.Values, p *process, logService *logclient.Client, log *logrus.Entry) *idempotency.Coordinator {
	return idempotency.New(idempotency.Config{
		Core: idempotency.CoreConfig{
			Table: idempotency.TableConfig{
				Capacity:    settings.Integer("booking", "intents"),
				IntentTTL:   settings.Duration("booking", "remember"),
				AnswerBytes: settings.Bytes("booking", "kept"),
				AnswerTTL:   settings.Duration("booking", "kept-for"),
			},
			MaxCallers:    settings.Integer("booking", "pending"),
			AppendTimeout: settings.Duration("booking", "append-limit"),
			MaxWait:       settings.Duration("booking", "wait"),
			MaxAnswer:     settings.Bytes("booking", "max-outcome"),
		},
		Capacity:   settings.Integer("booking", "inbox"),
		AppendRate: settings.Integer("booking", "appends"),
		LogService: logService,
		Responder:  p.frontend.Inbox(),
		Log:        log,
		OnDrained:  sync.OnceFunc(p.drainEnded),
	})
}

func newQuarantine(settings *inifile.Values, p *process, appender *logappender.Appender, log *logrus.Entry) *quarantine.Quarantine {
	return quarantine.New(quarantine.Config{
		Core:      quarantine.CoreConfig{Capacity: maxSuspects, SuspectTTL: suspectTTL, BanDuration: banDuration},
		Capacity:  settings.Integer("usher", "inbox"),
		Responder: p.coordinator,
		Appender:  appender,
		Log:       log,
	})
}

func newLimiter(settings *inifile.Values, p *process, appender ratelimit.Appender, identity *peerrpc.Identity, log *logrus.Entry) *ratelimit.Limiter {
	return ratelimit.New(ratelimit.Config{
		Core: ratelimit.CoreConfig{
			Instance:     settings.Text("process", "instance"),
			Freshness:    settings.Duration("platform", "freshness"),
			AllowanceTTL: allowanceTTL,
			FloorPercent: floorPercent,
			Proof:        p.monitor,
		},
		Capacity:  settings.Integer("rates", "inbox"),
		Responder: p.frontend.Inbox(),
		Appender:  appender,
		Identity:  identity,
		OnDrained: sync.OnceFunc(p.drainEnded),
		Log:       log,
	})
}

// drainEnded counts the end of one component's drain. The last one ends the drain
// of the process.
func (p *process) drainEnded() {
	if p.pendingDrains.Add(-1) == 0 {
		close(p.drained)
	}
}

// Serve runs the supervision tree until ctx ends.
func (p *process) Serve(ctx context.Context) error { return p.supervisor.Serve(ctx) }

// Drain makes the entry refuse new requests and hand over its buckets. The
// returned channel is closed when all open requests and the hand-over have ended.
func (p *process) Drain(ctx context.Context) (<-chan struct{}, error) {
	if err := p.frontend.Drain(ctx, drainPutTimeout); err != nil {
		return nil, err
	}
	p.server.Drain(time.Now())
	return p.drained, p.limiter.Drain(ctx, drainPutTimeout)
}

// Pending returns the number of callers who are owed an answer although their call is not
// open.
func (p *process) Pending() int { return p.server.Pending() }

// Close ends all open calls with an answer.
func (p *process) Close() { p.frontend.Close() }

// Ready returns nil while the entry accepts requests, else the reason why not.
func (p *process) Ready() error { return p.frontend.Ready(time.Now()) }

// Status returns the content of the operators' status page.
func (p *process) Status() any {
	return status{Revision: p.frontend.Revision(), Open: p.frontend.Open(), Draining: p.frontend.Draining()}
}

// status is the JSON form of the status page.
type status struct {
	Revision int64 `json:"revision"`
	Open     int   `json:"open"`
	Draining bool  `json:"leaving"`
}
