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

// errLagging means that a revision is not in force on every instance in time.
var errLagging = errors.New("the revision is accepted, but not in force on every instance yet")

const (
	pollPeriod         = 50 * time.Millisecond // time between two status requests to an instance
	maxConcurrentCalls = 16                    // maximum number of concurrent status requests
	stateLive          = "live"                // state of a live instance in the platform's list
)

// target is an instance with the address of its operators' pages.
type target struct {
	name    string
	address string
}

// awaitTargets returns the instances on which a revision has to be in force: those
// given as arguments, or all instances of the inventory that are live according to
// the platform's list.
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

// liveInstances returns the names of the instances that are live according to the
// platform's list, or nil if no list is configured.
func liveInstances(args options) ([]string, error) {
	if args.List == "" {
		return nil, nil
	}
	var instances []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	if err := inspect.Fetch(args.List, "/", &instances); err != nil {
		return nil, errors.Wrap(err, "list of instances")
	}
	names := []string{}
	for _, instance := range instances {
		if instance.State == stateLive {
			names = append(names, instance.Name)
		}
	}
	return names, nil
}

// awaitRevision polls the instances until the revision is in force on all of them.
// After the deadline it prints the lagging instances and returns errLagging.
func awaitRevision(out io.Writer, revision int64, targets []target, deadline time.Time) error {
	lagging := findLagging(revision, targets)
	for len(lagging) > 0 && time.Now().Before(deadline) {
		time.Sleep(pollPeriod)
		lagging = findLagging(revision, targetsOf(lagging))
	}
	// An unresponsive instance may have delayed the last poll, and the others may
	// have caught up since.
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

// laggingInstance is an instance on which a revision is not in force.
type laggingInstance struct {
	target target
	status instanceStatus
}

// findLagging returns the instances on which the revision is not in force.
func findLagging(revision int64, targets []target) []laggingInstance {
	var lagging []laggingInstance
	for i, s := range fetchStatuses(targets) {
		if !s.hasRevision(revision) {
			lagging = append(lagging, laggingInstance{target: targets[i], status: s})
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

func describeLag(t target, s instanceStatus) string {
	if s.err != nil {
		return fmt.Sprintf("%s at %s does not answer: %v", t.name, t.address, s.err)
	}
	return fmt.Sprintf("%s at %s is at revision %d", t.name, t.address, s.Revision)
}

// instanceStatus is the status page of one instance.
type instanceStatus struct {
	Revision int64 `json:"revision"`
	Open     int   `json:"open"`
	Queued   int   `json:"queued"`
	Running  int   `json:"running"`
	Draining bool  `json:"leaving"`

	err error // error of the request; the other fields are unset then
}

// hasRevision reports whether a revision is in force on the instance.
func (s instanceStatus) hasRevision(revision int64) bool {
	return s.err == nil && s.Revision >= revision
}

// fetchStatuses fetches the status of all targets, up to maxConcurrentCalls at a
// time, and returns them in the order of the targets.
func fetchStatuses(targets []target) []instanceStatus {
	statuses := make([]instanceStatus, len(targets))
	next := make(chan int, len(targets))
	for i := range targets {
		next <- i
	}
	close(next)
	var group sync.WaitGroup
	for range min(maxConcurrentCalls, len(targets)) {
		group.Go(func() {
			for i := range next {
				statuses[i].err = inspect.Fetch(targets[i].address, "/status", &statuses[i])
			}
		})
	}
	group.Wait()
	return statuses
}

// status prints the status of every instance.
func status(out io.Writer, args options) error {
	publisher, err := newPublisher(args)
	if err != nil {
		return err
	}
	inventory := publisher.Revision().Inventory()
	fmt.Fprintf(out, "revision %d: %d instances, %d backend servers, %d models, %d keys\n", publisher.Revision().Number(),
		len(inventory.Instances()), len(inventory.Backends()), len(inventory.Models()), len(inventory.Keys()))
	if domains := inventory.EvacuatedDomains(); len(domains) > 0 {
		fmt.Fprintf(out, "evacuated: %s\n", strings.Join(domains, ", "))
	}
	targets, err := awaitTargets(args, inventory)
	if err != nil {
		return err
	}
	statuses := fetchStatuses(targets)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "instance\trevision\topen\tqueued\trunning\tremarks")
	for i, t := range targets {
		s := statuses[i]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n", t.name, s.Revision, s.Open, s.Queued, s.Running, remarks(s, publisher.Revision().Number()))
	}
	return table.Flush()
}

func remarks(s instanceStatus, revision int64) string {
	if s.err != nil {
		return "does not answer"
	}
	var texts []string
	if s.Draining {
		texts = append(texts, "leaving")
	}
	if s.Revision < revision {
		texts = append(texts, "lags")
	}
	return strings.Join(texts, ", ")
}
