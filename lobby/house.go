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
	"sesamewell.example/lobby/broadcast"
	"sesamewell.example/lobby/discovery"
	"sesamewell.example/lobby/keeperclient"
	"sesamewell.example/lobby/placement"
	"sesamewell.example/lobby/proxy"
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
type process struct {
	crew     *crew.Crew
	mediator *mediator
	drainer  *drainer
}

func newProcess(settings *handbook.Values, log *logrus.Entry) *process {
	crew.LimitMemory(settings.Bytes("process", "memory"))
	n := &mediator{self: settings.Address("door", "listen"), incarnation: rand.Uint64(), log: log}
	h := &process{
		crew:     crew.New(crew.Config{Name: "lobby", Log: log}),
		mediator: n,
	}
	n.rpcClient = newRPCClients()
	n.state = discovery.NewState(discovery.StateConfig{Listener: n, Log: log})
	n.scheduler = newScheduler(settings, log)
	n.proxy = newProxy(settings, n.scheduler, log)
	runs := keeperclient.New(keeperclient.Config{
		Port:      strconv.Itoa(settings.Integer("keeper", "port")),
		RPCClient: n.rpcClient,
		Scheduler: n.scheduler.Inbox(),
		Capacity:  settings.Integer("steward", "inbox"),
		Threads:   settings.Integer("keeper", "threads"),
		Log:       log,
	})
	n.broadcaster = broadcast.New(broadcast.Config{
		Self:    n.self,
		Dial:    func(address string) broadcast.RPCClient { return newRPCClient(address) },
		Handler: n,
		Log:     log,
	})
	n.planner = placement.New(placement.Config{
		Core: placement.CoreConfig{
			Self: n.self, PeerTimeout: planPeerTimeout, SettlePeriod: planSettlePeriod,
			LoadRateFactor: settings.Decimal("planner", "excess"),
		},
		Keepers:  runs,
		Observer: n,
		Log:      log,
	})
	n.scheduler.Attach(n.proxy, runs, n)
	h.drainer = newDrainer(drainerConfig{
		AcceptPeriod: acceptPeriod,
		Timeout:      settings.Duration("process", "drain-limit") - closeMargin,
		Open:         n.scheduler.Open,
		Close:        func() { n.notifyScheduler(scheduler.Closing{}) },
	})
	h.add(h.drainer)
	h.add(n.proxy.Services()...)
	h.add(n.scheduler.Duty())
	h.add(runs.Services()...)
	h.add(n.broadcaster, n.planner.Duty())
	h.addDiscovery(settings, log)
	h.add(lantern.New(lantern.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  h,
		Trail:   trail.New(trail.Config{Instance: settings.Text("process", "instance")}),
		Rings:   append(n.proxy.Rings(), n.scheduler.Inbox(), n.planner.Inbox(), n.broadcaster.Inbox()),
	}))
	h.add(porter.NewDoor(porter.DoorConfig{
		Address:  n.self,
		Services: []porter.Service{{Name: notice.LobbyService, Receiver: broadcast.NewRPCServer(n.broadcaster)}},
		Log:      log,
	}))
	return h
}

func (h *process) add(services ...crew.Service) {
	for _, service := range services {
		h.crew.Add(service)
	}
}

// addHerald adds the threads that follow the platform's store.
func (h *process) addDiscovery(settings *handbook.Values, log *logrus.Entry) {
	register := platform.NewRegister(platform.RegisterConfig{
		Store:  platform.NewStore(platform.StoreConfig{Address: settings.Address("platform", "store"), Timeout: settings.Duration("platform", "timeout")}),
		Missed: discovery.ErrMissed,
		Log:    log,
	})
	config := discovery.WatcherConfig{Store: register, State: h.mediator.state, Log: log}
	h.mediator.refresher = discovery.NewRefresher(discovery.RefresherConfig{Store: register, Peers: h.mediator, State: h.mediator.state, Log: log})
	h.add(h.mediator.refresher)
	h.add(discovery.NewConfigurationWatcher(config), discovery.NewBackendWatcher(config), discovery.NewLobbyWatcher(discovery.LobbyWatcherConfig{
		Self: h.mediator.self, Directory: register, Peers: h.mediator.broadcaster, Log: log,
	}))
}

func newScheduler(settings *handbook.Values, log *logrus.Entry) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Core: scheduler.CoreConfig{
			Domain:     settings.Text("process", "domain"),
			MinLobbies: minLobbies,
			Limiter:    ratelimit.New(ratelimit.Config{PeerTimeout: peerTimeout, PeerExpiry: peerExpiry, InitialLobbies: minLobbies, InitialFill: initialFill, StartTime: time.Now()}),
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

func newProxy(settings *handbook.Values, s *scheduler.Scheduler, log *logrus.Entry) *proxy.Proxy {
	return proxy.New(proxy.Config{
		Listen:    settings.Address("porch", "listen"),
		Probe:     settings.Address("porch", "probe"),
		ReadyPath: platform.ReadyPath,
		Capacity:  settings.Integer("steward", "inbox"),
		Dialers:   settings.Integer("porch", "dialers"),
		Codec:     platform.Heads{},
		Dial:      platform.Dial,
		Scheduler: s.Inbox(),
		Readiness: s,
		Log:       log,
	})
}

// newLines returns the lines to keepers and lobbies.
func newRPCClients() func(address string) keeperclient.RPCClient {
	all := porter.NewLines(newRPCClient)
	return func(address string) keeperclient.RPCClient { return all.To(address) }
}

func newRPCClient(address string) *porter.Line {
	return porter.NewLine(porter.LineConfig{Address: address, DialTimeout: dialTimeout})
}

// Serve runs the tree until ctx ends.
func (h *process) Serve(ctx context.Context) error { return h.crew.Serve(ctx) }

// Ready returns nil while the lobby takes callers' connections.
func (h *process) Ready() error {
	if h.mediator.scheduler.Ready() {
		return nil
	}
	return errors.New("no configuration or list of backend servers yet, or about to stop")
}

// Status returns what the operators' status page shows.
func (h *process) Status() any {
	return status{Configuration: h.mediator.state.Version(), Open: h.mediator.scheduler.Open()}
}

// status is the JSON form of the status page.
type status struct {
	Configuration int64 `json:"configuration"`
	Open          int   `json:"open"`
}

// Drain ends each connection with its next answer; the returned channel is
// closed when no request is open.
func (h *process) Drain(ctx context.Context) (<-chan struct{}, error) {
	h.mediator.proxy.Drain(time.Now())
	if err := h.mediator.scheduler.Inbox().PutWithin(ctx, scheduler.Draining{}, drainPutTimeout); err != nil {
		return nil, err
	}
	return h.drainer.begin(time.Now())
}
