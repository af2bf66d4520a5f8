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
	"sesamewell.example/entry/gate"
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
type house struct {
	crew      *crew.Crew
	watch     *freshness.Monitor
	registrar *statesync.Syncer
	gate      *gate.Gate
	treasurer *ratelimit.Limiter
	booking   *idempotency.Coordinator
	usher     *router.Router
	roster    *membership.Tracker
	drained   chan struct{}
	draining  atomic.Int32 // duties whose drain has not ended
}

func newHouse(settings *handbook.Values, log *logrus.Entry) (*house, error) {
	identity, err := porter.IdentityFor(settings.Text("process", "secret"), settings.Address("link", "listen"))
	if err != nil {
		return nil, errors.Wrap(err, "[process] secret")
	}
	h := &house{
		crew:    crew.New(crew.Config{Name: "entry", Log: log}),
		drained: make(chan struct{}),
	}
	traces := trail.New(trail.Config{
		Instance: settings.Text("process", "instance"),
		Kept:     settings.Integer("traces", "kept"),
		Sampling: settings.Integer("traces", "sampling"),
		Export:   courier.New(settings.Address("traces", "otlp")),
	})
	h.watch = freshness.New(freshness.Config{
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
		Freshness:   h.watch,
		IdleTimeout: settings.Duration("line", "idle"),
		Log:         log,
	})
	h.gate = gate.New(gate.Config{
		Capacity:      settings.Integer("gate", "inbox"),
		RequestLimit:  settings.Duration("gate", "request-limit"),
		MaxAnswer:     settings.Bytes("gate", "max-answer"),
		DefaultOutput: int64(settings.Integer("gate", "default-output")),
		Trail:         traces,
		Watch:         h.watch,
		Log:           log,
		Drained:       sync.OnceFunc(func() { h.booking.Drain() }),
	})
	service := logbook.New(logbook.Config{
		Address: settings.Address("platform", "log"),
		Timeout: settings.Duration("platform", "log-timeout"),
	})
	h.draining.Store(drainingDuties)
	h.booking = newBooking(settings, h, service, log)
	records := newScribe(settings, service, log)
	h.treasurer = newTreasurer(settings, h, records, identity, log)
	quarantined := newQuarantine(settings, h, records, log)
	h.usher = router.New(router.Config{
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
	h.roster = membership.New(membership.Config{
		Incarnation: incarnation,
		ListAddress: settings.Address("platform", "list"),
		Router:      h.usher,
		Identity:    identity,
		Log:         log,
	})
	planner := newPitch(settings, identity, records, log)
	h.watch.SetMembership(h.roster)
	lines.SetReceiver(h.roster)
	quarantined.SetRouter(h.usher)
	h.booking.Attach(quarantined)
	h.treasurer.Attach(h.booking)
	h.gate.Attach(h.treasurer)
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   traces,
		Rings:   []*ring.Ring{h.gate.Inbox(), h.booking.Inbox(), h.booking.Appends(), h.treasurer.Inbox(), quarantined.Inbox(), h.usher.Inbox(), h.roster.Inbox(), lines.Inbox(), planner.Inbox(), planner.Calls(), records.Inbox()},
	}))
	for _, service := range slices.Concat(h.booking.Services(), h.treasurer.Services(), h.roster.Services()) {
		h.crew.Add(service)
	}
	for _, service := range planner.Services() {
		h.crew.Add(service)
	}
	h.crew.Add(records)
	h.crew.Add(quarantined.Duty())
	h.crew.Add(h.usher.Duty())
	h.crew.Add(h.gate.Duty())
	h.crew.Add(lines)
	h.crew.Add(h.watch)
	h.registrar = statesync.New(statesync.Config{
		Log:        log,
		LogService: service,
		Poll:       min(settings.Duration("platform", "poll"), settings.Duration("platform", "freshness")/pollsPerProof),
		Retry:      logRetry,
		Monitor:    h.watch,
		Peers: statesync.NewPeerClient(statesync.PeerClientConfig{
			Instance: settings.Text("process", "instance"),
			Seeds:    settings.List("platform", "peers"),
			Identity: identity,
			Log:      log,
		}),
		Subscribers: []statesync.Subscriber{lines.Inbox(), h.roster.Inbox(), h.usher.Inbox(), h.gate.Inbox(), h.treasurer.Inbox(), h.booking.Inbox(), planner.Inbox()},
		Consumers:   []statesync.Consumer{h.booking.Inbox(), quarantined.Inbox()},
		Snapshots: statesync.SnapshotConfig{
			Period:  settings.Duration("platform", "snapshot-period"),
			Records: int64(settings.Integer("platform", "snapshot-records")),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	})
	h.crew.Add(h.registrar)
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address: settings.Address("link", "listen"),
		Services: []porter.Service{
			{Name: notice.PitchService, Receiver: placement.NewRPCServer(planner)},
			{Name: freshness.Service, Receiver: freshness.NewRPCServer(h.watch)},
			{Name: notice.TreasuryService, Receiver: ratelimit.NewRPCServer(h.treasurer)},
			{Name: statesync.Service, Receiver: statesync.NewRPCServer(h.registrar)},
		},
		Identity: identity,
		Log:      log,
	}))
	h.crew.Add(wicket.New(wicket.Config{
		Address:    settings.Address("gate", "listen"),
		Inbox:      h.gate.Inbox(),
		Log:        log,
		MaxHeader:  int(settings.Bytes("gate", "max-header")),
		MaxBody:    int(settings.Bytes("gate", "max-body")),
		MaxUnsent:  int(settings.Bytes("gate", "max-unsent")),
		MaxConns:   settings.Integer("gate", "max-connections"),
		SlowSender: settings.Duration("gate", "slow-sender"),
		Idle:       settings.Duration("gate", "idle"),
		Loops:      callerLoops,
	}))
	return h, nil
}

func newBooking(settings *handbook.Values, h *house, service *logbook.Client, log *logrus.Entry) *idempotency.Coordinator {
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
		Gate:       h.gate.Inbox(),
		Log:        log,
		Drained:    sync.OnceFunc(h.drainEnded),
	})
}

func newQuarantine(settings *handbook.Values, h *house, records *scribe.Scribe, log *logrus.Entry) *quarantine.Quarantine {
	return quarantine.New(quarantine.Config{
		Core:      quarantine.CoreConfig{Capacity: maxSuspects, SuspectTTL: suspectLife, BanDuration: quarantineLife},
		Capacity:  settings.Integer("usher", "inbox"),
		Responder: h.booking,
		Appender:  records,
		Log:       log,
	})
}

func newTreasurer(settings *handbook.Values, h *house, records ratelimit.ClaimAppender, identity *porter.Identity, log *logrus.Entry) *ratelimit.Limiter {
	return ratelimit.New(ratelimit.Config{
		Core: ratelimit.CoreConfig{
			Instance:     settings.Text("process", "instance"),
			Freshness:    settings.Duration("platform", "freshness"),
			AllowanceTTL: allowanceLife,
			FloorPercent: floorPercent,
			Proof:        h.watch,
		},
		Capacity: settings.Integer("rates", "inbox"),
		Refusals: h.gate.Inbox(),
		Claims:   records,
		Identity: identity,
		Drained:  sync.OnceFunc(h.drainEnded),
		Log:      log,
	})
}

// drainEnded notes that the drain of one more duty has ended.
func (h *house) drainEnded() {
	if h.draining.Add(-1) == 0 {
		close(h.drained)
	}
}

// Serve runs the tree until ctx ends.
func (h *house) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Drain refuses new requests; the returned channel is closed when all open
// ones have ended.
func (h *house) Drain(ctx context.Context) (<-chan struct{}, error) {
	if err := h.gate.Drain(ctx, drainHandOver); err != nil {
		return nil, err
	}
	return h.drained, h.treasurer.Drain(ctx, drainHandOver)
}

// Ready returns nil while the entry takes requests.
func (h *house) Ready() error { return h.gate.Ready(time.Now()) }

// Status returns what the operators' status page shows.
func (h *house) Status() any {
	return status{Revision: h.gate.Revision(), Open: h.gate.Open(), Leaving: h.gate.Draining()}
}

// status is the JSON form of the status page.
type status struct {
	Revision int64 `json:"revision"`
	Open     int   `json:"open"`
	Leaving  bool  `json:"leaving"`
}
