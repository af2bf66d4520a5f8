// Package nightwatch decides whether a process may still act on what it knows
// of the log: the freshness proof.
//
// A process acts only while it knew the head of the log at a time no more than
// the limit ago. It knows the head from a log read, counted from before the
// read was sent, or from another process's word, which rides on the messages
// between them. While nobody reaches the log, it may go on for as long as every
// live process says that it, too, has had no answer from the log and has heard
// of nothing newer: a round of vouches.
package nightwatch

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
func (c CoreConfig) doubt() time.Duration { return c.Limit * 2 / 3 }

// askPeriod returns the time after which a vouch is asked for again.
func (c CoreConfig) askPeriod() time.Duration { return c.Limit / 6 }

// proof is the knowledge of the log's head at a time.
type proof struct {
	at   time.Time
	head int64
}

// span is one state of the register with the newest time at which it was known
// to be current.
type span struct {
	state int64     // offset after the record that made the state
	known int64     // offset up to which the state covers the log
	at    time.Time // zero if never
}

// vouch is the word of one process that it does not reach the log.
type vouch struct {
	asked time.Time
	holds bool // the process had no recent log read
}

// maxSpans is the number of recent states whose proofs are kept. Duties that
// are further behind than that must not act.
const maxSpans = 256

// Core is responsible for the freshness proof of one process.
type Core struct {
	config  CoreConfig
	heard   int64
	read    proof // newest from a log read, here or elsewhere
	round   proof // newest from a round of vouches
	spans   []span
	peers   []Peer
	vouches map[string]vouch
	asked   map[string]time.Time
}

// NewCore returns a core that knows nothing and holds no proof.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, vouches: make(map[string]vouch), asked: make(map[string]time.Time)}
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Folded:
		c.fold(now, m)
	case LogRead:
		c.heard = max(c.heard, m.head)
		c.read = c.read.newer(proof{at: m.sent, head: m.head})
	case Answered:
		c.take(m.word, m.sent)
		c.keepVouch(m)
	case Received:
		c.receive(m.word)
	case Listed:
		c.list(m.peers)
	}
	c.apply()
	return c.Tick(now)
}

// Tick asks the live processes for their word while the log is in doubt.
func (c *Core) Tick(now time.Time) []Action {
	if now.Sub(c.read.at) < c.config.doubt() {
		return nil
	}
	var actions []Action
	for _, peer := range c.peers {
		if now.Sub(c.asked[peer.name]) >= c.config.askPeriod() {
			c.asked[peer.name] = now
			actions = append(actions, Ask{peer: peer})
		}
	}
	return actions
}

// View returns what other duties need to know of the core's state.
func (c *Core) View() View {
	return View{config: c.config, heard: c.heard, read: c.read, round: c.round, spans: slices.Clone(c.spans)}
}

// Fresh reports whether the newest state of the register may be acted on.
func (c *Core) Fresh(now time.Time) bool {
	if len(c.spans) == 0 {
		return false
	}
	return c.View().Fresh(now, c.spans[len(c.spans)-1].state)
}

// fold notes the state that the register has reached.
func (c *Core) fold(now time.Time, m Folded) {
	last := len(c.spans) - 1
	if last >= 0 && m.known < c.spans[last].known {
		return
	}
	if last >= 0 && c.spans[last].state == m.state {
		c.spans[last].known = m.known
	} else {
		c.spans = append(c.spans, span{state: m.state, known: m.known})
		c.forget(now)
	}
	c.heard = max(c.heard, m.known)
}

// forget drops the oldest states, on which nobody may act any more.
func (c *Core) forget(now time.Time) {
	c.spans = c.spans[max(len(c.spans)-maxSpans, 0):]
	for len(c.spans) > 1 && now.Sub(c.spans[0].at) >= c.config.Limit {
		c.spans = c.spans[1:]
	}
}

// receive takes the word that rode on a request. Nobody knows how long a
// request was on its way, so its proofs count from the echoed stamp, which this
// process had set before the sender stated their age.
func (c *Core) receive(word notice.Freshness) {
	if echo, ok := word.Echo(c.config.Process); ok {
		c.take(word, c.config.Origin.Add(echo))
		return
	}
	c.heard = max(c.heard, word.Heard())
}

// take adopts the proofs of another process, whose ages were stated after
// since.
func (c *Core) take(word notice.Freshness, since time.Time) {
	c.heard = max(c.heard, word.Heard())
	if head, age := word.Read(); age > notice.NoProof {
		c.read = c.read.newer(proof{at: since.Add(-age), head: head})
	}
	if head, age := word.Round(); age > notice.NoProof {
		c.round = c.round.newer(proof{at: since.Add(-age), head: head})
	}
}

// keepVouch notes the word of a process that was asked, and closes the round
// when the last one is in.
func (c *Core) keepVouch(m Answered) {
	if m.peer == "" {
		return
	}
	_, age := m.word.Read()
	holds := age == notice.NoProof || age >= c.config.doubt()
	if m.sent.After(c.vouches[m.peer].asked) {
		c.vouches[m.peer] = vouch{asked: m.sent, holds: holds}
	}
	c.closeRound()
}

// closeRound makes a proof of the vouches when every live process has given
// one. It counts from the oldest of them; its head is the newest that any of
// them had heard of, which take has noted.
func (c *Core) closeRound() {
	if len(c.peers) == 0 {
		return
	}
	found := proof{head: c.heard}
	for _, peer := range c.peers {
		v, ok := c.vouches[peer.name]
		if !ok || !v.holds {
			return
		}
		if found.at.IsZero() || v.asked.Before(found.at) {
			found.at = v.asked
		}
	}
	c.round = c.round.newer(found)
}

// list takes over the processes whose word a round needs.
func (c *Core) list(peers []Peer) {
	c.peers = peers
	live := make(map[string]bool, len(peers))
	for _, peer := range peers {
		live[peer.name] = true
	}
	for name := range c.asked {
		if !live[name] {
			delete(c.asked, name)
			delete(c.vouches, name)
		}
	}
}

// apply marks the states that the proofs cover as current.
func (c *Core) apply() {
	for i := range c.spans {
		for _, p := range []proof{c.read, c.round} {
			if p.head <= c.spans[i].known && p.at.After(c.spans[i].at) {
				c.spans[i].at = p.at
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
