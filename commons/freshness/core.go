// Package nightwatch decides whether a process may still act on what it knows
// of the log: the freshness proof.
//
// A process acts only while it knew the head of the log at a time no more than
// the limit ago. It knows the head from a log read, counted from before the
// read was sent, or from another process's word, which rides on the messages
// between them. While nobody reaches the log, it may go on for as long as every
// live process says that it, too, has had no answer from the log and has heard
// of nothing newer: a round of vouches.
package freshness

import (
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Limit   time.Duration // age at which a proof lapses
	Process uint64        // random id of this start of the process
	Origin  time.Time     // zero of the stamps
}

// doubt returns the age of a log read from which on the log counts as not
// reached. The rest of the limit is left for a round of vouches.
func (c CoreConfig) unreachableAfter() time.Duration { return c.Limit * 2 / 3 }

// askPeriod returns the time after which a vouch is asked for again.
func (c CoreConfig) queryPeriod() time.Duration { return c.Limit / 6 }

// proof is the knowledge of the log's head at a time.
type proof struct {
	at   time.Time
	head int64
}

// span is one state of the register with the newest time at which it was known
// to be current.
type trackedState struct {
	state     int64     // offset after the record that made the state
	covered   int64     // offset up to which the state covers the log
	currentAt time.Time // zero if never
}

// vouch is the word of one process that it does not reach the log.
type confirmation struct {
	queriedAt    time.Time
	noRecentRead bool // the process had no recent log read
}

// maxSpans is the number of recent states whose proofs are kept. Duties that
// are further behind than that must not act.
const maxTrackedStates = 256

// Core is responsible for the freshness proof of one process.
type Core struct {
	config        CoreConfig
	newestHead    int64
	read          proof // newest from a log read, here or elsewhere
	round         proof // newest from a round of vouches
	states        []trackedState
	peers         []Peer
	confirmations map[string]confirmation
	queriedAt     map[string]time.Time
}

// NewCore returns a core that knows nothing and holds no proof.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, confirmations: make(map[string]confirmation), queriedAt: make(map[string]time.Time)}
}

// Handle processes one message.
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

// Tick asks the live processes for their word while the log is in doubt.
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

// View returns what other duties need to know of the core's state.
func (c *Core) View() View {
	return View{config: c.config, newestHead: c.newestHead, read: c.read, round: c.round, states: slices.Clone(c.states)}
}

// Fresh reports whether the newest state of the register may be acted on.
func (c *Core) Fresh(now time.Time) bool {
	if len(c.states) == 0 {
		return false
	}
	return c.View().Fresh(now, c.states[len(c.states)-1].state)
}

// fold notes the state that the register has reached.
func (c *Core) addState(now time.Time, m Applied) {
	last := len(c.states) - 1
	if last >= 0 && m.covered < c.states[last].covered {
		return
	}
	if last >= 0 && c.states[last].state == m.state {
		c.states[last].covered = m.covered
	} else {
		c.states = append(c.states, trackedState{state: m.state, covered: m.covered})
		c.dropExpired(now)
	}
	c.newestHead = max(c.newestHead, m.covered)
}

// forget drops the oldest states, on which nobody may act any more.
func (c *Core) dropExpired(now time.Time) {
	c.states = c.states[max(len(c.states)-maxTrackedStates, 0):]
	for len(c.states) > 1 && now.Sub(c.states[0].currentAt) >= c.config.Limit {
		c.states = c.states[1:]
	}
}

// receive takes the word that rode on a request. Nobody knows how long a
// request was on its way, so its proofs count from the echoed stamp, which this
// process had set before the sender stated their age.
func (c *Core) receive(word notice.Freshness) {
	if echo, ok := word.Echo(c.config.Process); ok {
		c.adoptProofs(word, c.config.Origin.Add(echo))
		return
	}
	c.newestHead = max(c.newestHead, word.Heard())
}

// take adopts the proofs of another process, whose ages were stated after
// since.
func (c *Core) adoptProofs(word notice.Freshness, since time.Time) {
	c.newestHead = max(c.newestHead, word.Heard())
	if head, age := word.Read(); age > notice.NoProof {
		c.read = c.read.newer(proof{at: since.Add(-age), head: head})
	}
	if head, age := word.Round(); age > notice.NoProof {
		c.round = c.round.newer(proof{at: since.Add(-age), head: head})
	}
}

// keepVouch notes the word of a process that was asked, and closes the round
// when the last one is in.
func (c *Core) addConfirmation(m Answered) {
	if m.peer == "" {
		return
	}
	_, age := m.freshness.Read()
	holds := age == notice.NoProof || age >= c.config.unreachableAfter()
	if m.sent.After(c.confirmations[m.peer].queriedAt) {
		c.confirmations[m.peer] = confirmation{queriedAt: m.sent, noRecentRead: holds}
	}
	c.completeRound()
}

// closeRound makes a proof of the vouches when every live process has given
// one. It counts from the oldest of them; its head is the newest that any of
// them had heard of, which take has noted.
func (c *Core) completeRound() {
	if len(c.peers) == 0 {
		return
	}
	found := proof{head: c.newestHead}
	for _, peer := range c.peers {
		v, ok := c.confirmations[peer.name]
		if !ok || !v.noRecentRead {
			return
		}
		if found.at.IsZero() || v.queriedAt.Before(found.at) {
			found.at = v.queriedAt
		}
	}
	c.round = c.round.newer(found)
}

// list takes over the processes whose word a round needs.
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

// apply marks the states that the proofs cover as current.
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
