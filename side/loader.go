package main

import (
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/inifile"
	"sesamewell.example/commons/logappender"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/ring"
	"sesamewell.example/side/loader"
)

// newAppender returns the thread that appends the side's records to the log.
func newAppender(settings *inifile.Values, log *logrus.Entry) *logappender.Appender {
	return logappender.New(logappender.Config{
		LogService: logclient.New(logclient.Config{
			Address: settings.Address("platform", "log"),
			Timeout: settings.Duration("platform", "log-timeout"),
		}),
		Capacity: settings.Integer("orders", "inbox"),
		Log:      log,
	})
}

// newLoader returns the loader, which loads and unloads the backend server's
// models and adapters and accounts for its memory.
func newLoader(settings *inifile.Values, proof loader.FreshnessProof, appender loader.Appender, log *logrus.Entry) *loader.Loader {
	return loader.New(loader.Config{
		Core: loader.CoreConfig{
			Backend:       settings.Text("backend", "name"),
			Incarnation:   settings.Text("process", "instance") + "/" + uuid.NewString(),
			ClaimLease:    settings.Duration("platform", "freshness"),
			MaxOrderDelay: settings.Duration("orders", "longest-delay"),
			OrderTTL:      settings.Duration("orders", "send-limit"),
			RetryDelay:    settings.Duration("orders", "retry"),
			PollPeriod:    settings.Duration("orders", "report"),
			AdoptionDelay: settings.Duration("orders", "grace"),
			IdleRetention: settings.Duration("orders", "linger"),
			UnloadDelay:   settings.Duration("orders", "settle"),
			MaxModelLoads: settings.Integer("orders", "loads"),
		},
		Address:  settings.Address("backend", "address"),
		Timeout:  settings.Duration("orders", "timeout"),
		Capacity: settings.Integer("orders", "inbox"),
		Proof:    proof,
		Appender: appender,
		Log:      log,
	})
}

// newListPoller returns the thread that passes the platform's list of instances to
// the loader's inbox.
func newListPoller(settings *inifile.Values, address string, inbox *ring.Ring, log *logrus.Entry) *loader.ListPoller {
	return loader.NewListPoller(loader.ListPollerConfig{
		Address: address,
		Period:  settings.Duration("orders", "list-period"),
		Timeout: settings.Duration("orders", "timeout"),
		Inbox:   inbox,
		Log:     log,
	})
}
