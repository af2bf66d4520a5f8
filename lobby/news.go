package main

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/notice"
	"sesamewell.example/lobby/broadcast"
	"sesamewell.example/lobby/discovery"
	"sesamewell.example/lobby/keeperclient"
	"sesamewell.example/lobby/placement"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
)

// news is responsible for passing what one duty learns on to the others.
type mediator struct {
	self        string // door of this lobby
	incarnation uint64
	serial      atomic.Int64
	proxy       *proxy.Proxy
	scheduler   *scheduler.Scheduler
	planner     *placement.Planner
	broadcaster *broadcast.Broadcaster
	state       *discovery.State
	refresher   *discovery.Refresher
	rpcClient   func(address string) keeperclient.RPCClient
	log         *logrus.Entry
}

// Charter puts a configuration in force.
func (n *mediator) ConfigurationChanged(c *charter.Charter) {
	n.proxy.SetLimits(c.Limits())
	n.notifyScheduler(scheduler.NewConfigurationChanged(c))
	n.notifyPlanner(c)
}

// Backends takes a new list of backend servers over.
func (n *mediator) BackendsChanged(backends []charter.Backend) {
	n.notifyScheduler(scheduler.NewBackendsChanged(backends))
	n.notifyPlanner(backends)
}

// Heard takes over what another lobby says.
func (n *mediator) DigestReceived(digest notice.Digest) {
	n.refresher.PeerVersion(digest.Charter(), digest.Sender())
	n.notifyScheduler(scheduler.NewDigestReceived(digest))
	n.notifyPlanner(digest)
}

// Peopled takes the number of lobbies over.
func (n *mediator) LobbyCountChanged(lobbies int) {
	n.notifyScheduler(scheduler.NewLobbyCountChanged(lobbies))
}

// Planned takes this lobby's own plan over.
func (n *mediator) Planned(plan map[string][]string) {
	if plan != nil {
		n.notifyScheduler(scheduler.NewPlanChanged(maps.Clone(plan)))
	}
}

// Tell sends this lobby's digest to the others and to its own planner.
func (n *mediator) Broadcast(tell scheduler.Broadcast) error {
	digest := notice.NewDigest(notice.DigestConfig{
		Sender: n.self, Incarnation: n.incarnation, Serial: n.serial.Add(1), Charter: n.state.Version(),
		Leaving: tell.Leaving(), Spent: tell.Spent(), Asked: tell.Demand(), Loads: tell.Loads(), Plan: tell.Plan(),
	})
	if err := n.planner.Inbox().Put(digest); err != nil {
		return err
	}
	return n.broadcaster.Send(digest)
}

func (n *mediator) notifyScheduler(message scheduler.Message) {
	if err := n.scheduler.Inbox().PutWithin(context.Background(), message, putTimeout); err != nil {
		n.log.WithField("event", "steward_behind").WithError(err).Error("news lost")
	}
}

func (n *mediator) notifyPlanner(message any) {
	if err := n.planner.Put(message); err != nil {
		n.log.WithField("event", "planner_behind").WithError(err).Error("news lost")
	}
}

// newsHandOver is the longest wait for room in a duty's ring.
const putTimeout = 5 * time.Second

// bundleLimit is the limit on a call for another lobby's configuration.
const stateTimeout = 700 * time.Millisecond

// Bundle asks another lobby for what it has read from the store.
func (n *mediator) FetchState(door string) (*charter.Charter, []charter.Backend, error) {
	var bundle notice.Bundle
	if err := n.rpcClient(door).Call(notice.BundleMethod, notice.Nothing{}, &bundle, stateTimeout); err != nil {
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
func (n *mediator) Bundle() notice.Bundle {
	c, backends := n.state.Newest()
	config := notice.BundleConfig{}
	if c != nil {
		config.Charter = c.Config()
	}
	for _, backend := range backends {
		config.Backends = append(config.Backends, backend.Config())
	}
	return notice.NewBundle(config)
}
