package main

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/lobby/errands"
	"sesamewell.example/lobby/herald"
	"sesamewell.example/lobby/parley"
	"sesamewell.example/lobby/placement"
	"sesamewell.example/lobby/porch"
	"sesamewell.example/lobby/scheduler"
)

// news is responsible for passing what one duty learns on to the others.
type news struct {
	self        string // door of this lobby
	incarnation uint64
	serial      atomic.Int64
	porch       *porch.Porch
	steward     *scheduler.Scheduler
	planner     *placement.Planner
	parley      *parley.Parley
	board       *herald.Board
	catchUp     *herald.CatchUp
	lines       func(address string) errands.Line
	log         *logrus.Entry
}

// Charter puts a configuration in force.
func (n *news) Charter(c *charter.Charter) {
	n.porch.SetLimits(c.Limits())
	n.tell(scheduler.NewConfigurationChanged(c))
	n.plan(c)
}

// Backends takes a new list of backend servers over.
func (n *news) Backends(backends []charter.Backend) {
	n.tell(scheduler.NewBackendsChanged(backends))
	n.plan(backends)
}

// Heard takes over what another lobby says.
func (n *news) Heard(digest notice.Digest) {
	n.catchUp.Hear(digest.Charter(), digest.Sender())
	n.tell(scheduler.NewDigestReceived(digest))
	n.plan(digest)
}

// Peopled takes the number of lobbies over.
func (n *news) Peopled(lobbies int) { n.tell(scheduler.NewLobbyCountChanged(lobbies)) }

// Planned takes this lobby's own plan over.
func (n *news) Planned(plan map[string][]string) {
	if plan != nil {
		n.tell(scheduler.NewPlanChanged(maps.Clone(plan)))
	}
}

// Tell sends this lobby's digest to the others and to its own planner.
func (n *news) Broadcast(tell scheduler.Broadcast) error {
	digest := notice.NewDigest(notice.DigestConfig{
		Sender: n.self, Incarnation: n.incarnation, Serial: n.serial.Add(1), Charter: n.board.Version(),
		Leaving: tell.Leaving(), Spent: tell.Spent(), Asked: tell.Demand(), Loads: tell.Loads(), Plan: tell.Plan(),
	})
	if err := n.planner.Inbox().Put(digest); err != nil {
		return err
	}
	return n.parley.Send(digest)
}

func (n *news) tell(message scheduler.Message) {
	if err := n.steward.Inbox().PutWithin(context.Background(), message, newsHandOver); err != nil {
		n.log.WithField("event", "steward_behind").WithError(err).Error("news lost")
	}
}

func (n *news) plan(message any) {
	if err := n.planner.Put(message); err != nil {
		n.log.WithField("event", "planner_behind").WithError(err).Error("news lost")
	}
}

// newsHandOver is the longest wait for room in a duty's ring.
const newsHandOver = 5 * time.Second

// bundleLimit is the limit on a call for another lobby's configuration.
const bundleLimit = 700 * time.Millisecond

// Bundle asks another lobby for what it has read from the store.
func (n *news) Bundle(door string) (*charter.Charter, []charter.Backend, error) {
	var bundle notice.Bundle
	if err := n.lines(door).Call(notice.BundleMethod, notice.Nothing{}, &bundle, bundleLimit); err != nil {
		return nil, nil, err
	}
	var backends []charter.Backend
	for _, config := range bundle.Backends() {
		backends = append(backends, charter.NewBackend(config))
	}
	if bundle.Charter().Version == 0 {
		return nil, backends, nil
	}
	return charter.New(bundle.Charter()), backends, nil
}

// Newest returns what this lobby has read from the store, for another one.
func (n *news) Newest() notice.Bundle {
	c, backends := n.board.Newest()
	config := notice.BundleConfig{}
	if c != nil {
		config.Charter = c.Config()
	}
	for _, backend := range backends {
		config.Backends = append(config.Backends, backend.Config())
	}
	return notice.NewBundle(config)
}
