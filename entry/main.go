// Command sesamewell-entry takes callers' requests.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"sesamewell.example/commons/chronicle"
	"sesamewell.example/commons/crew"
)

func main() {
	var args options
	arg.MustParse(&args)
	settings, err := loadSettings(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(crew.ExitUsage)
	}
	log, err := chronicle.New(chronicle.Config{
		Output:   os.Stderr,
		Level:    settings.Text("process", "log-level"),
		Program:  "sesamewell-entry",
		Instance: settings.Text("process", "instance"),
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(crew.ExitUsage)
	}
	root, err := newHouse(settings, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(crew.ExitUsage)
	}
	os.Exit(crew.Run(crew.RunConfig{
		Root:       root,
		DrainLimit: settings.Duration("process", "drain-limit"),
		Log:        log,
	}))
}
