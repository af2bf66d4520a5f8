// Package desk receives the calls of entries: the net/rpc front end of a side.
// Each call is handed to the foyer's ring at once and waits for its answer.
package rpcserver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
	"sesamewell.example/side/dispatcher"
)

// answerLimit bounds the wait for the foyer beyond a read's own wait.
const answerTimeout = 20 * time.Second

// ErrBusy means that the foyer's ring is full; nothing was taken.
var ErrBusy = errors.New(notice.CodeBusy)

// Foyer is the part of the foyer that the desk uses.
type Dispatcher interface {
	Put(message dispatcher.Message) error
}

// Watch exchanges words on the freshness of what processes know of the log.
type FreshnessExchange interface {
	Freshness(now time.Time, last notice.Freshness) notice.Freshness
	Received(word notice.Freshness)
}

// Desk is responsible for the methods that other processes call.
type Server struct {
	dispatcher Dispatcher
	freshness  FreshnessExchange
}

// New returns a desk before a foyer.
func New(foyer Dispatcher, watch FreshnessExchange) *Server {
	return &Server{dispatcher: foyer, freshness: watch}
}

// Submit takes new attempts and cancellations.
func (d *Server) Submit(batch notice.Batch, receipts *notice.Receipts) error {
	d.freshness.Received(batch.Freshness())
	answer, err := d.call(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewBatchReceived(batch, reply) })
	if err != nil {
		return err
	}
	*receipts = answer.(notice.Receipts).WithFreshness(d.freshness.Freshness(time.Now(), batch.Freshness()))
	return nil
}

// Read waits for the next pieces of answers.
func (d *Server) Read(read notice.Read, pages *notice.Pages) error {
	d.freshness.Received(read.Freshness())
	answer, err := d.call(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewReadRequested(read, reply) })
	if err != nil {
		return err
	}
	*pages = answer.(notice.Pages).WithFreshness(d.freshness.Freshness(time.Now(), read.Freshness()))
	return nil
}

// Probe tells how the side would serve some requests.
func (d *Server) Probe(probe notice.Probe, report *notice.Report) error {
	answer, err := d.call(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewProbeRequested(probe, reply) })
	if err != nil {
		return err
	}
	*report = answer.(notice.Report)
	return nil
}

func (d *Server) call(message func(reply *ring.Ring) dispatcher.Message) (any, error) {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := d.dispatcher.Put(message(reply)); err != nil {
		return nil, ErrBusy
	}
	answer, err := reply.TakeWithin(context.Background(), answerTimeout)
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
