// Command sesamewell-standin runs simulated platform services and backend
// servers for tests and for the demo.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/logging"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/standin/bookingservice"
	"sesamewell.example/standin/engine"
	"sesamewell.example/standin/instancelist"
	"sesamewell.example/standin/logservice"
	"sesamewell.example/standin/server"
	"sesamewell.example/standin/weightstore"
)

// Limits and periods of the stand-ins.
const (
	maxSpans    = 4096                  // number of spans that an engine keeps
	drainLimit  = 5 * time.Second       // longest time that a drain waits for open work
	idleTick    = 50 * time.Millisecond // tick period of the service, the log and the list
	storeTick   = 5 * time.Millisecond  // tick period of the weight store
	exitCrashed = 3                     // exit code of an engine that crashes on a request with the marker
)

func main() {
	var args options
	parser := arg.MustParse(&args)
	config, ok := newServerConfig(args)
	if !ok {
		parser.WriteHelp(os.Stderr)
		os.Exit(supervisor.ExitUsage)
	}
	log, err := logging.New(logging.Config{Output: os.Stderr, Level: "info", Program: "sesamewell-standin", Instance: config.Name})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(supervisor.ExitUsage)
	}
	config.Log = log
	os.Exit(supervisor.Run(supervisor.RunConfig{Root: server.New(config), DrainLimit: drainLimit, Log: logrus.NewEntry(log.Logger)}))
}

// newServerConfig returns the server configuration of the stand-in that the
// subcommand selects, and false if there is no subcommand.
func newServerConfig(args options) (server.Config, bool) {
	switch {
	case args.Engine != nil:
		tracer := tracing.New(tracing.Config{Instance: args.Engine.Name, Capacity: maxSpans, Sampling: 100})
		fetcher := engine.NewFetcher(engine.FetcherConfig{Store: args.Engine.Store})
		handler := engine.New(engine.Config{Step: args.Engine.Step, CrashMarker: args.Engine.CrashOn, Crash: func() { os.Exit(exitCrashed) }, Tracer: tracer, Orders: engine.OrderHandlerConfig{
			Memory: args.Engine.Memory, Fencing: args.Engine.Fencing, Preload: args.Engine.Preload, Fetcher: fetcher,
		}})
		return server.Config{Name: args.Engine.Name, Address: args.Engine.Listen, Handler: handler, Period: args.Engine.Step, Services: fetcher.Services()}, true
	case args.Service != nil:
		return server.Config{Name: args.Service.Name, Address: args.Service.Listen, Handler: bookingservice.New(), Period: idleTick}, true
	case args.Store != nil:
		store := weightstore.New(weightstore.Config{
			Rate: args.Store.Rate, Concurrent: args.Store.Concurrent, LoadTime: args.Store.Length,
			ConcurrentAdapters: args.Store.Adapters, AdapterLoadTime: args.Store.AdapterTime,
		})
		return server.Config{Name: "store", Address: args.Store.Listen, Handler: store, Period: storeTick}, true
	case args.Log != nil:
		return server.Config{Name: "log", Address: args.Log.Listen, Handler: logservice.New(), Period: idleTick}, true
	case args.List != nil:
		list := instancelist.New(instancelist.Config{Lag: args.List.Lag})
		return server.Config{Name: "list", Address: args.List.Listen, Handler: list, Period: idleTick}, true
	default:
		return server.Config{}, false
	}
}
