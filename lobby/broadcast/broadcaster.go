// Package broadcast exchanges digests between the lobbies, the processes that
// accept callers' requests: each lobby sends a digest of its state to all others
// several times a second, to those of other failure domains through one of them.
package broadcast

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

const (
	inboxCapacity = 1024                   // capacity of the inbox in messages
	queueCapacity = 64                     // messages that may be queued for one peer, those of this lobby and those passed on
	queueLifetime = 200 * time.Millisecond // time after which a queued message is dropped
	tickPeriod    = 500 * time.Millisecond // time between two checks for expired peers
	callTimeout   = 400 * time.Millisecond // limit on a call to another lobby
	peerExpiry    = 20 * time.Second       // time after which a peer is removed that is not listed and has not called
	putTimeout    = 5 * time.Second        // longest wait for room in the inbox
)

// RPCClient calls one other lobby.
type RPCClient interface {
	Call(method string, args, reply any, limit time.Duration) error
	Close()
}

// Handler handles events and calls from other lobbies.
type Handler interface {
	// DigestReceived handles the digest of another lobby.
	DigestReceived(digest protocol.Digest)
	// LobbyCountChanged handles a new number of lobbies, including this one.
	LobbyCountChanged(lobbies int)
	// RankChanged handles a new rank: the number of live lobbies of this failure domain
	// that read the list of backend servers before this one.
	RankChanged(rank int)
	// ListReceived handles changes of the list of backend servers that another lobby of
	// this failure domain has read.
	ListReceived(update protocol.ListUpdate)

	// Bundle returns the configuration and the list of backend servers that this
	// lobby has read from the platform's store.
	Bundle() protocol.Bundle
}

// Config holds the construction parameters of a Broadcaster.
type Config struct {
	Self    string // RPC address of this lobby
	Domain  string // failure domain of this lobby
	Dial    func(address string) RPCClient
	Handler Handler
	Log     *logrus.Entry
}

// Broadcaster tracks the other lobbies and sends digests to each of them on a
// separate thread.
type Broadcaster struct {
	config     Config
	inbox      *ring.Ring
	supervisor *supervisor.Supervisor
	peers      map[string]*peer
	round      int // number of digests of this lobby sent so far
	rank       int // last one reported to the handler
}

// peersListed carries the addresses of the lobbies that the platform's store
// lists.
type peersListed struct{ addresses []string }

// digestReceived reports that a digest has arrived. passOn is set if this lobby is to
// pass it on in its failure domain.
type digestReceived struct {
	digest protocol.Digest
	passOn bool
}

// outgoing is a message that is queued for a peer.
type outgoing struct {
	message  any
	method   string // name of the peer's method in net/rpc that takes the message
	queuedAt time.Time
}

// stale reports whether the message has waited so long, for a peer that does not answer,
// that a later one of its sender has followed.
func (o outgoing) stale(now time.Time) bool { return now.Sub(o.queuedAt) > queueLifetime }

// New returns a broadcaster without peers.
func New(config Config) *Broadcaster {
	b := &Broadcaster{
		config:     config,
		inbox:      ring.New(ring.Config{Name: "parley", Capacity: inboxCapacity}),
		supervisor: supervisor.New(supervisor.Config{Name: "parley", Log: config.Log}),
		peers:      make(map[string]*peer),
	}
	b.supervisor.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "parley", Inbox: b.inbox, Handler: b, Period: tickPeriod}))
	return b
}

// Inbox returns the ring from which the broadcaster reads its messages.
func (b *Broadcaster) Inbox() *ring.Ring { return b.inbox }

// Serve runs the threads until ctx ends.
func (b *Broadcaster) Serve(ctx context.Context) error { return b.supervisor.Serve(ctx) }

// String returns the supervisor's name.
func (b *Broadcaster) String() string { return "parley" }

// Send queues a digest for all peers without blocking.
func (b *Broadcaster) Send(digest protocol.Digest) error { return b.inbox.Put(digest) }

// ShareList queues changes of the list of backend servers for the other lobbies of this
// failure domain without blocking.
func (b *Broadcaster) ShareList(update protocol.ListUpdate) error { return b.inbox.Put(update) }

// AddPeers takes the RPC addresses of the lobbies that the store lists. Peers that
// are not among them are removed when they expire.
func (b *Broadcaster) AddPeers(addresses []string) error {
	return b.inbox.PutWithin(context.Background(), peersListed{addresses: addresses}, putTimeout)
}

// Start does nothing: the peers are kept when the thread restarts.
func (b *Broadcaster) Start(time.Time) error { return nil }

// Handle processes one message.
func (b *Broadcaster) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case protocol.Digest:
		direct, relays := route(now, b.config.Domain, b.members(), b.round)
		b.round++
		b.send(direct, outgoing{message: m, method: protocol.DigestMethod, queuedAt: now})
		b.send(relays, outgoing{message: m, method: protocol.RelayMethod, queuedAt: now})
	case protocol.ListUpdate:
		b.sendToDomain(outgoing{message: m, method: protocol.ListMethod, queuedAt: now}, b.config.Self)
	case peersListed:
		for _, address := range m.addresses {
			b.peerSeen(now, address)
		}
	case digestReceived:
		b.peerSeen(now, m.digest.Sender())
		if p, ok := b.peers[m.digest.Sender()]; ok {
			p.domain, p.lastDigest = m.digest.Domain(), now
		}
		if m.passOn {
			b.passOn(now, m.digest)
		}
	}
	return nil
}

// passOn sends the digest of a lobby in another failure domain to the lobbies of this
// one.
func (b *Broadcaster) passOn(now time.Time, digest protocol.Digest) {
	b.sendToDomain(outgoing{message: digest, method: protocol.DigestMethod, queuedAt: now}, digest.Sender())
}

// sendToDomain queues a message for the lobbies of this failure domain, except the one at
// an address.
func (b *Broadcaster) sendToDomain(out outgoing, except string) {
	for address, p := range b.peers {
		if p.domain == b.config.Domain && address != except {
			b.send([]string{address}, out)
		}
	}
}

// send queues a message for peers. It is dropped for a peer whose queue is full.
func (b *Broadcaster) send(addresses []string, out outgoing) {
	for _, address := range addresses {
		_ = b.peers[address].messages.Put(out)
	}
}

func (b *Broadcaster) members() []member {
	members := make([]member, 0, len(b.peers))
	for address, p := range b.peers {
		members = append(members, member{address: address, domain: p.domain, lastSeen: p.lastDigest})
	}
	return members
}

// peerSeen records that a lobby is listed or has called, and adds it to the peers
// if it is new.
func (b *Broadcaster) peerSeen(now time.Time, address string) {
	if address == b.config.Self {
		return
	}
	p, ok := b.peers[address]
	if !ok {
		p = newPeer(b.config, address)
		b.peers[address] = p
		p.token = b.supervisor.Add(p)
		b.config.Log.WithFields(logrus.Fields{"event": "lobby_met", "lobby": address, "lobbies": len(b.peers) + 1}).Info("lobby added")
		b.config.Handler.LobbyCountChanged(len(b.peers) + 1)
	}
	p.lastSeen = now
}

// updateRank reports this lobby's rank if it has changed.
func (b *Broadcaster) updateRank(now time.Time) {
	rank := 0
	for address, p := range b.peers {
		if p.domain == b.config.Domain && address < b.config.Self && now.Sub(p.lastDigest) <= relayTimeout {
			rank++
		}
	}
	if rank != b.rank {
		b.rank = rank
		b.config.Handler.RankChanged(rank)
	}
}

// Tick updates the rank and removes the expired peers.
func (b *Broadcaster) Tick(now time.Time) error {
	b.updateRank(now)
	for address, p := range b.peers {
		if now.Sub(p.lastSeen) < peerExpiry {
			continue
		}
		delete(b.peers, address)
		b.config.Log.WithFields(logrus.Fields{"event": "lobby_gone", "lobby": address, "lobbies": len(b.peers) + 1}).Info("lobby removed")
		b.config.Handler.LobbyCountChanged(len(b.peers) + 1)

		if err := b.supervisor.Remove(p.token); err != nil {
			return err
		}
	}
	return nil
}

// peer sends messages to one other lobby. It has its own thread because a call to
// an unreachable lobby blocks until it times out.
type peer struct {
	address  string
	client   RPCClient
	messages *ring.Ring
	token    supervisor.Token
	lastSeen time.Time // time at which it was last listed or its last digest arrived

	domain     string    // failure domain; empty until its first digest has arrived
	lastDigest time.Time // time at which its last digest arrived
}

func newPeer(config Config, address string) *peer {
	return &peer{address: address, client: config.Dial(address), messages: ring.New(ring.Config{Name: "digests", Capacity: queueCapacity})}
}

// String returns the thread's name, which supervision events carry.
func (p *peer) String() string { return "lobby " + p.address }

// Serve sends messages until ctx ends.
func (p *peer) Serve(ctx context.Context) error {
	defer p.client.Close()
	for {
		item, err := p.messages.Take(ctx)
		if err != nil {
			return err
		}
		if out, ok := item.(outgoing); ok && !out.stale(time.Now()) {
			// An error needs no handling: other components detect an unreachable lobby
			// by the absence of its digests.
			_ = p.client.Call(out.method, out.message, &protocol.Nothing{}, callTimeout)
		}
	}
}
