package ratelimit

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
)

// answerLimit bounds the wait for the treasurer's answer to a peer.
const answerTimeout = 2 * time.Second

// Errors of the service. Nothing was lent.
var (
	ErrBusy    = errors.New("the treasurer's ring is full")
	ErrTimeout = errors.New("the treasurer did not answer in time")
)

// Inbox takes the messages of the service.
type Inbox interface {
	Offer(message Message) error
}

// Treasury is responsible for the methods that other entries call.
type RPCServer struct {
	inbox Inbox
}

// NewTreasury returns the service before a treasurer.
func NewRPCServer(inbox Inbox) *RPCServer { return &RPCServer{inbox: inbox} }

// Lend borrows and returns allowances.
func (t *RPCServer) Lend(lend notice.Lend, loans *notice.Loans) error {
	answer, err := t.call(func(reply *ring.Ring) Message { return NewLendRequested(lend, reply) })
	if err != nil {
		return err
	}
	*loans = answer.(notice.Loans)
	return nil
}

// HandOver takes over the buckets of a leaving owner.
func (t *RPCServer) HandOver(handOver notice.HandOver, taken *notice.HandedOver) error {
	answer, err := t.call(func(reply *ring.Ring) Message { return NewHandOverRequested(handOver, reply) })
	if err != nil {
		return err
	}
	*taken = answer.(notice.HandedOver)
	return nil
}

func (t *RPCServer) call(message func(reply *ring.Ring) Message) (any, error) {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := t.inbox.Offer(message(reply)); err != nil {
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
