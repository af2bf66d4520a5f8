package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/admin"
	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/keeper/loader"
	"sesamewell.example/platform"
)

// process is the supervision tree of the keeper, with the names that supervision
// events carry:
//
//	keeper
//	├── lantern (operators' pages, package admin)
//	├── warden  (decisions on loads, package loader)
//	├── clerk   (calls to the backend server, package loader)
//	└── door    (calls from lobbies, package peerrpc)
type process struct {
	supervisor *supervisor.Supervisor
}

func newProcess(settings *inifile.Values, log *logrus.Entry) *process {
	supervisor.LimitMemory(settings.Bytes("process", "memory"))
	p := &process{supervisor: supervisor.New(supervisor.Config{Name: "keeper", Log: log})}
	l := loader.New(loader.Config{
		Core: loader.CoreConfig{
			PollPeriod:      settings.Duration("engine", "look"),
			FetchPollPeriod: settings.Duration("engine", "watch"),
			AdapterLease:    settings.Duration("engine", "lease"),
			FetchTimeout:    settings.Duration("engine", "patience"),
			PlannerTimeout:  settings.Duration("engine", "silence"),
			MaxOrderDelay:   settings.Duration("engine", "longest-delay"),
		},
		Engine: platform.NewEngineClient(platform.EngineClientConfig{
			Address: settings.Address("engine", "address"),
			Holder:  settings.Text("process", "instance"),
			Timeout: settings.Duration("engine", "timeout"),
		}),
		Log: log,
	})
	for _, service := range l.Services() {
		p.supervisor.Add(service)
	}
	p.supervisor.Add(admin.New(admin.Config{
		Address: settings.Address("process", "operator"),
		Log:     log,
		Status:  p,
		Tracer:  tracing.New(tracing.Config{Instance: settings.Text("process", "instance")}),
		Rings:   []*ring.Ring{l.Inbox()},
	}))
	p.supervisor.Add(peerrpc.NewServer(peerrpc.ServerConfig{
		Address:  settings.Address("door", "listen"),
		Services: []peerrpc.Service{{Name: protocol.KeeperService, Receiver: loader.NewRPCServer(l)}},
		Log:      log,
	}))
	return p
}

// Serve runs the supervision tree until ctx ends.
func (p *process) Serve(ctx context.Context) error { return p.supervisor.Serve(ctx) }

// Ready returns nil: a keeper serves no callers, so it is always ready.
func (p *process) Ready() error { return nil }

// Status returns the content of the operators' status page, which is empty.
func (p *process) Status() any { return struct{}{} }

// Drain returns a closed channel: there is nothing to wait for, since the engine
// keeps its models and adapters.
func (p *process) Drain(context.Context) (<-chan struct{}, error) {
	done := make(chan struct{})
	close(done)
	return done, nil
}
