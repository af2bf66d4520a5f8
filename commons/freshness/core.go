// Package freshness decides whether a process may still act on the fleet state
// that it has read from the log.
//
// A process acts only while it has a proof that its state was current less than
// CoreConfig.Limit ago. A proof comes from a log read, counted from before the
// read was sent, or from another process, piggybacked on the messages between
// them. While no process can read the log, a confirmation round takes the place
// of a log read: every live process confirms that it has no recent log read
// either, and sends the newest head of the log that it has read or received.
package freshness

import (
	"slices"
	"time"

	"sesamewell.example/commons/protocol"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Limit   time.Duration // age at which a proof expires
	Process uint64        // random ID, new at each start of the process
	Origin  time.Time     // time from which message stamps are counted
}

// unreachableAfter returns the age of the newest log read from which on the log
// counts as unreachable. The rest of Limit is left for a confirmation round.
func (c CoreConfig) unreachableAfter() time.Duration { return c.Limit * 2 / 3 }

// queryPeriod returns the interval at which each peer is queried.
func (c CoreConfig) queryPeriod() time.Duration { return c.Limit / 6 }

// proof states that the log had no record after head at the time at.
type proof struct {
	at   time.Time
	head int64
}

// trackedState is one fleet state with the newest time at which it is proven to
// have been current.
type trackedState struct {
	stateOffset int64     // offset after the record that led to the state
	covered     int64     // offset of the first log record that the state does not include
	currentAt   time.Time // zero if never proven
}

// confirmation is the answer of one peer in a confirmation round.
type confirmation struct {
	queriedAt    time.Time
	noRecentRead bool // the peer has no recent log read
}

// maxTrackedStates is the number of recent states whose proofs are kept.
// Threads that are further behind must not act.
const maxTrackedStates = 256

// Core tracks the freshness proofs of one process.
type Core struct {
	config        CoreConfig
	newestHead    int64
	read          proof // newest from a log read of any process
	round         proof // newest from a confirmation round
	states        []trackedState
	peers         []Peer
	confirmations map[string]confirmation
	queriedAt     map[string]time.Time
}

// NewCore returns a core without states or proofs.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, confirmations: make(map[string]confirmation), queriedAt: make(map[string]time.Time)}
}

// Handle processes one message and returns the queries that are due.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Applied:
		c.addState(now, m)
	case LogRead:
		c.newestHead = max(c.newestHead, m.head)
		c.read = c.read.newer(proof{at: m.sent, head: m.head})
	case Answered:
		c.adoptProofs(m.freshness, m.sent)
		c.addConfirmation(m)
	case Received:
		c.receive(m.freshness)
	case PeersListed:
		c.setPeers(m.peers)
	}
	c.updateStates()
	return c.Tick(now)
}

// Tick queries the live peers while the log counts as unreachable.
func (c *Core) Tick(now time.Time) []Action {
	if now.Sub(c.read.at) < c.config.unreachableAfter() {
		return nil
	}
	var actions []Action
	for _, peer := range c.peers {
		if now.Sub(c.queriedAt[peer.name]) >= c.config.queryPeriod() {
			c.queriedAt[peer.name] = now
			actions = append(actions, Query{peer: peer})
		}
	}
	return actions
}

// View returns a copy of the core's state for other threads.
func (c *Core) View() View {
	return View{config: c.config, newestHead: c.newestHead, read: c.read, round: c.round, states: slices.Clone(c.states)}
}

// Fresh reports whether the process may act on the newest fleet state.
func (c *Core) Fresh(now time.Time) bool {
	if len(c.states) == 0 {
		return false
	}
	return c.View().Fresh(now, c.states[len(c.states)-1].stateOffset)
}

// addState adds the newest fleet state, unless a newer one is tracked already.
func (c *Core) addState(now time.Time, m Applied) {
	last := len(c.states) - 1
	if last >= 0 && m.covered < c.states[last].covered {
		return
	}
	if last >= 0 && c.states[last].stateOffset == m.stateOffset {
		c.states[last].covered = m.covered
	} else {
		c.states = append(c.states, trackedState{stateOffset: m.stateOffset, covered: m.covered})
		c.dropExpired(now)
	}
	c.newestHead = max(c.newestHead, m.covered)
}

// dropExpired drops the oldest states, on which no thread may act any more.
func (c *Core) dropExpired(now time.Time) {
	c.states = c.states[max(len(c.states)-maxTrackedStates, 0):]
	for len(c.states) > 1 && now.Sub(c.states[0].currentAt) >= c.config.Limit {
		c.states = c.states[1:]
	}
}

// receive adopts the proofs that came with a request. The time that a request
// was in transit is unknown, so the ages of its proofs count from the echoed
// stamp, which this process sent before the sender computed those ages. Without
// an echo, only the head is used.
func (c *Core) receive(freshness protocol.Freshness) {
	if echo, ok := freshness.Echo(c.config.Process); ok {
		c.adoptProofs(freshness, c.config.Origin.Add(echo))
		return
	}
	c.newestHead = max(c.newestHead, freshness.NewestHead())
}

// adoptProofs takes over the proofs of another process. Their ages were computed
// after since.
func (c *Core) adoptProofs(freshness protocol.Freshness, since time.Time) {
	c.newestHead = max(c.newestHead, freshness.NewestHead())
	if head, age := freshness.Read(); age > protocol.NoProof {
		c.read = c.read.newer(proof{at: since.Add(-age), head: head})
	}
	if head, age := freshness.Round(); age > protocol.NoProof {
		c.round = c.round.newer(proof{at: since.Add(-age), head: head})
	}
}

// addConfirmation records the answer of a queried peer and completes the round
// if it was the last one missing. Answers to calls other than queries have no
// peer and are ignored.
func (c *Core) addConfirmation(m Answered) {
	if m.peer == "" {
		return
	}
	_, age := m.freshness.Read()
	noRecentRead := age == protocol.NoProof || age >= c.config.unreachableAfter()
	if m.sent.After(c.confirmations[m.peer].queriedAt) {
		c.confirmations[m.peer] = confirmation{queriedAt: m.sent, noRecentRead: noRecentRead}
	}
	c.completeRound()
}

// completeRound derives a proof from the confirmations if every live peer has
// given one. The proof counts from the oldest query; its head is the newest that
// any peer sent, which adoptProofs has recorded.
func (c *Core) completeRound() {
	if len(c.peers) == 0 {
		return
	}
	found := proof{head: c.newestHead}
	for _, peer := range c.peers {
		answer, ok := c.confirmations[peer.name]
		if !ok || !answer.noRecentRead {
			return
		}
		if found.at.IsZero() || answer.queriedAt.Before(found.at) {
			found.at = answer.queriedAt
		}
	}
	c.round = c.round.newer(found)
}

// setPeers replaces the peers that a confirmation round needs.
func (c *Core) setPeers(peers []Peer) {
	c.peers = peers
	live := make(map[string]bool, len(peers))
	for _, peer := range peers {
		live[peer.name] = true
	}
	for name := range c.queriedAt {
		if !live[name] {
			delete(c.queriedAt, name)
			delete(c.confirmations, name)
		}
	}
}

// updateStates advances the time at which each state is proven current.
func (c *Core) updateStates() {
	for i := range c.states {
		for _, p := range []proof{c.read, c.round} {
			if p.head <= c.states[i].covered && p.at.After(c.states[i].currentAt) {
				c.states[i].currentAt = p.at
			}
		}
	}
}

// newer returns the newer of two proofs.
func (p proof) newer(other proof) proof {
	if other.at.After(p.at) {
		return other
	}
	return p
}
