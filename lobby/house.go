package main

import (
	"context"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/lobby/herald"
	"sesamewell.example/lobby/porch"
	"sesamewell.example/lobby/purser"
	"sesamewell.example/lobby/steward"
	"sesamewell.example/platform"
)

// house is responsible for the process's supervision tree:
//
//	lobby
//	├── porch    (connections of callers and to backend servers)
//	├── dialers  (new connections to backend servers)
//	├── steward  (decisions on requests)
//	├── charters (the operator's configuration)
//	└── backends (the list of backend servers)
type house struct {
	crew    *crew.Crew
	porch   *porch.Porch
	steward *steward.Steward
	log     *logrus.Entry
}

func newHouse(settings *handbook.Values, log *logrus.Entry) *house {
	debug.SetMemoryLimit(settings.Bytes("process", "memory") * memoryShare / 100)
	h := &house{crew: crew.New(crew.Config{Name: "lobby", Log: log}), log: log}
	h.steward = steward.New(steward.Config{
		Core: steward.CoreConfig{
			Domain: settings.Text("process", "domain"),
			Peers:  peers,
			Purse:  purser.New(1.0 / peers),
			Budget: steward.BudgetConfig{
				Ratio:  settings.Decimal("retries", "ratio"),
				Extra:  float64(settings.Integer("retries", "extra")),
				Window: settings.Duration("retries", "window"),
				Share:  1.0 / peers,
			},
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Capacity: settings.Integer("steward", "inbox"),
		Log:      log,
	})
	h.porch = porch.New(porch.Config{
		Front:     settings.Address("porch", "listen"),
		Probe:     settings.Address("porch", "probe"),
		ReadyPath: platform.ReadyPath,
		Capacity:  settings.Integer("steward", "inbox"),
		Dialers:   settings.Integer("porch", "dialers"),
		Codec:     platform.Heads{},
		Dial:      platform.Dial,
		Steward:   h.steward.Inbox(),
		Readiness: h.steward,
		Log:       log,
	})
	h.steward.Attach(h.porch)
	for _, service := range h.porch.Services() {
		h.crew.Add(service)
	}
	h.crew.Add(h.steward.Duty())
	news := herald.Config{
		Store: platform.Register{
			Store:  platform.NewStore(platform.StoreConfig{Address: settings.Address("platform", "store"), Timeout: settings.Duration("platform", "timeout")}),
			Missed: herald.ErrMissed,
			Log:    log,
		},
		Listener: h,
		Log:      log,
	}
	h.crew.Add(herald.NewCharters(news))
	h.crew.Add(herald.NewBackends(news))
	return h
}

// Charter puts a configuration in force.
func (h *house) Charter(c *charter.Charter) {
	h.porch.SetLimits(c.Limits())
	h.tell(steward.NewChartered(c))
}

// Backends takes a new list of backend servers over.
func (h *house) Backends(backends []charter.Backend) { h.tell(steward.NewListed(backends)) }

func (h *house) tell(message steward.Message) {
	if err := h.steward.Inbox().PutWithin(context.Background(), message, drainHandOver); err != nil {
		h.log.WithField("event", "steward_behind").WithError(err).Error("news lost")
	}
}

// Serve runs the tree until ctx ends.
func (h *house) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Drain ends each connection with its next answer; the returned channel is
// closed when no request is open.
func (h *house) Drain(ctx context.Context) (<-chan struct{}, error) {
	h.porch.Drain(time.Now())
	if err := h.steward.Inbox().PutWithin(ctx, steward.Draining{}, drainHandOver); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go h.awaitEnd(ctx, done)
	return done, nil
}

// awaitEnd closes done when the last request has ended.
func (h *house) awaitEnd(ctx context.Context, done chan<- struct{}) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if h.steward.Open() == 0 && now.Sub(began) > stayAfterTerm {
				close(done)
				return
			}
		}
	}
}
