package ratelimit

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
)

// answerTimeout is the longest wait for the limiter's answer to a peer.
const answerTimeout = 2 * time.Second

// Errors of RPCServer. With either, the caller got no allowance. Their texts are
// sent to peers.
var (
	ErrBusy    = errors.New("the treasurer's ring is full")
	ErrTimeout = errors.New("the treasurer did not answer in time")
)

// Inbox receives the messages of the RPC server.
type Inbox interface {
	Offer(message Message) error
}

// RPCServer handles the net/rpc calls of other entries.
type RPCServer struct {
	inbox Inbox
}

// NewRPCServer returns an RPCServer that passes calls to inbox.
func NewRPCServer(inbox Inbox) *RPCServer { return &RPCServer{inbox: inbox} }

// Lend lends and takes back allowances. It returns ErrBusy if the inbox is full
// and ErrTimeout if there is no answer in time.
func (s *RPCServer) Lend(lend protocol.Lend, loans *protocol.Loans) error {
	answer, err := s.call(func(reply *ring.Ring) Message { return NewLendRequested(lend, reply) })
	if err != nil {
		return err
	}
	*loans = answer.(protocol.Loans)
	return nil
}

// HandOver takes over the buckets of a draining owner. Its errors are those of
// Lend.
func (s *RPCServer) HandOver(handOver protocol.HandOver, taken *protocol.HandedOver) error {
	answer, err := s.call(func(reply *ring.Ring) Message { return NewHandOverRequested(handOver, reply) })
	if err != nil {
		return err
	}
	*taken = answer.(protocol.HandedOver)
	return nil
}

func (s *RPCServer) call(message func(reply *ring.Ring) Message) (any, error) {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := s.inbox.Offer(message(reply)); err != nil {
		return nil, ErrBusy
	}
	answer, err := reply.TakeWithin(context.Background(), answerTimeout)
	if err != nil {
		return nil, err
	}
	if answer == nil {
		return nil, ErrTimeout
	}
	return answer, nil
}
