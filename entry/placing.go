package main

import (
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/scribe"
	"sesamewell.example/entry/placement"
)

// newScribe returns the thread that appends the planner's records to the log.
func newAppender(settings *handbook.Values, service *logbook.Client, log *logrus.Entry) *scribe.Scribe {
	return scribe.New(scribe.Config{Service: service, Capacity: settings.Integer("planner", "inbox"), Log: log})
}

// newPitch returns the placement planner, which plans while this entry holds
// the planner's claim.
func newPlanner(settings *handbook.Values, identity *porter.Identity, scribe placement.Appender, log *logrus.Entry) *placement.Planner {
	timeout := settings.Duration("planner", "timeout")
	lines := porter.NewLines(func(address string) *porter.Line {
		return porter.NewLine(porter.LineConfig{Address: address, DialTimeout: timeout, Identity: identity})
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
		Capacity: settings.Integer("planner", "inbox"),
		Threads:  settings.Integer("planner", "threads"),
		Timeout:  timeout,
		Conn:     func(address string) placement.Conn { return lines.To(address) },
		Appender: scribe,
		Log:      log,
	})
}
