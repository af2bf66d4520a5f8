package ratelimit

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/ring"
)

// Named limits of the threads beside the core.
const (
	clientQueueCapacity = 16 // calls to one peer that may wait
	resultPutTimeout    = 5 * time.Second
)

// peers is responsible for one thread with one connection for each entry that
// is called. Its methods belong to the treasurer's thread.
type clientPool struct {
	config   Config
	receiver resultReceiver
	crew     *crew.Crew
	clients  map[string]*client
}

// receiver takes what the tellers learn.
type resultReceiver interface {
	PutWithin(ctx context.Context, message Message, limit time.Duration) error
}

func newClientPool(config Config, to resultReceiver) *clientPool {
	return &clientPool{
		config:   config,
		receiver: to,
		crew:     crew.New(crew.Config{Name: "tellers", Log: config.Log}),
		clients:  make(map[string]*client),
	}
}

// Serve runs the threads until ctx ends.
func (p *clientPool) Serve(ctx context.Context) error { return p.crew.Serve(ctx) }

// String returns the supervisor's name.
func (p *clientPool) String() string { return "tellers" }

// lend hands a call for allowances to the peer's thread without blocking.
func (p *clientPool) lend(peer, address string, lend notice.Lend) error {
	return p.client(peer, address).inbox.Put(lend)
}

// handOver hands the buckets of a claim to the peer's thread without blocking.
func (p *clientPool) handOver(peer, address string, handOver notice.HandOver) error {
	return p.client(peer, address).inbox.Put(handOver)
}

func (p *clientPool) client(peer, address string) *client {
	existing, ok := p.clients[peer]
	if ok && existing.address == address {
		return existing
	}
	if ok {
		existing.conn.Close()
		if err := p.crew.Remove(existing.token); err != nil {
			p.config.Log.WithFields(logrus.Fields{"event": "teller_removed", "peer": peer}).WithError(err).Warn("thread did not stop")
		}
	}
	added := &client{
		peer:     peer,
		address:  address,
		conn:     porter.NewLine(porter.LineConfig{Address: address, DialTimeout: callTimeout, Identity: p.config.Identity}),
		inbox:    ring.New(ring.Config{Name: "teller " + peer, Capacity: clientQueueCapacity}),
		receiver: p.receiver,
	}
	added.token = p.crew.Add(added)
	p.clients[peer] = added
	return added
}

// teller is responsible for the calls to one peer.
type client struct {
	peer     string
	address  string
	token    crew.Token
	conn     *porter.Line
	inbox    *ring.Ring
	receiver resultReceiver
}

// String returns the thread's name.
func (t *client) String() string { return "teller " + t.peer }

// Serve makes one call after the other until ctx ends.
func (t *client) Serve(ctx context.Context) error {
	for {
		item, err := t.inbox.Take(ctx)
		if err != nil {
			return err
		}
		if err := t.receiver.PutWithin(ctx, t.call(item), resultPutTimeout); err != nil {
			return err
		}
	}
}

func (t *client) call(item any) Message {
	if handOver, ok := item.(notice.HandOver); ok {
		var answer notice.HandedOver
		err := t.conn.Call(notice.HandOverMethod, handOver, &answer, callTimeout)
		return NewHandOverAnswered(handOver.Role(), err == nil && answer.Taken())
	}
	lend := item.(notice.Lend)
	var loans notice.Loans
	err := t.conn.Call(notice.LendMethod, lend, &loans, callTimeout)
	return NewLendAnswered(t.peer, lend.Serial(), loans, err)
}
