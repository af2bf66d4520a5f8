package freshness

import (
	"time"

	"sesamewell.example/commons/notice"
)

// Peer is another process of the fleet.
type Peer struct {
	name    string
	address string
}

// NewPeer returns a process with the IP:port of its door.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the instance's name.
func (p Peer) Name() string { return p.name }

// Address returns the IP:port of the instance's door.
func (p Peer) Address() string { return p.address }

// Message is what the watch's inbox carries.
type Message interface{ freshnessMessage() }

// Folded tells how far the register has followed the log.
type Applied struct {
	state   int64
	covered int64
}

// NewFolded returns the message: state is the offset after the last record that
// changed the register, known the offset of the first record not folded.
func NewApplied(state, known int64) Applied { return Applied{state: state, covered: known} }

// LogRead reports the head that a read of the log returned.
type LogRead struct {
	sent time.Time
	head int64
}

// NewLogRead returns the message for a read that was begun at sent.
func NewLogRead(sent time.Time, head int64) LogRead { return LogRead{sent: sent, head: head} }

// Answered brings the word that came with the answer to a call.
type Answered struct {
	peer      string
	sent      time.Time
	freshness notice.Freshness
}

// NewAnswered returns the message for a call that was begun at sent. The peer
// is named when the call was an Ask, else empty.
func NewAnswered(peer string, sent time.Time, word notice.Freshness) Answered {
	return Answered{peer: peer, sent: sent, freshness: word}
}

// Received brings the word that rode on another process's request.
type Received struct {
	freshness notice.Freshness
}

// NewReceived returns the message.
func NewReceived(word notice.Freshness) Received { return Received{freshness: word} }

// Listed names all other processes that the platform's instance list holds
// live.
type PeersListed struct {
	peers []Peer
}

// NewListed returns the message.
func NewPeersListed(peers []Peer) PeersListed { return PeersListed{peers: peers} }

func (Applied) freshnessMessage()     {}
func (LogRead) freshnessMessage()     {}
func (Answered) freshnessMessage()    {}
func (Received) freshnessMessage()    {}
func (PeersListed) freshnessMessage() {}

// Action is what the core asks its duty to do.
type Action interface{ freshnessAction() }

// Ask calls another process for its word.
type Query struct {
	peer Peer
}

// Peer returns the process to call.
func (a Query) Peer() Peer { return a.peer }

func (Query) freshnessAction() {}

// View is an immutable copy of what a core knows.
type View struct {
	config     CoreConfig
	newestHead int64
	read       proof
	round      proof
	states     []trackedState
}

// Fresh reports whether a duty may act on a state of the register, named by
// the offset after the record that made it. A duty that is ahead of the watch
// knows all that the newest proof covers, and more.
func (v View) Fresh(now time.Time, state int64) bool {
	for i, s := range v.states {
		ahead := i == len(v.states)-1 && state > s.state
		if s.state == state || ahead {
			return !s.currentAt.IsZero() && now.Sub(s.currentAt) < v.config.Limit
		}
	}
	return false
}

// Word returns what the process can tell another one, whose newest word was
// last.
func (v View) Freshness(now time.Time, last notice.Freshness) notice.Freshness {
	config := notice.FreshnessConfig{
		Process: v.config.Process,
		Stamp:   now.Sub(v.config.Origin),
		Echoed:  last.Process(),
		Echo:    last.Stamp(),
		Heard:   v.newestHead,
	}
	config.ReadHead, config.ReadAge = v.read.headAndAge(now)
	config.RoundHead, config.RoundAge = v.round.headAndAge(now)
	return notice.NewFreshness(config)
}

// state returns the proof's head and age.
func (p proof) headAndAge(now time.Time) (head int64, age time.Duration) {
	if p.at.IsZero() {
		return 0, notice.NoProof
	}
	return p.head, max(now.Sub(p.at), time.Nanosecond)
}
