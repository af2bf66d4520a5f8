// Package rpcserver serves the net/rpc calls by which entries submit attempts to a
// side and read their answers. Each call puts one message into the dispatcher's
// ring and waits for the reply.
package rpcserver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/side/dispatcher"
)

// answerTimeout is the longest wait for the dispatcher's reply. It exceeds the
// time for which the dispatcher holds a read open.
const answerTimeout = 20 * time.Second

// ErrBusy is returned if the dispatcher's ring is full. The call had no effect.
var ErrBusy = errors.New(protocol.CodeSideOverloaded)

// Dispatcher queues and runs attempts. Put does not block.
type Dispatcher interface {
	Put(message dispatcher.Message) error
}

// FreshnessExchange processes the freshness information of each call and supplies
// that of its answer. It states how recently its sender had the head of the log.
type FreshnessExchange interface {
	Freshness(now time.Time, last protocol.Freshness) protocol.Freshness
	Received(freshness protocol.Freshness)
}

// Server handles the net/rpc calls of entries.
type Server struct {
	dispatcher Dispatcher
	freshness  FreshnessExchange
}

// New returns a server that passes calls on to a dispatcher.
func New(to Dispatcher, freshness FreshnessExchange) *Server {
	return &Server{dispatcher: to, freshness: freshness}
}

// Submit passes on new attempts and cancellations. The receipts state for each
// attempt whether it was admitted. It returns ErrBusy if the dispatcher's ring is
// full.
func (s *Server) Submit(batch protocol.Batch, receipts *protocol.Receipts) error {
	s.freshness.Received(batch.Freshness())
	answer, err := s.call(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewBatchReceived(batch, reply) })
	if err != nil {
		return err
	}
	*receipts = answer.(protocol.Receipts).WithFreshness(s.freshness.Freshness(time.Now(), batch.Freshness()))
	return nil
}

// Read returns the next pages of answers and waits until there are some. It returns
// ErrBusy if the dispatcher's ring is full.
func (s *Server) Read(read protocol.Read, pages *protocol.Pages) error {
	s.freshness.Received(read.Freshness())
	answer, err := s.call(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewReadRequested(read, reply) })
	if err != nil {
		return err
	}
	*pages = answer.(protocol.Pages).WithFreshness(s.freshness.Freshness(time.Now(), read.Freshness()))
	return nil
}

// Probe reports how soon the side could run some requests. It returns ErrBusy if
// the dispatcher's ring is full.
func (s *Server) Probe(probe protocol.Probe, report *protocol.Report) error {
	answer, err := s.call(func(reply *ring.Ring) dispatcher.Message { return dispatcher.NewProbeRequested(probe, reply) })
	if err != nil {
		return err
	}
	*report = answer.(protocol.Report)
	return nil
}

func (s *Server) call(message func(reply *ring.Ring) dispatcher.Message) (any, error) {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := s.dispatcher.Put(message(reply)); err != nil {
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
