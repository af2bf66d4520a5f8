package loader

import (
	"context"

	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
)

// RPCServer serves the calls of lobbies.
type RPCServer struct {
	inbox *ring.Ring
}

// NewRPCServer returns a server that passes the calls to a loader.
func NewRPCServer(l *Loader) *RPCServer { return &RPCServer{inbox: l.inbox} }

// Assign queues a plan. It does not wait until the plan is applied.
func (s *RPCServer) Assign(assign protocol.Assign, _ *protocol.Nothing) error {
	return s.inbox.Put(NewPlanAssigned(assign))
}

// Fetch requests an adapter and waits until it is loaded or cannot be in time. It
// returns the time for which the adapter stays loaded, 0 if it is not loaded.
func (s *RPCServer) Fetch(fetch protocol.Fetch, fetched *protocol.Fetched) error {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := s.inbox.Put(NewAdapterRequested(fetch, reply)); err != nil {
		return err
	}
	answer, err := reply.TakeWithin(context.Background(), fetchTimeout)
	if err != nil {
		return err
	}
	if f, ok := answer.(protocol.Fetched); ok {
		*fetched = f
	}
	return nil
}
