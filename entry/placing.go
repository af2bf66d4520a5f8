package main

import (
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/scribe"
	"sesamewell.example/entry/pitch"
)

// newScribe returns the thread that appends the planner's records to the log.
func newScribe(settings *handbook.Values, service *logbook.Client, log *logrus.Entry) *scribe.Scribe {
	return scribe.New(scribe.Config{Service: service, Capacity: settings.Integer("planner", "inbox"), Log: log})
}

// newPitch returns the placement planner, which plans while this entry holds
// the planner's claim.
func newPitch(settings *handbook.Values, identity *porter.Identity, scribe pitch.Scribe, log *logrus.Entry) *pitch.Pitch {
	timeout := settings.Duration("planner", "timeout")
	lines := porter.NewLines(func(address string) *porter.Line {
		return porter.NewLine(porter.LineConfig{Address: address, DialTimeout: timeout, Identity: identity})
	})
	return pitch.New(pitch.Config{
		Core: pitch.CoreConfig{
			Instance:  settings.Text("process", "instance"),
			Takeover:  settings.Duration("planner", "takeover"),
			Silence:   settings.Duration("planner", "silence"),
			Absence:   settings.Duration("planner", "absence"),
			Period:    settings.Duration("planner", "period"),
			Idle:      settings.Duration("planner", "idle"),
			Retry:     settings.Duration("planner", "retry"),
			Average:   settings.Duration("planner", "average"),
			LoadLimit: settings.Duration("planner", "load-limit"),
		},
		Capacity: settings.Integer("planner", "inbox"),
		Threads:  settings.Integer("planner", "threads"),
		Timeout:  timeout,
		Line:     func(address string) pitch.Line { return lines.To(address) },
		Scribe:   scribe,
		Log:      log,
	})
}
