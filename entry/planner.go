package main

import (
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/logappender"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/entry/placement"
)

// newAppender returns the thread that appends records to the log for the planner,
// the limiter and the quarantine.
func newAppender(settings *inifile.Values, logService *logclient.Client, log *logrus.Entry) *logappender.Appender {
	return logappender.New(logappender.Config{LogService: logService, Capacity: settings.Integer("planner", "inbox"), Log: log})
}

// newPlanner returns the placement planner, which only plans while this entry
// holds the planner's claim.
func newPlanner(settings *inifile.Values, identity *peerrpc.Identity, appender placement.Appender, log *logrus.Entry) *placement.Planner {
	timeout := settings.Duration("planner", "timeout")
	pool := peerrpc.NewClients(func(address string) *peerrpc.Client {
		return peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: timeout, Identity: identity})
	})
	return placement.New(placement.Config{
		Core: placement.CoreConfig{
			Instance:        settings.Text("process", "instance"),
			TakeoverTimeout: settings.Duration("planner", "takeover"),
			BackendTimeout:  settings.Duration("planner", "silence"),
			BackendExpiry:   settings.Duration("planner", "absence"),
			Period:          settings.Duration("planner", "period"),
			IdlePollPeriod:  settings.Duration("planner", "idle"),
			RetryDelay:      settings.Duration("planner", "retry"),
			DemandWindow:    settings.Duration("planner", "average"),
			LoadTimeout:     settings.Duration("planner", "load-limit"),
		},
		Capacity:  settings.Integer("planner", "inbox"),
		Threads:   settings.Integer("planner", "threads"),
		Timeout:   timeout,
		RPCClient: func(address string) placement.RPCClient { return pool.For(address) },
		Appender:  appender,
		Log:       log,
	})
}
