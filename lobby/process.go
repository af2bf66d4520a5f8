package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/admin"
	"sesamewell.example/commons/descriptors"
	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/lobby/broadcast"
	"sesamewell.example/lobby/discovery"
	"sesamewell.example/lobby/keeperclient"
	"sesamewell.example/lobby/placement"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/quarantine"
	"sesamewell.example/lobby/ratelimit"
	"sesamewell.example/lobby/resumption"
	"sesamewell.example/lobby/scheduler"
	"sesamewell.example/platform"
)

// process is the supervision tree of the lobby, with the names that supervision
// events carry:
//
//	lobby
//	├── lantern  (operators' pages, package admin)
//	├── farewell (end of a drain)
//	├── porch    (connections of callers and to backend servers, package proxy)
//	├── dialer   (new connections to backend servers, several threads)
//	├── confirmer (ends of backend servers, package proxy, several threads)
//	├── steward  (decisions on requests, package scheduler)
//	├── fetches  (calls to keepers for adapters, package keeperclient, several threads)
//	├── assigns  (calls to keepers with assignments, package keeperclient, several threads)
//	├── planner  (placement of models, package placement)
//	├── demand   (saved demand for models, package placement)
//	├── streams  (software versions at which streams began, package resumption)
//	├── suspects (saved evidence against crashing requests, package quarantine)
//	├── parley   (calls to other lobbies, package broadcast, one thread for each)
//	├── door     (calls from other lobbies, package peerrpc)
//	├── catch up (reads of configurations that another lobby has first, package discovery)
//	├── charters (the operator's configuration, package discovery)
//	├── backends (list of backend servers, package discovery)
//	└── lobbies  (list of lobbies, package discovery)
type process struct {
	supervisor *supervisor.Supervisor
	mediator   *mediator
	drainer    *drainer
}

func newProcess(settings *inifile.Values, log *logrus.Entry) (*process, error) {
	supervisor.LimitMemory(settings.Bytes("process", "memory"))
	m := &mediator{self: settings.Address("door", "listen"), domain: settings.Text("process", "domain"), incarnation: rand.Uint64(), started: time.Now(), log: log}
	p := &process{
		supervisor: supervisor.New(supervisor.Config{Name: "lobby", Log: log}),
		mediator:   m,
	}
	m.rpcClient = newRPCClients()
	m.state = discovery.NewState(discovery.StateConfig{Listener: m, Log: log})
	registry := newRegistry(settings, log)
	recorder := quarantine.NewRecorder(quarantine.RecorderConfig{Self: m.self, Store: registry, Observer: m, Log: log})
	m.scheduler = newScheduler(settings, recorder, log)
	var err error
	if m.proxy, err = newProxy(settings, m.scheduler, log); err != nil {
		return nil, err
	}
	keepers := newKeeperClient(settings, m, log)
	m.broadcaster = broadcast.New(broadcast.Config{
		Self:    m.self,
		Domain:  m.domain,
		Dial:    func(address string) broadcast.RPCClient { return newRPCClient(address) },
		Handler: m,
		Log:     log,
	})
	m.planner = newPlanner(settings, m, keepers, registry, log)
	journal := resumption.NewJournal(resumption.JournalConfig{Self: m.self, Store: registry, Observer: m, MissedErr: discovery.ErrMissed, Log: log})
	m.scheduler.Attach(m.proxy, keepers, m, journal)
	p.drainer = newDrainer(drainerConfig{
		MinDuration: stopSchedule(settings).AcceptPeriod() + refusalMargin,
		Open:        m.proxy.Open,
	})
	p.add(p.drainer)
	p.add(m.proxy.Services()...)
	p.add(m.scheduler.EventLoop(), recorder.EventLoop())
	p.add(keepers.Services()...)
	p.add(m.broadcaster)
	p.add(m.planner.Services()...)
	p.add(journal)
	p.addDiscovery(settings, registry, log)
	p.addServers(settings, log)
	return p, nil
}

func (p *process) add(services ...supervisor.Service) {
	for _, service := range services {
		p.supervisor.Add(service)
	}
}

// addDiscovery adds the threads that watch the platform's store.
func (p *process) addDiscovery(settings *inifile.Values, registry platform.Registry, log *logrus.Entry) {
	config := discovery.WatcherConfig{
		Store: registry, State: p.mediator.state, Log: log,
		Incarnation: p.mediator.incarnation, Started: p.mediator.started,
		DrainTime: settings.Duration("platform", "drain"), ContactTime: settings.Duration("platform", "contact"), RequestTimeout: settings.Duration("platform", "timeout"),
	}
	p.mediator.refresher = discovery.NewRefresher(discovery.RefresherConfig{Store: registry, Peers: p.mediator, State: p.mediator.state, Log: log})
	p.add(p.mediator.refresher)
	p.mediator.watcher = discovery.NewBackendWatcher(config, p.mediator.broadcaster)
	p.mediator.lobbies = discovery.NewLobbyWatcher(discovery.LobbyWatcherConfig{
		Self: p.mediator.self, Directory: registry, Peers: p.mediator.broadcaster, Observer: p.mediator, Log: log,
	})
	p.add(discovery.NewConfigurationWatcher(config), p.mediator.watcher, p.mediator.lobbies)
}

// addServers adds the threads that serve operators and the other lobbies.
func (p *process) addServers(settings *inifile.Values, log *logrus.Entry) {
	m := p.mediator
	p.add(admin.New(admin.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  p,
		Tracer:  tracing.New(tracing.Config{Instance: settings.Text("process", "instance")}),
		Pages:   map[string]admin.Page{admin.RoutePath: routePage{scheduler: m.scheduler.Inbox()}},
		Rings:   append(m.proxy.Rings(), m.scheduler.Inbox(), m.planner.Inbox(), m.broadcaster.Inbox()),
	}))
	p.add(peerrpc.NewServer(peerrpc.ServerConfig{
		Address:  m.self,
		Services: []peerrpc.Service{{Name: protocol.LobbyService, Receiver: broadcast.NewRPCServer(m.broadcaster)}},
		Log:      log,
	}))
}

func newKeeperClient(settings *inifile.Values, m *mediator, log *logrus.Entry) *keeperclient.Client {
	return keeperclient.New(keeperclient.Config{
		Port:      strconv.Itoa(settings.Integer("keeper", "port")),
		RPCClient: m.rpcClient,
		Scheduler: m.scheduler.Inbox(),
		Capacity:  settings.Integer("steward", "inbox"),
		Threads:   settings.Integer("keeper", "threads"),
		Log:       log,
	})
}

func newPlanner(settings *inifile.Values, m *mediator, keepers *keeperclient.Client, registry platform.Registry, log *logrus.Entry) *placement.Planner {
	return placement.New(placement.Config{
		Core: placement.CoreConfig{
			Self: m.self, PeerTimeout: planPeerTimeout, SettlePeriod: planSettlePeriod,
			LoadRateFactor: settings.Decimal("planner", "excess"), Regions: settings.Table("regions", "DOMAIN"),
		},
		Keepers:  keepers,
		Observer: m,
		Store:    registry,
		Log:      log,
	})
}

func newRegistry(settings *inifile.Values, log *logrus.Entry) platform.Registry {
	return platform.NewRegistry(platform.RegistryConfig{
		Store:     platform.NewStore(platform.StoreConfig{Address: settings.Address("platform", "store"), Timeout: settings.Duration("platform", "timeout")}),
		MissedErr: discovery.ErrMissed,
		Log:       log,
	})
}

func newScheduler(settings *inifile.Values, recorder *quarantine.Recorder, log *logrus.Entry) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Core: scheduler.CoreConfig{
			Domain:     settings.Text("process", "domain"),
			Regions:    settings.Table("regions", "DOMAIN"),
			MinLobbies: minLobbies,
			Stop:       stopSchedule(settings),
			Cold:       scheduler.ColdConfig{Self: settings.Address("door", "listen"), Overshoot: settings.Decimal("cold", "overshoot"), Slack: settings.Decimal("cold", "slack")},
			Limiter:    ratelimit.New(ratelimit.Config{PeerTimeout: peerTimeout, PeerExpiry: peerExpiry, LeaveTime: stopSchedule(settings).AcceptPeriod() + leaveMargin, InitialLobbies: minLobbies, InitialFill: initialFill, DiscoveryTime: discoveryTime, StartTime: time.Now()}),
			Streams:    resumption.New(),
			Quarantine: quarantine.NewCore(quarantine.CoreConfig{Self: settings.Address("door", "listen"), Lifetime: settings.Duration("suspects", "remember")}),
			RetryBudget: scheduler.RetryBudgetConfig{
				Ratio:  settings.Decimal("retries", "ratio"),
				Extra:  settings.Decimal("retries", "extra"),
				Window: settings.Duration("retries", "window"),
			},
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Capacity: settings.Integer("steward", "inbox"),
		Suspects: recorder,
		Log:      log,
	})
}

func newProxy(settings *inifile.Values, s *scheduler.Scheduler, log *logrus.Entry) (*proxy.Proxy, error) {
	limit, err := descriptors.Limit(settings.Integer("process", "descriptors"))
	if err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"event": "limits", "descriptors": limit}).Info("limit on open files read")
	account := memory.NewBudget(settings.Bytes("process", "memory"))
	account.Export(log)
	return proxy.New(proxy.Config{
		Listen:       settings.Address("porch", "listen"),
		Probe:        settings.Address("porch", "probe"),
		ReadyPath:    platform.ReadyPath,
		Capacity:     settings.Integer("steward", "inbox"),
		Dialers:      settings.Integer("porch", "dialers"),
		Descriptors:  limit,
		StallTimeout: stallTimeout,
		AcceptPeriod: stopSchedule(settings).AcceptPeriod(),
		MinUpload:    settings.Bytes("porch", "min-upload"),
		Memory:       account,
		Codec:        platform.HeaderCodec{},
		Dial:         platform.Dial,
		Scheduler:    s.Inbox(),
		Readiness:    s,
		Log:          log,
	}), nil
}

// stopSchedule returns the schedule of a planned stop.
func stopSchedule(settings *inifile.Values) supervisor.StopSchedule {
	return supervisor.NewStopSchedule(settings.Duration("process", "drain-limit"))
}

// newRPCClients returns a function that returns the client for an address. The
// clients of keepers and lobbies are shared.
func newRPCClients() func(address string) keeperclient.RPCClient {
	pool := peerrpc.NewClients(newRPCClient)
	return func(address string) keeperclient.RPCClient { return pool.For(address) }
}

func newRPCClient(address string) *peerrpc.Client {
	return peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: dialTimeout})
}

// Serve runs the supervision tree until ctx ends.
func (p *process) Serve(ctx context.Context) error { return p.supervisor.Serve(ctx) }

// Ready returns nil while the lobby accepts callers' connections.
func (p *process) Ready() error {
	if p.mediator.scheduler.Ready() {
		return nil
	}
	return errors.New("no configuration or list of backend servers yet, or about to stop")
}

// Status returns the content of the operators' status page.
func (p *process) Status() any {
	return status{Configuration: p.mediator.state.Version(), Open: p.mediator.scheduler.Open()}
}

// status is the JSON form of the status page.
type status struct {
	Configuration int64 `json:"configuration"`
	Open          int   `json:"open"`
}

// Close ends all open requests with an answer.
func (p *process) Close() { p.mediator.notifyScheduler(scheduler.Closing{}) }

// Pending returns the number of callers who are owed an answer although their request is
// not open.
func (p *process) Pending() int { return p.mediator.proxy.Pending() }

// Drain closes each caller's connection after its next answer. The returned
// channel is closed when no request is open.
func (p *process) Drain(ctx context.Context) (<-chan struct{}, error) {
	now := time.Now()
	p.mediator.proxy.Drain(now)
	if err := p.mediator.scheduler.Inbox().PutWithin(ctx, scheduler.NewDrain(now), drainPutTimeout); err != nil {
		return nil, err
	}
	return p.drainer.begin(now)
}
