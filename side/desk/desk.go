// Package desk receives the calls of entries: the net/rpc front end of a side.
// Each call is handed to the foyer's ring at once and waits for its answer.
package desk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
	"sesamewell.example/side/dispatcher"
)

// answerLimit bounds the wait for the foyer beyond a read's own wait.
const answerLimit = 20 * time.Second

// ErrBusy means that the foyer's ring is full; nothing was taken.
var ErrBusy = errors.New(notice.CodeBusy)

// Foyer is the part of the foyer that the desk uses.
type Foyer interface {
	Put(message dispatcher.Message) error
}

// Watch exchanges words on the freshness of what processes know of the log.
type Watch interface {
	Freshness(now time.Time, last notice.Freshness) notice.Freshness
	Received(word notice.Freshness)
}

// Desk is responsible for the methods that other processes call.
type Desk struct {
	foyer Foyer
	watch Watch
}

// New returns a desk before a foyer.
func New(foyer Foyer, watch Watch) *Desk { return &Desk{foyer: foyer, watch: watch} }

// Submit takes new attempts and cancellations.
func (d *Desk) Submit(batch notice.Batch, receipts *notice.Receipts) error {
	d.watch.Received(batch.Freshness())
	answer, err := d.ask(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewBatchReceived(batch, reply) })
	if err != nil {
		return err
	}
	*receipts = answer.(notice.Receipts).WithFreshness(d.watch.Freshness(time.Now(), batch.Freshness()))
	return nil
}

// Read waits for the next pieces of answers.
func (d *Desk) Read(read notice.Read, pages *notice.Pages) error {
	d.watch.Received(read.Freshness())
	answer, err := d.ask(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewReadRequested(read, reply) })
	if err != nil {
		return err
	}
	*pages = answer.(notice.Pages).WithFreshness(d.watch.Freshness(time.Now(), read.Freshness()))
	return nil
}

// Probe tells how the side would serve some requests.
func (d *Desk) Probe(probe notice.Probe, report *notice.Report) error {
	answer, err := d.ask(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewProbeRequested(probe, reply) })
	if err != nil {
		return err
	}
	*report = answer.(notice.Report)
	return nil
}

func (d *Desk) ask(message func(reply *ring.Ring) dispatcher.Message) (any, error) {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := d.foyer.Put(message(reply)); err != nil {
		return nil, ErrBusy
	}
	answer, err := reply.TakeWithin(context.Background(), answerLimit)
	if err != nil {
		return nil, err
	}
	if answer == nil {
		return nil, errors.New("the side did not answer in time")
	}
	if refusal, ok := answer.(error); ok {
		return nil, refusal
	}
	return answer, nil
}
