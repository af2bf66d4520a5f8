// Package parley carries what the lobbies tell each other: each sends a digest
// of itself to all others, several times a second.
package broadcast

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

const (
	inboxCapacity = 256                    // messages in the inbox
	tickPeriod    = time.Second            // between two looks for peers that are gone
	callTimeout   = 400 * time.Millisecond // on one call of another lobby
	peerExpiry    = 20 * time.Second       // without a sign, after which a peer that is not listed is dropped
	putTimeout    = 5 * time.Second        // longest wait for room in the inbox
)

// Line calls one other lobby.
type RPCClient interface {
	Call(method string, args, reply any, limit time.Duration) error
	Close()
}

// Hearer takes what another lobby says.
type Handler interface {
	DigestReceived(digest notice.Digest)
	// Peopled takes the number of lobbies, this one included.
	LobbyCountChanged(lobbies int)

	// Newest returns what this lobby has read from the platform's store.
	Bundle() notice.Bundle
}

// Config holds the construction parameters of a Parley.
type Config struct {
	Self    string // door of this lobby
	Dial    func(address string) RPCClient
	Handler Handler
	Log     *logrus.Entry
}

// Parley is responsible for knowing the other lobbies and for one thread that
// calls each of them.
type Broadcaster struct {
	config Config
	inbox  *ring.Ring
	crew   *crew.Crew
	peers  map[string]*peer
}

// members are the lobbies that the platform's store lists.
type peersListed struct{ addresses []string }

// heard tells that a lobby has called.
type digestReceived struct{ address string }

// New returns a parley without peers.
func New(config Config) *Broadcaster {
	p := &Broadcaster{
		config: config,
		inbox:  ring.New(ring.Config{Name: "parley", Capacity: inboxCapacity}),
		crew:   crew.New(crew.Config{Name: "parley", Log: config.Log}),
		peers:  make(map[string]*peer),
	}
	p.crew.Add(crew.NewDuty(crew.DutyConfig{Name: "parley", Inbox: p.inbox, Handler: p, Period: tickPeriod}))
	return p
}

// Inbox returns the ring that feeds the parley.
func (p *Broadcaster) Inbox() *ring.Ring { return p.inbox }

// Serve runs the threads until ctx ends.
func (p *Broadcaster) Serve(ctx context.Context) error { return p.crew.Serve(ctx) }

// String returns the supervisor's name.
func (p *Broadcaster) String() string { return "parley" }

// Send hands a digest over for all peers, without blocking.
func (p *Broadcaster) Send(digest notice.Digest) error { return p.inbox.Put(digest) }

// Members takes the doors of all lobbies that the store lists.
func (p *Broadcaster) AddPeers(doors []string) error {
	return p.inbox.PutWithin(context.Background(), peersListed{addresses: doors}, putTimeout)
}

// Start does nothing: the peers outlive a restart of the duty.
func (p *Broadcaster) Start(time.Time) error { return nil }

// Handle processes one message.
func (p *Broadcaster) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case notice.Digest:
		for _, peer := range p.peers {
			// A peer that has not taken the last digest does without this one.
			_ = peer.digests.Put(m)
		}
	case peersListed:
		for _, door := range m.addresses {
			p.peerSeen(now, door)
		}
	case digestReceived:
		p.peerSeen(now, m.address)
	}
	return nil
}

// meet notes a sign of a lobby.
func (p *Broadcaster) peerSeen(now time.Time, door string) {
	if door == p.config.Self {
		return
	}
	known, ok := p.peers[door]
	if !ok {
		known = newPeer(p.config, door)
		p.peers[door] = known
		known.token = p.crew.Add(known)
		p.config.Log.WithFields(logrus.Fields{"event": "lobby_met", "lobby": door, "lobbies": len(p.peers) + 1}).Info("another lobby is known")
		p.config.Handler.LobbyCountChanged(len(p.peers) + 1)
	}
	known.lastSeen = now
}

// Tick drops the peers that have given no sign for long.
func (p *Broadcaster) Tick(now time.Time) error {
	for door, known := range p.peers {
		if now.Sub(known.lastSeen) < peerExpiry {
			continue
		}
		delete(p.peers, door)
		p.config.Log.WithFields(logrus.Fields{"event": "lobby_gone", "lobby": door, "lobbies": len(p.peers) + 1}).Info("another lobby is gone")
		p.config.Handler.LobbyCountChanged(len(p.peers) + 1)

		if err := p.crew.Remove(known.token); err != nil {
			return err
		}
	}
	return nil
}

// peer is responsible for the calls to one other lobby: a thread of its own,
// since one that is cut off lets its caller wait.
type peer struct {
	address  string
	client   RPCClient
	digests  *ring.Ring
	token    crew.Token
	lastSeen time.Time
}

func newPeer(config Config, door string) *peer {
	return &peer{address: door, client: config.Dial(door), digests: ring.New(ring.Config{Name: "digests", Capacity: 1})}
}

// String returns the thread's name.
func (p *peer) String() string { return "lobby " + p.address }

// Serve sends digests until ctx ends.
func (p *peer) Serve(ctx context.Context) error {
	defer p.client.Close()
	for {
		item, err := p.digests.Take(ctx)
		if err != nil {
			return err
		}
		if digest, ok := item.(notice.Digest); ok {
			// A peer that cannot be reached is known by its own silence.
			_ = p.client.Call(notice.TellMethod, digest, &notice.Nothing{}, callTimeout)
		}
	}
}

// Desk is responsible for the calls of other lobbies.
type RPCServer struct {
	broadcaster *Broadcaster
}

// NewDesk returns a desk before a parley.
func NewRPCServer(p *Broadcaster) *RPCServer { return &RPCServer{broadcaster: p} }

// Tell takes the digest of another lobby.
func (d *RPCServer) Tell(digest notice.Digest, _ *notice.Nothing) error {
	d.broadcaster.config.Handler.DigestReceived(digest)
	return d.broadcaster.inbox.Put(digestReceived{address: digest.Sender()})
}

// Bundle hands out what this lobby has read from the platform's store.
func (d *RPCServer) Bundle(_ notice.Nothing, bundle *notice.Bundle) error {
	*bundle = d.broadcaster.config.Handler.Bundle()
	return nil
}
