package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/lantern"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/trail"
	"sesamewell.example/lobby/errands"
	"sesamewell.example/lobby/herald"
	"sesamewell.example/lobby/parley"
	"sesamewell.example/lobby/placement"
	"sesamewell.example/lobby/porch"
	"sesamewell.example/lobby/ratelimit"
	"sesamewell.example/lobby/scheduler"
	"sesamewell.example/platform"
)

// house is responsible for the process's supervision tree:
//
//	lobby
//	├── lantern  (operators' pages)
//	├── farewell (the end of a drain)
//	├── porch    (connections of callers and to backend servers)
//	├── dialers  (new connections to backend servers)
//	├── steward  (decisions on requests)
//	├── errands  (calls of keepers)
//	├── planner  (placement of models)
//	├── parley   (calls of the other lobbies, a thread each)
//	├── door     (calls of other lobbies)
//	├── catch up (configurations that other lobbies know first)
//	├── charters (the operator's configuration)
//	├── backends (the list of backend servers)
//	└── lobbies  (the list of lobbies)
type house struct {
	crew     *crew.Crew
	news     *news
	farewell *farewell
}

func newHouse(settings *handbook.Values, log *logrus.Entry) *house {
	crew.LimitMemory(settings.Bytes("process", "memory"))
	n := &news{self: settings.Address("door", "listen"), incarnation: rand.Uint64(), log: log}
	h := &house{
		crew: crew.New(crew.Config{Name: "lobby", Log: log}),
		news: n,
	}
	n.lines = newLines()
	n.board = herald.NewBoard(herald.BoardConfig{Listener: n, Log: log})
	n.steward = newSteward(settings, log)
	n.porch = newPorch(settings, n.steward, log)
	runs := errands.New(errands.Config{
		Port:     strconv.Itoa(settings.Integer("keeper", "port")),
		Line:     n.lines,
		Steward:  n.steward.Inbox(),
		Capacity: settings.Integer("steward", "inbox"),
		Threads:  settings.Integer("keeper", "threads"),
		Log:      log,
	})
	n.parley = parley.New(parley.Config{
		Self:   n.self,
		Dial:   func(address string) parley.Line { return newLine(address) },
		Hearer: n,
		Log:    log,
	})
	n.planner = placement.New(placement.Config{
		Core: placement.CoreConfig{
			Self: n.self, PeerTimeout: planSilence, SettlePeriod: planSettle,
			LoadRateFactor: settings.Decimal("planner", "excess"),
		},
		Keepers:  runs,
		Observer: n,
		Log:      log,
	})
	n.steward.Attach(n.porch, runs, n)
	h.farewell = newFarewell(farewellConfig{
		Stay:  stayAfterTerm,
		Limit: settings.Duration("process", "drain-limit") - closeMargin,
		Open:  n.steward.Open,
		Close: func() { n.tell(scheduler.Closing{}) },
	})
	h.add(h.farewell)
	h.add(n.porch.Services()...)
	h.add(n.steward.Duty())
	h.add(runs.Services()...)
	h.add(n.parley, n.planner.Duty())
	h.addHerald(settings, log)
	h.add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   trail.New(trail.Config{Instance: settings.Text("process", "instance")}),
		Rings:   append(n.porch.Rings(), n.steward.Inbox(), n.planner.Inbox(), n.parley.Inbox()),
	}))
	h.add(porter.NewDoor(porter.DoorConfig{
		Address:  n.self,
		Services: []porter.Service{{Name: notice.LobbyService, Receiver: parley.NewDesk(n.parley)}},
		Log:      log,
	}))
	return h
}

func (h *house) add(services ...crew.Service) {
	for _, service := range services {
		h.crew.Add(service)
	}
}

// addHerald adds the threads that follow the platform's store.
func (h *house) addHerald(settings *handbook.Values, log *logrus.Entry) {
	register := platform.NewRegister(platform.RegisterConfig{
		Store:  platform.NewStore(platform.StoreConfig{Address: settings.Address("platform", "store"), Timeout: settings.Duration("platform", "timeout")}),
		Missed: herald.ErrMissed,
		Log:    log,
	})
	config := herald.Config{Store: register, Board: h.news.board, Log: log}
	h.news.catchUp = herald.NewCatchUp(herald.CatchUpConfig{Store: register, Peers: h.news, Board: h.news.board, Log: log})
	h.add(h.news.catchUp)
	h.add(herald.NewCharters(config), herald.NewBackends(config), herald.NewLobbies(herald.LobbiesConfig{
		Self: h.news.self, Directory: register, Members: h.news.parley, Log: log,
	}))
}

func newSteward(settings *handbook.Values, log *logrus.Entry) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Core: scheduler.CoreConfig{
			Domain:     settings.Text("process", "domain"),
			MinLobbies: peers,
			Limiter:    ratelimit.New(ratelimit.Config{PeerTimeout: peerSilence, PeerExpiry: peerAbsence, InitialLobbies: peers, InitialFill: startQuota, StartTime: time.Now()}),
			RetryBudget: scheduler.RetryBudgetConfig{
				Ratio:  settings.Decimal("retries", "ratio"),
				Extra:  float64(settings.Integer("retries", "extra")),
				Window: settings.Duration("retries", "window"),
			},
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Capacity: settings.Integer("steward", "inbox"),
		Log:      log,
	})
}

func newPorch(settings *handbook.Values, s *scheduler.Scheduler, log *logrus.Entry) *porch.Porch {
	return porch.New(porch.Config{
		Front:     settings.Address("porch", "listen"),
		Probe:     settings.Address("porch", "probe"),
		ReadyPath: platform.ReadyPath,
		Capacity:  settings.Integer("steward", "inbox"),
		Dialers:   settings.Integer("porch", "dialers"),
		Codec:     platform.Heads{},
		Dial:      platform.Dial,
		Steward:   s.Inbox(),
		Readiness: s,
		Log:       log,
	})
}

// newLines returns the lines to keepers and lobbies.
func newLines() func(address string) errands.Line {
	all := porter.NewLines(newLine)
	return func(address string) errands.Line { return all.To(address) }
}

func newLine(address string) *porter.Line {
	return porter.NewLine(porter.LineConfig{Address: address, DialTimeout: dialLimit})
}

// Serve runs the tree until ctx ends.
func (h *house) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Ready returns nil while the lobby takes callers' connections.
func (h *house) Ready() error {
	if h.news.steward.Ready() {
		return nil
	}
	return errors.New("no configuration or list of backend servers yet, or about to stop")
}

// Status returns what the operators' status page shows.
func (h *house) Status() any {
	return status{Configuration: h.news.board.Version(), Open: h.news.steward.Open()}
}

// status is the JSON form of the status page.
type status struct {
	Configuration int64 `json:"configuration"`
	Open          int   `json:"open"`
}

// Drain ends each connection with its next answer; the returned channel is
// closed when no request is open.
func (h *house) Drain(ctx context.Context) (<-chan struct{}, error) {
	h.news.porch.Drain(time.Now())
	if err := h.news.steward.Inbox().PutWithin(ctx, scheduler.Draining{}, drainHandOver); err != nil {
		return nil, err
	}
	return h.farewell.begin(time.Now())
}
