package main

import (
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/scribe"
	"sesamewell.example/side/hall"
)

// newScribe returns the thread that appends the side's records to the log.
func newScribe(settings *handbook.Values, log *logrus.Entry) *scribe.Scribe {
	return scribe.New(scribe.Config{
		Service: logbook.New(logbook.Config{
			Address: settings.Address("platform", "log"),
			Timeout: settings.Duration("platform", "log-timeout"),
		}),
		Capacity: settings.Integer("orders", "inbox"),
		Log:      log,
	})
}

// newHall returns the writer of the backend server's memory ledger.
func newHall(settings *handbook.Values, proof hall.Proof, scribe hall.Scribe, log *logrus.Entry) *hall.Hall {
	return hall.New(hall.Config{
		Core: hall.CoreConfig{
			Backend:     settings.Text("backend", "name"),
			Incarnation: settings.Text("process", "instance") + "/" + uuid.NewString(),
			Lease:       settings.Duration("platform", "freshness"),
			OrderDelay:  settings.Duration("orders", "longest-delay"),
			SendLimit:   settings.Duration("orders", "send-limit"),
			Retry:       settings.Duration("orders", "retry"),
			Period:      settings.Duration("orders", "report"),
			Grace:       settings.Duration("orders", "grace"),
			Linger:      settings.Duration("orders", "linger"),
			Settle:      settings.Duration("orders", "settle"),
			Loads:       settings.Integer("orders", "loads"),
		},
		Address:  settings.Address("backend", "address"),
		Timeout:  settings.Duration("orders", "timeout"),
		Capacity: settings.Integer("orders", "inbox"),
		Proof:    proof,
		Scribe:   scribe,
		Log:      log,
	})
}

// newLister returns the thread that brings the hall the platform's list.
func newLister(settings *handbook.Values, address string, inbox *ring.Ring, log *logrus.Entry) *hall.Lister {
	return hall.NewLister(hall.ListerConfig{
		Address: address,
		Period:  settings.Duration("orders", "list-period"),
		Timeout: settings.Duration("orders", "timeout"),
		Hall:    inbox,
		Log:     log,
	})
}
