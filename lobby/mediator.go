package main

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/broadcast"
	"sesamewell.example/lobby/discovery"
	"sesamewell.example/lobby/keeperclient"
	"sesamewell.example/lobby/placement"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
)

// mediator passes events and messages between the components of the lobby.
type mediator struct {
	self        string // RPC address of this lobby
	domain      string // failure domain of this lobby
	incarnation uint64
	started     time.Time // start of the incarnation
	serial      atomic.Int64
	proxy       *proxy.Proxy
	scheduler   *scheduler.Scheduler
	planner     *placement.Planner
	broadcaster *broadcast.Broadcaster
	state       *discovery.State
	refresher   *discovery.Refresher
	watcher     *discovery.BackendWatcher
	lobbies     *discovery.LobbyWatcher
	rpcClient   func(address string) keeperclient.RPCClient
	log         *logrus.Entry
}

// ConfigurationChanged passes a new configuration to the proxy, the scheduler
// and the planner.
func (m *mediator) ConfigurationChanged(c *deployment.Configuration) {
	m.proxy.SetLimits(c.Limits())
	m.notifyScheduler(scheduler.NewConfigurationChanged(c))
	m.notifyPlanner(c)
}

// BackendsChanged passes a new list of backend servers to the scheduler and the
// planner.
func (m *mediator) BackendsChanged(read time.Time, backends []deployment.Backend) {
	m.notifyScheduler(scheduler.NewBackendsChanged(read, backends))
	m.notifyPlanner(backends)
}

// EvacuationsChanged passes the failure domains that are to be evacuated to the
// scheduler and the planner.
func (m *mediator) EvacuationsChanged(change discovery.EvacuationChange) error {
	message := scheduler.NewEvacuationsChanged(scheduler.EvacuationsChangedConfig{
		Evacuations: change.Evacuations(), Begun: change.Begun(), Ended: change.Ended(), Source: change.Source(), Age: change.Age(),
	})
	if err := m.scheduler.Inbox().PutWithin(context.Background(), message, putTimeout); err != nil {
		return errors.Wrap(err, "scheduler")
	}
	return errors.Wrap(m.planner.Put(change.Evacuations()), "planner")
}

// DigestReceived passes another lobby's digest to the state of evacuations, the
// refresher, the scheduler and the planner.
func (m *mediator) DigestReceived(digest protocol.Digest) {
	m.state.SetPeerEvacuations(time.Now(), digest.Evacuations())
	m.refresher.NotifyVersion(digest.ConfigVersion(), digest.Sender())
	m.notifyScheduler(scheduler.NewDigestReceived(digest))
	m.notifyPlanner(digest)
}

// LobbyCountChanged passes the number of lobbies to the scheduler.
func (m *mediator) LobbyCountChanged(lobbies int) {
	m.notifyScheduler(scheduler.NewLobbyCountChanged(lobbies))
}

// RankChanged passes this lobby's rank among the readers of its failure domain to the
// watcher of the list of backend servers.
func (m *mediator) RankChanged(rank int) { m.watcher.SetRank(rank) }

// ListReceived passes changes of the list of backend servers that another lobby has read
// to the watcher.
func (m *mediator) ListReceived(update protocol.ListUpdate) { m.watcher.Receive(update) }

// LobbiesListed passes the list of lobbies to the scheduler.
func (m *mediator) LobbiesListed(read, announced time.Time, addresses []string) {
	m.notifyScheduler(scheduler.NewLobbiesListed(read, announced, addresses))
}

// DirectoryRestored tells the scheduler that the list of lobbies is an older one.
func (m *mediator) DirectoryRestored() { m.notifyScheduler(scheduler.DirectoryRestored{}) }

// StreamsRead passes what the store keeps of streams to the scheduler.
func (m *mediator) StreamsRead(saved protocol.SavedStreams, complete bool) error {
	return m.scheduler.Inbox().PutWithin(context.Background(), scheduler.NewStreamsRead(saved, complete), putTimeout)
}

// StreamsSaved tells the scheduler that the store has taken a save of streams.
func (m *mediator) StreamsSaved(serial uint64) error {
	return m.scheduler.Inbox().PutWithin(context.Background(), scheduler.NewStreamsSaved(serial), putTimeout)
}

// StreamsRestored tells the scheduler that the store has lost what was saved of streams lately.
func (m *mediator) StreamsRestored() error {
	return m.scheduler.Inbox().PutWithin(context.Background(), scheduler.StreamsRestored{}, putTimeout)
}

// SuspectsRecalled passes what lobbies had saved of suspects to the scheduler.
func (m *mediator) SuspectsRecalled(at time.Time, saved map[string][]protocol.SuspectConfig) error {
	return m.scheduler.Inbox().PutWithin(context.Background(), scheduler.NewSuspectsRecalled(at, saved), putTimeout)
}

// Planned passes a plan made by this lobby to the scheduler. It ignores nil.
func (m *mediator) Planned(plan map[string][]string) {
	if plan != nil {
		m.notifyScheduler(scheduler.NewPlanChanged(maps.Clone(plan)))
	}
}

// Broadcast sends this lobby's digest to the other lobbies and to its own
// planner, which is told of the backend servers that name a rate, too.
func (m *mediator) Broadcast(action scheduler.Broadcast) error {
	digest := protocol.NewDigest(protocol.DigestConfig{
		Sender: m.self, Domain: m.domain, Incarnation: m.incarnation, Serial: m.serial.Add(1), Uptime: time.Since(m.started), ConfigVersion: m.state.Version(),
		Replaced: action.Replaced(), Leaving: action.Leaving(), Limits: action.Limits(), Suspects: action.Suspects(), Hot: action.Hot(), Streams: action.Streams(),
		Evacuations: m.state.Evacuations().Report(maxReportedEvacuations),
		Draining:    action.Draining(), Spent: action.Spent(), Demand: action.Demand(), HomeDemand: action.HomeDemand(), Loads: action.Loads(), Plan: action.Plan(),
	})
	m.watcher.SetHurry(action.AwaitsLoad() || action.AwaitsProof(), action.AwaitsList())
	m.lobbies.SetHurry(action.Joining())
	if err := m.planner.Inbox().Put(digest); err != nil {
		return err
	}
	if err := m.planner.Inbox().Put(placementLimits(action.Capacities())); err != nil {
		return err
	}
	return m.broadcaster.Send(digest)
}

// placementLimits returns what backend servers run that name a rate, for the planner.
func placementLimits(capacities []scheduler.BackendCapacity) placement.Limits {
	limits := make(placement.Limits, 0, len(capacities))
	for _, capacity := range capacities {
		limits = append(limits, placement.NewLimit(placement.LimitConfig{
			Backend: capacity.Backend(), Start: capacity.Start(), Engines: capacity.Engines(), Since: capacity.Since(),
		}))
	}
	return limits
}

func (m *mediator) notifyScheduler(message scheduler.Message) {
	if err := m.scheduler.Inbox().PutWithin(context.Background(), message, putTimeout); err != nil {
		m.log.WithField("event", "steward_behind").WithError(err).Error("message to the scheduler lost")
	}
}

func (m *mediator) notifyPlanner(message any) {
	if err := m.planner.Put(message); err != nil {
		m.log.WithField("event", "planner_behind").WithError(err).Error("message to the planner lost")
	}
}

// putTimeout is the longest wait for room in the scheduler's inbox.
const putTimeout = 5 * time.Second

// maxReportedEvacuations is the largest number of evacuated failure domains in a digest,
// which bounds its size.
const maxReportedEvacuations = 64

// stateTimeout limits a call for another lobby's configuration and list of
// backend servers.
const stateTimeout = 700 * time.Millisecond

// FetchState requests the configuration, the list of backend servers and the
// evacuations that another lobby has read from the store. The configuration is nil if that
// lobby has none.
func (m *mediator) FetchState(address string) (*deployment.Configuration, []deployment.Backend, deployment.Evacuations, error) {
	var bundle protocol.Bundle
	if err := m.rpcClient(address).Call(protocol.BundleMethod, protocol.Nothing{}, &bundle, stateTimeout); err != nil {
		return nil, nil, deployment.Evacuations{}, err
	}
	var backends []deployment.Backend
	for _, config := range bundle.Backends() {
		backends = append(backends, deployment.NewBackend(config))
	}
	if bundle.Configuration().Version == 0 {
		return nil, backends, bundle.Evacuations(), nil
	}
	return deployment.NewConfiguration(bundle.Configuration()), backends, bundle.Evacuations(), nil
}

// Bundle returns the configuration, the list of backend servers and the evacuations
// that this lobby has read from the store, for another lobby.
func (m *mediator) Bundle() protocol.Bundle {
	c, backends, evacuations := m.state.Newest()
	config := protocol.BundleConfig{Evacuations: evacuations.Report(evacuations.Len())}
	if c != nil {
		config.Configuration = c.Config()
	}
	for _, backend := range backends {
		config.Backends = append(config.Backends, backend.Config())
	}
	return protocol.NewBundle(config)
}
