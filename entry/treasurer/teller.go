package treasurer

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
	tellerCapacity = 16 // calls to one peer that may wait
	answerHandOver = 5 * time.Second
)

// peers is responsible for one thread with one connection for each entry that
// is called. Its methods belong to the treasurer's thread.
type peers struct {
	config   Config
	receiver receiver
	crew     *crew.Crew
	tellers  map[string]*teller
}

// receiver takes what the tellers learn.
type receiver interface {
	PutWithin(ctx context.Context, message Message, limit time.Duration) error
}

func newPeers(config Config, to receiver) *peers {
	return &peers{
		config:   config,
		receiver: to,
		crew:     crew.New(crew.Config{Name: "tellers", Log: config.Log}),
		tellers:  make(map[string]*teller),
	}
}

// Serve runs the threads until ctx ends.
func (p *peers) Serve(ctx context.Context) error { return p.crew.Serve(ctx) }

// String returns the supervisor's name.
func (p *peers) String() string { return "tellers" }

// lend hands a call for allowances to the peer's thread without blocking.
func (p *peers) lend(peer, address string, lend notice.Lend) error {
	return p.teller(peer, address).inbox.Put(lend)
}

// handOver hands the buckets of a claim to the peer's thread without blocking.
func (p *peers) handOver(peer, address string, handOver notice.HandOver) error {
	return p.teller(peer, address).inbox.Put(handOver)
}

func (p *peers) teller(peer, address string) *teller {
	existing, ok := p.tellers[peer]
	if ok && existing.address == address {
		return existing
	}
	if ok {
		existing.line.Close()
		if err := p.crew.Remove(existing.token); err != nil {
			p.config.Log.WithFields(logrus.Fields{"event": "teller_removed", "peer": peer}).WithError(err).Warn("thread did not stop")
		}
	}
	added := &teller{
		peer:     peer,
		address:  address,
		line:     porter.NewLine(porter.LineConfig{Address: address, DialTimeout: callLimit, Identity: p.config.Identity}),
		inbox:    ring.New(ring.Config{Name: "teller " + peer, Capacity: tellerCapacity}),
		receiver: p.receiver,
	}
	added.token = p.crew.Add(added)
	p.tellers[peer] = added
	return added
}

// teller is responsible for the calls to one peer.
type teller struct {
	peer     string
	address  string
	token    crew.Token
	line     *porter.Line
	inbox    *ring.Ring
	receiver receiver
}

// String returns the thread's name.
func (t *teller) String() string { return "teller " + t.peer }

// Serve makes one call after the other until ctx ends.
func (t *teller) Serve(ctx context.Context) error {
	for {
		item, err := t.inbox.Take(ctx)
		if err != nil {
			return err
		}
		if err := t.receiver.PutWithin(ctx, t.call(item), answerHandOver); err != nil {
			return err
		}
	}
}

func (t *teller) call(item any) Message {
	if handOver, ok := item.(notice.HandOver); ok {
		var answer notice.HandedOver
		err := t.line.Call(notice.HandOverMethod, handOver, &answer, callLimit)
		return NewHandedOver(handOver.Role(), err == nil && answer.Taken())
	}
	lend := item.(notice.Lend)
	var loans notice.Loans
	err := t.line.Call(notice.LendMethod, lend, &loans, callLimit)
	return NewLent(t.peer, lend.Serial(), loans, err)
}
