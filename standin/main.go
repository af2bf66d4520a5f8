// Command sesamewell-standin takes the place of the platform and of backend
// servers in tests and in the demo.
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
	"sesamewell.example/standin/guide"
	"sesamewell.example/standin/logkeeper"
	"sesamewell.example/standin/rollcall"
	"sesamewell.example/standin/stage"
	"sesamewell.example/standin/stall"
	"sesamewell.example/standin/storeroom"
)

// Named limits of the stand-ins.
const (
	spansKept   = 4096            // spans that an engine keeps
	stopLimit   = 5 * time.Second // longest time that a stop may take
	idlePeriod  = 50 * time.Millisecond
	loadPeriod  = 5 * time.Millisecond
	exitCrashed = 3 // exit code of an engine that crashes on a marked request
)

func main() {
	var args options
	parser := arg.MustParse(&args)
	config, ok := choose(args)
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
	os.Exit(supervisor.Run(supervisor.RunConfig{Root: stage.New(config), DrainLimit: stopLimit, Log: logrus.NewEntry(log.Logger)}))
}

// choose returns the stage of the stand-in that was asked for.
func choose(args options) (stage.Config, bool) {
	switch {
	case args.Engine != nil:
		traces := tracing.New(tracing.Config{Instance: args.Engine.Name, Capacity: spansKept, Sampling: 100})
		loader := guide.NewLoader(guide.LoaderConfig{Store: args.Engine.Store})
		engine := guide.New(guide.Config{Step: args.Engine.Step, Marker: args.Engine.CrashOn, Crash: func() { os.Exit(exitCrashed) }, Trail: traces, Orders: guide.OrdersConfig{
			Memory: args.Engine.Memory, Fencing: args.Engine.Fencing, Preload: args.Engine.Preload, Loader: loader,
		}})
		return stage.Config{Name: args.Engine.Name, Address: args.Engine.Listen, Handler: engine, Period: args.Engine.Step, Helpers: loader.Services()}, true
	case args.Service != nil:
		return stage.Config{Name: args.Service.Name, Address: args.Service.Listen, Handler: stall.New(), Period: idlePeriod}, true
	case args.Store != nil:
		store := storeroom.New(storeroom.Config{
			Rate: args.Store.Rate, Concurrent: args.Store.Concurrent, Length: args.Store.Length,
			Adapters: args.Store.Adapters, AdapterTime: args.Store.AdapterTime,
		})
		return stage.Config{Name: "store", Address: args.Store.Listen, Handler: store, Period: loadPeriod}, true
	case args.Log != nil:
		return stage.Config{Name: "log", Address: args.Log.Listen, Handler: logkeeper.New(), Period: idlePeriod}, true
	case args.List != nil:
		list := rollcall.New(rollcall.Config{Lag: args.List.Lag})
		return stage.Config{Name: "list", Address: args.List.Listen, Handler: list, Period: idlePeriod}, true
	default:
		return stage.Config{}, false
	}
}
