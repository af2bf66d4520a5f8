package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/sesamewell/inspect"
)

// errLagging means that a revision is not in force everywhere in time.
var errLagging = errors.New("the revision is accepted, but not in force on every instance yet")

const (
	pollPeriod         = 50 * time.Millisecond // time between two looks at an instance
	maxConcurrentCalls = 16                    // instances that are asked at once
	stateLive          = "live"                // state in the platform's list
)

// target is an operators' page with the name of its instance.
type target struct {
	name    string
	address string
}

// awaited returns the instances on which a revision has to be in force: those
// that the arguments name, or all of the inventory that the platform's list
// holds live.
func awaitTargets(args options, inventory *fleetstate.Inventory) ([]target, error) {
	var targets []target
	if args.Apply != nil && len(args.Apply.Operators) > 0 {
		for _, address := range args.Apply.Operators {
			targets = append(targets, target{name: address, address: address})
		}
		return targets, nil
	}
	listed, err := liveInstances(args)
	if err != nil {
		return nil, err
	}
	for _, instance := range inventory.Instances() {
		if instance.Operator() != "" && (listed == nil || slices.Contains(listed, instance.Name())) {
			targets = append(targets, target{name: instance.Name(), address: instance.Operator()})
		}
	}
	return targets, nil
}

// list returns the names of the instances that the platform holds live, or nil
// when the arguments name no list.
func liveInstances(args options) ([]string, error) {
	if args.List == "" {
		return nil, nil
	}
	var lines []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	if err := inspect.Fetch(args.List, "/", &lines); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	names := []string{}
	for _, line := range lines {
		if line.State == stateLive {
			names = append(names, line.Name)
		}
	}
	return names, nil
}

// await asks the instances until all have the revision in force. Its error
// names those that lag.
func awaitRevision(out io.Writer, revision int64, targets []target, deadline time.Time) error {
	lagging := findLagging(revision, targets)
	for len(lagging) > 0 && time.Now().Before(deadline) {
		time.Sleep(pollPeriod)
		lagging = findLagging(revision, targetsOf(lagging))
	}
	// A silent instance has held up the last look, and others may be further by
	// now.
	for i, l := range lagging {
		if l.status.err == nil {
			lagging[i].status = fetchStatuses([]target{l.target})[0]
		}
	}
	lagging = slices.DeleteFunc(lagging, func(l laggingInstance) bool { return l.status.hasRevision(revision) })
	if len(lagging) == 0 {
		return nil
	}
	for _, l := range lagging {
		fmt.Fprintln(out, describeLag(l.target, l.status))
	}
	return errors.Wrapf(errLagging, "%d of %d", len(lagging), len(targets))
}

// laggard is an instance that does not have a revision in force.
type laggingInstance struct {
	target target
	status instanceStatus
}

// look returns the instances that do not have the revision in force.
func findLagging(revision int64, targets []target) []laggingInstance {
	var lagging []laggingInstance
	for i, found := range fetchStatuses(targets) {
		if !found.hasRevision(revision) {
			lagging = append(lagging, laggingInstance{target: targets[i], status: found})
		}
	}
	return lagging
}

func targetsOf(lagging []laggingInstance) []target {
	targets := make([]target, 0, len(lagging))
	for _, l := range lagging {
		targets = append(targets, l.target)
	}
	return targets
}

func describeLag(t target, c instanceStatus) string {
	if c.err != nil {
		return fmt.Sprintf("%s at %s does not answer: %v", t.name, t.address, c.err)
	}
	return fmt.Sprintf("%s at %s is at revision %d", t.name, t.address, c.Revision)
}

// condition is what one instance answered.
type instanceStatus struct {
	Revision int64 `json:"revision"`
	Open     int   `json:"open"`
	Queued   int   `json:"queued"`
	Running  int   `json:"running"`
	Leaving  bool  `json:"leaving"`

	err error // the instance gave no answer
}

// has reports whether a revision is in force there.
func (c instanceStatus) hasRevision(revision int64) bool {
	return c.err == nil && c.Revision >= revision
}

// visit asks all instances, a few at a time, and returns their answers in the
// same order.
func fetchStatuses(targets []target) []instanceStatus {
	found := make([]instanceStatus, len(targets))
	next := make(chan int, len(targets))
	for i := range targets {
		next <- i
	}
	close(next)
	var group sync.WaitGroup
	for range min(maxConcurrentCalls, len(targets)) {
		group.Go(func() {
			for i := range next {
				found[i].err = inspect.Fetch(targets[i].address, "/status", &found[i])
			}
		})
	}
	group.Wait()
	return found
}

// status shows what every instance does.
func status(out io.Writer, args options) error {
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	inventory := publisher.Revision().Inventory()
	fmt.Fprintf(out, "revision %d: %d instances, %d backend servers, %d models, %d keys\n", publisher.Revision().Number(),
		len(inventory.Instances()), len(inventory.Backends()), len(inventory.Models()), len(inventory.Keys()))
	targets, err := awaitTargets(args, inventory)
	if err != nil {
		return err
	}
	found := fetchStatuses(targets)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instance\trevision\topen\tqueued\trunning\tremarks")
	for i, t := range targets {
		c := found[i]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n", t.name, c.Revision, c.Open, c.Queued, c.Running, remarks(c, publisher.Revision().Number()))
	}
	return table.Flush()
}

func remarks(c instanceStatus, revision int64) string {
	if c.err != nil {
		return "does not answer"
	}
	var texts []string
	if c.Leaving {
		texts = append(texts, "leaving")
	}
	if c.Revision < revision {
		texts = append(texts, "lags")
	}
	return strings.Join(texts, ", ")
}
