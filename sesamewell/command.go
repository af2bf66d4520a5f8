package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sesamewell.example/commons/handbook"
	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/register"
	"sesamewell.example/sesamewell/inspect"
	"sesamewell.example/sesamewell/publish"
)

// Exit codes beyond those that all programs share.
const (
	exitFaults     = 3 // the inventory has faults
	exitSuperseded = 4 // another change came first
	exitLagging    = 5 // in force, but not everywhere in time
)

// errLagging means that a revision is not in force everywhere in time.
var errLagging = errors.New("the revision is accepted, but not in force on every instance yet")

// run carries out the command that was asked for.
func run(out io.Writer, args options) error {
	switch {
	case args.Check != nil:
		return check(out, args.Check.Inventory)
	case args.Apply != nil:
		return apply(out, args)
	case args.Key != nil && args.Key.Hash != nil:
		sum := sha256.Sum256([]byte(args.Key.Hash.Key))
		fmt.Fprintln(out, hex.EncodeToString(sum[:]))
		return nil
	case args.Trace != nil:
		spans, err := inspect.Spans(args.Trace.ID, args.Trace.Operators)
		inspect.PrintTree(out, spans)
		return err
	case args.Explain != nil:
		return explain(out, args)
	case args.Settings != nil:
		printSettings(out)
		return nil
	default:
		return errUsage
	}
}

// errUsage means that the arguments name no command.
var errUsage = errors.New("name a command; --help lists them")

// exitCode returns the process's exit code for an error.
func exitCode(err error) int {
	var faults *handbook.Faults
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

func readInventory(path string) (*register.Inventory, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read inventory")
	}
	return register.Parse(path, text)
}

func apply(out io.Writer, args options) error {
	inventory, err := readInventory(args.Apply.Inventory)
	if err != nil {
		return err
	}
	publisher := publish.New(logbook.New(logbook.Config{Address: args.Log, Timeout: args.Timeout}))
	if err := publisher.Refresh(); err != nil {
		return err
	}
	revision, err := publisher.Replace(uuid.NewString(), inventory)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d accepted\n", revision)
	return await(out, revision, args.Apply.Operators, time.Now().Add(args.Timeout))
}

// await polls the instances until all have the revision in force.
func await(out io.Writer, revision int64, addresses []string, deadline time.Time) error {
	for _, address := range addresses {
		for {
			got, err := inspect.Revision(address)
			if err == nil && got >= revision {
				break
			}
			if time.Now().After(deadline) {
				return errors.Wrapf(errLagging, "%s", address)
			}
			time.Sleep(pollPause)
		}
	}
	if len(addresses) > 0 {
		fmt.Fprintf(out, "revision %d in force on %d instances\n", revision, len(addresses))
	}
	return nil
}

// pollPause is the time between two looks at an instance.
const pollPause = 50 * time.Millisecond

func printSettings(out io.Writer) {
	tables := []struct {
		program  string
		settings []handbook.Setting
	}{
		{"sesamewell-entry", handbook.EntryOptions()},
		{"sesamewell-side", handbook.SideOptions()},
	}
	fmt.Fprint(out, "# Settings\n\nMade by `make settings`; each program reads one file in INI form.\n\n")
	for _, table := range tables {
		fmt.Fprintf(out, "## %s\n\n| section | key | form | default | range | meaning |\n| --- | --- | --- | --- | --- | --- |\n", table.program)
		for _, s := range table.settings {
			fallback := s.Default()
			if fallback == "" {
				fallback = "none"
			}
			fmt.Fprintf(out, "| %s | %s | %s | %s | %s | %s |\n", s.Section(), s.Key(), s.Unit(), fallback, s.Range(), s.Doc())
		}
		fmt.Fprintln(out)
	}
}
