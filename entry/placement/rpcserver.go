package placement

import "sesamewell.example/commons/protocol"

// RPCServer serves the method by which other entries poll the planner.
type RPCServer struct {
	planner *Planner
}

// NewRPCServer returns an RPCServer for a planner.
func NewRPCServer(planner *Planner) *RPCServer { return &RPCServer{planner: planner} }

// Pulse is the net/rpc method that returns the incarnation of the planner that
// runs in this process.
func (s *RPCServer) Pulse(_ protocol.StockAsk, answer *protocol.Pulse) error {
	*answer = protocol.NewPulse(protocol.PulseConfig{Planner: s.planner.incarnation.Load().(string)})
	return nil
}
