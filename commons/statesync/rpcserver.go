package statesync

// RPCServer serves the fleet state to other processes over net/rpc.
type RPCServer struct {
	syncer *Syncer
}

// NewRPCServer returns the net/rpc server for a syncer.
func NewRPCServer(syncer *Syncer) *RPCServer { return &RPCServer{syncer: syncer} }

// Fetch answers with a snapshot in JSON if this process has applied the record at
// offset from, else with no bytes.
func (s *RPCServer) Fetch(from int64, answer *[]byte) error {
	if s.syncer.Revision().Offset() <= from {
		return nil
	}
	data, err := s.syncer.Snapshot().Encode()
	*answer = data
	return err
}
