package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/inifile"
	"sesamewell.example/sesamewell/inspect"
	"sesamewell.example/sesamewell/publish"
)

// Exit codes in addition to those of all programs.
const (
	exitFaults     = 3 // the inventory has faults
	exitSuperseded = 4 // another change was accepted first
	exitLagging    = 5 // in force, but not on every instance in time
)

// run runs the command that the arguments select.
func run(out io.Writer, args options) error {
	switch {
	case args.Check != nil:
		return check(out, args.Check.Inventory)
	case args.Apply != nil:
		return apply(out, args)
	case args.Diff != nil:
		return diff(out, args)
	case args.Status != nil:
		return status(out, args)
	case args.Drain != nil:
		return drain(out, args)
	case args.Evacuate != nil:
		return evacuate(out, args)
	case args.Key != nil && args.Key.Grant != nil:
		return grant(out, args)
	case args.Key != nil && args.Key.Withdraw != nil:
		return withdraw(out, args)
	case args.Key != nil && args.Key.Hash != nil:
		fmt.Fprintln(out, fleetstate.HashKey(args.Key.Hash.Key))
		return nil
	case args.Trace != nil:
		spans, err := inspect.Spans(args.Trace.ID, args.Trace.Operators)
		inspect.PrintTree(out, spans)
		return err
	case args.Explain != nil && args.Explain.Subject == routeSubject:
		return explainRoute(out, *args.Explain)
	case args.Explain != nil && args.Explain.describesRequest():
		return errors.Mark(errors.New("a request is described for `explain route` only"), errUsage)
	case args.Explain != nil:
		return explain(out, args)
	case args.Settings != nil:
		printSettings(out)
		return nil
	default:
		return errUsage
	}
}

// errUsage means that the arguments select no command.
var errUsage = errors.New("name a command; --help lists them")

// exitCode returns the exit code of the process for an error.
func exitCode(err error) int {
	var faults *inifile.Faults
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		return 2
	case errors.As(err, &faults):
		return exitFaults
	case errors.Is(err, publish.ErrSuperseded):
		return exitSuperseded
	case errors.Is(err, errLagging):
		return exitLagging
	default:
		return 1
	}
}

func check(out io.Writer, path string) error {
	inventory, err := readInventory(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: no faults; %d instances, %d backend servers, %d models, %d adapters, %d tenants\n", path,
		len(inventory.Instances()), len(inventory.Backends()), len(inventory.Models()), len(inventory.Adapters()), len(inventory.Tenants()))
	return nil
}

func readInventory(path string) (*fleetstate.Inventory, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read inventory")
	}
	return fleetstate.CheckInventory(path, text)
}

func printSettings(out io.Writer) {
	tables := []struct {
		program  string
		settings []inifile.Setting
	}{
		{"sesamewell-entry", inifile.EntrySettings()},
		{"sesamewell-side", inifile.SideSettings()},
		{"sesamewell-lobby", inifile.LobbySettings()},
		{"sesamewell-keeper", inifile.KeeperSettings()},
	}
	fmt.Fprint(out, "# Settings\n\nMade by `make settings`; each program reads one file in INI form.\n\n")
	for _, table := range tables {
		fmt.Fprintf(out, "## %s\n\n| section | key | form | default | range | meaning |\n| --- | --- | --- | --- | --- | --- |\n", table.program)
		for _, s := range table.settings {
			defaultText := s.Default()
			if defaultText == "" {
				defaultText = "none"
			}
			fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s |\n", s.Section(), s.Key(), s.Form(), defaultText, s.Range(), s.Doc())
		}
		fmt.Fprintln(out)
	}
}
