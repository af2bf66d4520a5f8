package freshness

import (
	"time"

	"sesamewell.example/commons/protocol"
)

// RPCServer answers the queries of other processes over net/rpc.
type RPCServer struct {
	monitor *Monitor
}

// NewRPCServer returns the net/rpc server for a monitor.
func NewRPCServer(monitor *Monitor) *RPCServer { return &RPCServer{monitor: monitor} }

// Ask records the freshness of the calling process and returns that of this one.
func (s *RPCServer) Ask(freshness protocol.Freshness, answer *protocol.Freshness) error {
	s.monitor.Received(freshness)
	*answer = s.monitor.Freshness(time.Now(), freshness)
	return nil
}
