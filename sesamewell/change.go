package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/sesamewell/publish"
)

// errNoSection means that the inventory in force lacks the section.
var errNoSection = errors.New("the inventory in force does not describe it; see sesamewell diff")

// errNoDomain means that no instance of the inventory in force belongs to a failure domain.
var errNoDomain = errors.New("no instance belongs to this failure domain; see sesamewell status")

// newPublisher returns a publisher that has read the log.
func newPublisher(args options) (*publish.Publisher, error) {
	publisher := publish.New(logclient.New(logclient.Config{Address: args.Log, Timeout: args.Timeout}))
	return publisher, publisher.Refresh()
}

// apply publishes the changes that turn the inventory in force into the given one.
func apply(out io.Writer, args options) error {
	inventory, err := readInventory(args.Apply.Inventory)
	if err != nil {
		return err
	}
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	return publishEdits(out, args, publisher, fleetstate.DiffInventories(publisher.Revision().Inventory(), inventory))
}

// diff prints the sections that apply would change.
func diff(out io.Writer, args options) error {
	inventory, err := readInventory(args.Diff.Inventory)
	if err != nil {
		return err
	}
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	current := publisher.Revision().Inventory()
	fmt.Fprintf(out, "against revision %d:\n", publisher.Revision().Number())
	for _, edit := range fleetstate.DiffInventories(current, inventory) {
		before := current.Section(edit.Section())
		fmt.Fprintf(out, "[%s]\n", edit.Section())
		for _, line := range before {
			if edit.Remove() || !slices.Contains(edit.Lines(), line) {
				fmt.Fprintf(out, "- %s\n", line)
			}
		}
		for _, line := range edit.Lines() {
			if !slices.Contains(before, line) {
				fmt.Fprintf(out, "+ %s\n", line)
			}
		}
	}
	return nil
}

// grant adds an API key to the inventory.
func grant(out io.Writer, args options) error {
	key := args.Key.Grant
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	lines := []string{"tenant = " + key.Tenant, "sha256 = " + key.Hash}
	return publishEdits(out, args, publisher, []fleetstate.Edit{fleetstate.NewEdit(fleetstate.EditConfig{Section: "key " + key.Name, Lines: lines})})
}

// withdraw removes an API key from the inventory.
func withdraw(out io.Writer, args options) error {
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	section := "key " + args.Key.Withdraw.Name
	if publisher.Revision().Inventory().Section(section) == nil {
		return errors.Wrapf(errNoSection, "[%s]", section)
	}
	return publishEdits(out, args, publisher, []fleetstate.Edit{fleetstate.NewEdit(fleetstate.EditConfig{Section: section, Remove: true})})
}

// drain marks a backend server as draining, or removes the mark.
func drain(out io.Writer, args options) error {
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	section := "backend " + args.Drain.Backend
	lines := publisher.Revision().Inventory().Section(section)
	if lines == nil {
		return errors.Wrapf(errNoSection, "[%s]", section)
	}
	lines = slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return line == "draining = yes" || line == "draining = no" })
	if !args.Drain.Undo {
		lines = append(lines, "draining = yes")
	}
	return publishEdits(out, args, publisher, []fleetstate.Edit{fleetstate.NewEdit(fleetstate.EditConfig{Section: section, Lines: lines})})
}

// evacuate requests the evacuation of a failure domain, or returns it to service. If that
// is in force already, as after an earlier call that was interrupted, it only waits until
// every instance knows.
func evacuate(out io.Writer, args options) error {
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	inventory := publisher.Revision().Inventory()
	domain, undo := args.Evacuate.Domain, args.Evacuate.Undo
	if requested := inventory.Evacuated(domain); !inventory.HasDomain(domain) && (!undo || !requested) {
		return errors.Wrapf(errNoDomain, "%q", domain)
	}
	var edits []fleetstate.Edit
	if inventory.Evacuated(domain) == undo {
		edits = []fleetstate.Edit{fleetstate.NewEdit(fleetstate.EditConfig{Section: fleetstate.EvacuationSection(domain), Remove: undo})}
	}
	return publishEdits(out, args, publisher, edits)
}

// publishEdits publishes edits and waits until they are in force. It returns the
// faults of the edited inventory, such as models that no longer fit into memory,
// without publishing it.
func publishEdits(out io.Writer, args options, publisher *publish.Publisher, edits []fleetstate.Edit) error {
	start := time.Now()
	edited, err := publisher.Revision().Inventory().WithEdits("inventory", edits)
	if err != nil {
		return err
	}
	if _, err := fleetstate.CheckInventory("inventory", []byte(edited.Text())); err != nil {
		return err
	}
	revision, err := publisher.Edit(uuid.NewString(), edits)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d accepted\n", revision)
	instances, err := awaitTargets(args, edited)
	if err != nil {
		return err
	}
	if err := awaitRevision(out, revision, instances, start.Add(args.Timeout)); err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d in force on %d instances after %s\n", revision, len(instances), time.Since(start).Round(time.Millisecond))
	return nil
}
