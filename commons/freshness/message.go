package freshness

import (
	"time"

	"sesamewell.example/commons/protocol"
)

// Peer is another process of the fleet.
type Peer struct {
	name    string
	address string
}

// NewPeer returns a peer with the IP:port at which other processes call it.
func NewPeer(name, address string) Peer { return Peer{name: name, address: address} }

// Name returns the instance's name.
func (p Peer) Name() string { return p.name }

// Address returns the IP:port at which other processes call the instance.
func (p Peer) Address() string { return p.address }

// Message is an input of Core.
type Message interface{ freshnessMessage() }

// Applied reports how far the log has been applied to the fleet state.
type Applied struct {
	stateOffset int64
	covered     int64
}

// NewApplied returns the message. stateOffset is the offset after the last record
// that changed the fleet state, covered the offset of the first record that is not
// applied.
func NewApplied(stateOffset, covered int64) Applied {
	return Applied{stateOffset: stateOffset, covered: covered}
}

// LogRead reports the head that a read of the log returned.
type LogRead struct {
	sent time.Time
	head int64
}

// NewLogRead returns the message for a read that started at sent.
func NewLogRead(sent time.Time, head int64) LogRead { return LogRead{sent: sent, head: head} }

// Answered carries the freshness that came with the answer to a call.
type Answered struct {
	peer      string
	sent      time.Time
	freshness protocol.Freshness
}

// NewAnswered returns the message for a call that started at sent. peer is the
// name of the queried instance if the call was a Query, else empty.
func NewAnswered(peer string, sent time.Time, freshness protocol.Freshness) Answered {
	return Answered{peer: peer, sent: sent, freshness: freshness}
}

// Received carries the freshness that came with another process's request.
type Received struct {
	freshness protocol.Freshness
}

// NewReceived returns the message for a request with that freshness.
func NewReceived(freshness protocol.Freshness) Received { return Received{freshness: freshness} }

// PeersListed lists all other processes that are live by the platform's instance
// list.
type PeersListed struct {
	peers []Peer
}

// NewPeersListed returns the message for the live peers.
func NewPeersListed(peers []Peer) PeersListed { return PeersListed{peers: peers} }

func (Applied) freshnessMessage()     {}
func (LogRead) freshnessMessage()     {}
func (Answered) freshnessMessage()    {}
func (Received) freshnessMessage()    {}
func (PeersListed) freshnessMessage() {}

// Action is an output of Core that its caller must carry out.
type Action interface{ freshnessAction() }

// Query is the action of calling another process for its freshness.
type Query struct {
	peer Peer
}

// Peer returns the process to call.
func (a Query) Peer() Peer { return a.peer }

func (Query) freshnessAction() {}

// View is an immutable copy of a core's state.
type View struct {
	config     CoreConfig
	newestHead int64
	read       proof
	round      proof
	states     []trackedState
}

// Fresh reports whether a thread may act on the fleet state with the given state
// offset. A state newer than all tracked ones includes everything that the
// newest proof covers, so it counts as fresh with the newest tracked state.
func (v View) Fresh(now time.Time, stateOffset int64) bool {
	for i, s := range v.states {
		ahead := i == len(v.states)-1 && stateOffset > s.stateOffset
		if s.stateOffset == stateOffset || ahead {
			return !s.currentAt.IsZero() && now.Sub(s.currentAt) < v.config.Limit
		}
	}
	return false
}

// Freshness returns the freshness to send to another process, whose newest
// freshness was last.
func (v View) Freshness(now time.Time, last protocol.Freshness) protocol.Freshness {
	config := protocol.FreshnessConfig{
		Process:       v.config.Process,
		Stamp:         now.Sub(v.config.Origin),
		EchoedProcess: last.Process(),
		Echo:          last.Stamp(),
		NewestHead:    v.newestHead,
	}
	config.ReadHead, config.ReadAge = v.read.headAndAge(now)
	config.RoundHead, config.RoundAge = v.round.headAndAge(now)
	return protocol.NewFreshness(config)
}

// headAndAge returns the proof's head and age, or protocol.NoProof without one.
func (p proof) headAndAge(now time.Time) (head int64, age time.Duration) {
	if p.at.IsZero() {
		return 0, protocol.NoProof
	}
	return p.head, max(now.Sub(p.at), time.Nanosecond)
}
