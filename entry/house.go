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

	"sesamewell.example/commons/courier"
	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/freshness"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/lantern"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/scribe"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/trail"
	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/frontend"
	"sesamewell.example/entry/idempotency"
	"sesamewell.example/entry/membership"
	"sesamewell.example/entry/placement"
	"sesamewell.example/entry/quarantine"
	"sesamewell.example/entry/ratelimit"
	"sesamewell.example/entry/router"
	"sesamewell.example/entry/transport"
)

// house is responsible for the process's supervision tree:
//
//	entry
//	├── lantern   (operators' pages)
//	├── wicket    (callers' connections)
//	├── gate      (callers' requests)
//	├── treasurer (tenants' rates, and its calls of other entries)
//	├── booking   (requests that may run once, and their appends)
//	├── quarantine (requests that crash backend servers)
//	├── usher     (routing)
//	├── roster    (membership of the sides)
//	├── lines     (sides in use: a sender, a reader and a prober each)
//	├── pitch     (placement of models, under a claim)
//	├── scribe    (appends to the log)
//	├── door      (calls of other processes)
//	├── nightwatch (freshness proof)
//	└── registrar (log)
type process struct {
	crew          *crew.Crew
	monitor       *freshness.Monitor
	syncer        *statesync.Syncer
	frontend      *frontend.Frontend
	limiter       *ratelimit.Limiter
	coordinator   *idempotency.Coordinator
	router        *router.Router
	tracker       *membership.Tracker
	drained       chan struct{}
	pendingDrains atomic.Int32 // duties whose drain has not ended
}

func newProcess(settings *handbook.Values, log *logrus.Entry) (*process, error) {
	identity, err := porter.IdentityFor(settings.Text("process", "secret"), settings.Address("link", "listen"))
	if err != nil {
		return nil, errors.Wrap(err, "[process] secret")
	}
	h := &process{
		crew:    crew.New(crew.Config{Name: "entry", Log: log}),
		drained: make(chan struct{}),
	}
	traces := trail.New(trail.Config{
		Instance: settings.Text("process", "instance"),
		Kept:     settings.Integer("traces", "kept"),
		Sampling: settings.Integer("traces", "sampling"),
		Export:   courier.New(settings.Address("traces", "otlp")),
	})
	h.monitor = freshness.New(freshness.Config{
		Instance: settings.Text("process", "instance"),
		Core:     freshness.CoreConfig{Limit: settings.Duration("platform", "freshness"), Process: rand.Uint64(), Origin: time.Now()},
		Identity: identity,
		Log:      log,
	})
	incarnation := uuid.NewString()
	lines := transport.New(transport.Config{
		Incarnation: incarnation,
		Capacity:    settings.Integer("line", "inbox"),
		ReadWait:    settings.Duration("line", "read-wait"),
		Timeout:     settings.Duration("line", "timeout"),
		Identity:    identity,
		Freshness:   h.monitor,
		IdleTimeout: settings.Duration("line", "idle"),
		Log:         log,
	})
	h.frontend = frontend.New(frontend.Config{
		Capacity:         settings.Integer("gate", "inbox"),
		RequestTimeout:   settings.Duration("gate", "request-limit"),
		MaxAnswer:        settings.Bytes("gate", "max-answer"),
		DefaultMaxTokens: int64(settings.Integer("gate", "default-output")),
		Trail:            traces,
		Proof:            h.monitor,
		Log:              log,
		Drained:          sync.OnceFunc(func() { h.coordinator.Drain() }),
	})
	service := logbook.New(logbook.Config{
		Address: settings.Address("platform", "log"),
		Timeout: settings.Duration("platform", "log-timeout"),
	})
	h.pendingDrains.Store(drainCount)
	h.coordinator = newCoordinator(settings, h, service, log)
	records := newAppender(settings, service, log)
	h.limiter = newLimiter(settings, h, records, identity, log)
	quarantined := newQuarantine(settings, h, records, log)
	h.router = router.New(router.Config{
		Core: router.CoreConfig{
			Domain:        settings.Text("process", "domain"),
			MaxAttempts:   settings.Integer("usher", "max-attempts"),
			Probes:        settings.Integer("usher", "probes"),
			ReportCrashes: true,
			RetryShare:    float64(settings.Integer("usher", "retry-share")) / 100,
			Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Capacity:  settings.Integer("usher", "inbox"),
		Transport: lines,
		Responder: quarantined,
		Log:       log,
	})
	h.tracker = membership.New(membership.Config{
		Incarnation: incarnation,
		ListAddress: settings.Address("platform", "list"),
		Router:      h.router,
		Identity:    identity,
		Log:         log,
	})
	planner := newPlanner(settings, identity, records, log)
	h.monitor.SetMembership(h.tracker)
	lines.SetReceiver(h.tracker)
	quarantined.SetRouter(h.router)
	h.coordinator.Attach(quarantined)
	h.limiter.Attach(h.coordinator)
	h.frontend.Attach(h.limiter)
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   traces,
		Rings:   []*ring.Ring{h.frontend.Inbox(), h.coordinator.Inbox(), h.coordinator.Appends(), h.limiter.Inbox(), quarantined.Inbox(), h.router.Inbox(), h.tracker.Inbox(), lines.Inbox(), planner.Inbox(), planner.Calls(), records.Inbox()},
	}))
	for _, service := range slices.Concat(h.coordinator.Services(), h.limiter.Services(), h.tracker.Services()) {
		h.crew.Add(service)
	}
	for _, service := range planner.Services() {
		h.crew.Add(service)
	}
	h.crew.Add(records)
	h.crew.Add(quarantined.Duty())
	h.crew.Add(h.router.Duty())
	h.crew.Add(h.frontend.Duty())
	h.crew.Add(lines)
	h.crew.Add(h.monitor)
	h.syncer = statesync.New(statesync.Config{
		Log:        log,
		LogService: service,
		Poll:       min(settings.Duration("platform", "poll"), settings.Duration("platform", "freshness")/pollsPerProof),
		Retry:      logRetryDelay,
		Monitor:    h.monitor,
		Peers: statesync.NewPeerClient(statesync.PeerClientConfig{
			Instance: settings.Text("process", "instance"),
			Seeds:    settings.List("platform", "peers"),
			Identity: identity,
			Log:      log,
		}),
		Subscribers: []statesync.Subscriber{lines.Inbox(), h.tracker.Inbox(), h.router.Inbox(), h.frontend.Inbox(), h.limiter.Inbox(), h.coordinator.Inbox(), planner.Inbox()},
		Consumers:   []statesync.Consumer{h.coordinator.Inbox(), quarantined.Inbox()},
		Snapshots: statesync.SnapshotConfig{
			Period:  settings.Duration("platform", "snapshot-period"),
			Records: int64(settings.Integer("platform", "snapshot-records")),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	})
	h.crew.Add(h.syncer)
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address: settings.Address("link", "listen"),
		Services: []porter.Service{
			{Name: notice.PitchService, Receiver: placement.NewRPCServer(planner)},
			{Name: freshness.Service, Receiver: freshness.NewRPCServer(h.monitor)},
			{Name: notice.TreasuryService, Receiver: ratelimit.NewRPCServer(h.limiter)},
			{Name: statesync.Service, Receiver: statesync.NewRPCServer(h.syncer)},
		},
		Identity: identity,
		Log:      log,
	}))
	h.crew.Add(wicket.New(wicket.Config{
		Address:    settings.Address("gate", "listen"),
		Inbox:      h.frontend.Inbox(),
		Log:        log,
		MaxHeader:  int(settings.Bytes("gate", "max-header")),
		MaxBody:    int(settings.Bytes("gate", "max-body")),
		MaxUnsent:  int(settings.Bytes("gate", "max-unsent")),
		MaxConns:   settings.Integer("gate", "max-connections"),
		SlowSender: settings.Duration("gate", "slow-sender"),
		Idle:       settings.Duration("gate", "idle"),
		Loops:      callerEventLoops,
	}))
	return h, nil
}

func newCoordinator(settings *handbook.Values, h *process, service *logbook.Client, log *logrus.Entry) *idempotency.Coordinator {
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
		Service:    service,
		Gate:       h.frontend.Inbox(),
		Log:        log,
		Drained:    sync.OnceFunc(h.drainEnded),
	})
}

func newQuarantine(settings *handbook.Values, h *process, records *scribe.Scribe, log *logrus.Entry) *quarantine.Quarantine {
	return quarantine.New(quarantine.Config{
		Core:      quarantine.CoreConfig{Capacity: maxSuspects, SuspectTTL: suspectTTL, BanDuration: banDuration},
		Capacity:  settings.Integer("usher", "inbox"),
		Responder: h.coordinator,
		Appender:  records,
		Log:       log,
	})
}

func newLimiter(settings *handbook.Values, h *process, records ratelimit.ClaimAppender, identity *porter.Identity, log *logrus.Entry) *ratelimit.Limiter {
	return ratelimit.New(ratelimit.Config{
		Core: ratelimit.CoreConfig{
			Instance:     settings.Text("process", "instance"),
			Freshness:    settings.Duration("platform", "freshness"),
			AllowanceTTL: allowanceTTL,
			FloorPercent: floorPercent,
			Proof:        h.monitor,
		},
		Capacity: settings.Integer("rates", "inbox"),
		Refusals: h.frontend.Inbox(),
		Claims:   records,
		Identity: identity,
		Drained:  sync.OnceFunc(h.drainEnded),
		Log:      log,
	})
}

// drainEnded notes that the drain of one more duty has ended.
func (h *process) drainEnded() {
	if h.pendingDrains.Add(-1) == 0 {
		close(h.drained)
	}
}

// Serve runs the tree until ctx ends.
func (h *process) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Drain refuses new requests; the returned channel is closed when all open
// ones have ended.
func (h *process) Drain(ctx context.Context) (<-chan struct{}, error) {
	if err := h.frontend.Drain(ctx, drainPutTimeout); err != nil {
		return nil, err
	}
	return h.drained, h.limiter.Drain(ctx, drainPutTimeout)
}

// Ready returns nil while the entry takes requests.
func (h *process) Ready() error { return h.frontend.Ready(time.Now()) }

// Status returns what the operators' status page shows.
func (h *process) Status() any {
	return status{Revision: h.frontend.Revision(), Open: h.frontend.Open(), Leaving: h.frontend.Draining()}
}

// status is the JSON form of the status page.
type status struct {
	Revision int64 `json:"revision"`
	Open     int   `json:"open"`
	Leaving  bool  `json:"leaving"`
}
