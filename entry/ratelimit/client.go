package ratelimit

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
)

// Limits of the threads that call other entries.
const (
	clientQueueCapacity = 16              // maximum number of queued calls to one peer
	resultPutTimeout    = 5 * time.Second // longest wait for room in the limiter's inbox
)

// clientPool runs one thread with one connection for each entry that is called.
// Its methods other than Serve and String are called only from the limiter's
// thread.
type clientPool struct {
	config     Config
	receiver   resultReceiver
	supervisor *supervisor.Supervisor
	clients    map[string]*client
}

// resultReceiver receives the results of calls.
type resultReceiver interface {
	PutWithin(ctx context.Context, message Message, limit time.Duration) error
}

func newClientPool(config Config, receiver resultReceiver) *clientPool {
	return &clientPool{
		config:     config,
		receiver:   receiver,
		supervisor: supervisor.New(supervisor.Config{Name: "tellers", Log: config.Log}),
		clients:    make(map[string]*client),
	}
}

// Serve runs the threads until ctx ends.
func (p *clientPool) Serve(ctx context.Context) error { return p.supervisor.Serve(ctx) }

// String returns the supervisor's name.
func (p *clientPool) String() string { return "tellers" }

// lend queues a Lend to a peer without blocking.
func (p *clientPool) lend(peer, address string, lend protocol.Lend) error {
	return p.client(peer, address).inbox.Put(lend)
}

// handOver queues a HandOver to a peer without blocking.
func (p *clientPool) handOver(peer, address string, handOver protocol.HandOver) error {
	return p.client(peer, address).inbox.Put(handOver)
}

// client returns the client of a peer. It starts one if there is none and
// replaces it if the peer's address has changed.
func (p *clientPool) client(peer, address string) *client {
	existing, ok := p.clients[peer]
	if ok && existing.address == address {
		return existing
	}
	if ok {
		existing.conn.Close()
		if err := p.supervisor.Remove(existing.token); err != nil {
			p.config.Log.WithFields(logrus.Fields{"event": "teller_removed", "peer": peer}).WithError(err).Warn("client thread did not stop")
		}
	}
	added := &client{
		peer:     peer,
		address:  address,
		conn:     peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: callTimeout, Identity: p.config.Identity}),
		inbox:    ring.New(ring.Config{Name: "teller " + peer, Capacity: clientQueueCapacity}),
		receiver: p.receiver,
	}
	added.token = p.supervisor.Add(added)
	p.clients[peer] = added
	return added
}

// client calls one peer.
type client struct {
	peer     string
	address  string
	token    supervisor.Token
	conn     *peerrpc.Client
	inbox    *ring.Ring
	receiver resultReceiver
}

// String returns the thread's name, which supervision events carry.
func (c *client) String() string { return "teller " + c.peer }

// Serve makes the queued calls one at a time until ctx ends.
func (c *client) Serve(ctx context.Context) error {
	for {
		item, err := c.inbox.Take(ctx)
		if err != nil {
			return err
		}
		if err := c.receiver.PutWithin(ctx, c.call(item), resultPutTimeout); err != nil {
			return err
		}
	}
}

func (c *client) call(item any) Message {
	if handOver, ok := item.(protocol.HandOver); ok {
		var answer protocol.HandedOver
		err := c.conn.Call(protocol.HandOverMethod, handOver, &answer, callTimeout)
		return NewHandOverAnswered(handOver.Role(), err == nil && answer.Accepted())
	}
	lend := item.(protocol.Lend)
	var loans protocol.Loans
	err := c.conn.Call(protocol.LendMethod, lend, &loans, callTimeout)
	return NewLendAnswered(c.peer, lend.Serial(), loans, err)
}
