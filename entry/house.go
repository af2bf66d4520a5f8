package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/lantern"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/nightwatch"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/trail"
	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/gate"
	"sesamewell.example/entry/line"
	"sesamewell.example/entry/usher"
)

// house is responsible for the process's supervision tree:
//
//	entry
//	├── lantern   (operators' pages)
//	├── wicket    (callers' connections)
//	├── gate      (callers' requests)
//	├── usher     (routing)
//	├── lines     (sides: one sender and one reader each)
//	├── door      (calls of other processes)
//	├── nightwatch (freshness proof)
//	└── registrar (log)
type house struct {
	crew      *crew.Crew
	watch     *nightwatch.Watch
	registrar *registrar.Registrar
	gate      *gate.Gate
	usher     *usher.Usher
	drained   chan struct{}
}

func newHouse(settings *handbook.Values, log *logrus.Entry) *house {
	h := &house{
		crew:    crew.New(crew.Config{Name: "entry", Log: log}),
		drained: make(chan struct{}),
	}
	traces := trail.New(trail.Config{
		Instance: settings.Text("process", "instance"),
		Kept:     settings.Integer("traces", "kept"),
		Sampling: settings.Integer("traces", "sampling"),
	})
	h.watch = nightwatch.New(nightwatch.Config{
		Instance: settings.Text("process", "instance"),
		Core:     nightwatch.CoreConfig{Limit: settings.Duration("platform", "freshness"), Process: rand.Uint64(), Origin: time.Now()},
		Log:      log,
	})
	lines := line.New(line.Config{
		Incarnation: uuid.NewString(),
		Capacity:    settings.Integer("line", "inbox"),
		ReadWait:    settings.Duration("line", "read-wait"),
		Timeout:     settings.Duration("line", "timeout"),
		Watch:       h.watch,
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
		Drained:       sync.OnceFunc(func() { close(h.drained) }),
	})
	h.usher = usher.New(usher.Config{
		Core: usher.CoreConfig{
			Domain:      settings.Text("process", "domain"),
			MaxAttempts: settings.Integer("usher", "max-attempts"),
			Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Capacity: settings.Integer("usher", "inbox"),
		Lines:    lines,
		Gate:     h.gate.Inbox(),
		Log:      log,
	})
	lines.Attach(h.usher)
	h.gate.Attach(h.usher)
	h.crew.Add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   traces,
		Rings:   []*ring.Ring{h.gate.Inbox(), h.usher.Inbox(), lines.Inbox()},
	}))
	h.crew.Add(h.usher.Duty())
	h.crew.Add(h.gate.Duty())
	h.crew.Add(lines)
	h.crew.Add(h.watch)
	h.registrar = registrar.New(registrar.Config{
		Log: log,
		Service: logbook.New(logbook.Config{
			Address: settings.Address("platform", "log"),
			Timeout: settings.Duration("platform", "log-timeout"),
		}),
		Poll:  min(settings.Duration("platform", "poll"), settings.Duration("platform", "freshness")/pollsPerProof),
		Retry: logRetry,
		Watch: h.watch,
		Peers: registrar.NewCallers(registrar.CallersConfig{
			Instance: settings.Text("process", "instance"),
			Seeds:    settings.List("platform", "peers"),
			Log:      log,
		}),
		Subscribers: []registrar.Inbox{lines.Inbox(), h.usher.Inbox(), h.gate.Inbox()},
		Snapshots: registrar.SnapshotConfig{
			Period:  settings.Duration("platform", "snapshot-period"),
			Records: int64(settings.Integer("platform", "snapshot-records")),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	})
	h.crew.Add(h.registrar)
	h.crew.Add(porter.NewDoor(porter.DoorConfig{
		Address: settings.Address("link", "listen"),
		Services: []porter.Service{
			{Name: nightwatch.Service, Receiver: nightwatch.NewDesk(h.watch)},
			{Name: registrar.Service, Receiver: registrar.NewDesk(h.registrar)},
		},
		Log: log,
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
	return h
}

// Serve runs the tree until ctx ends.
func (h *house) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Drain refuses new requests; the returned channel is closed when all open
// ones have ended.
func (h *house) Drain(ctx context.Context) (<-chan struct{}, error) {
	return h.drained, h.gate.Drain(ctx, drainHandOver)
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
