package broadcast

import "sesamewell.example/commons/protocol"

// RPCServer serves the calls of other lobbies.
type RPCServer struct {
	broadcaster *Broadcaster
}

// NewRPCServer returns a server that passes the calls to a broadcaster.
func NewRPCServer(b *Broadcaster) *RPCServer { return &RPCServer{broadcaster: b} }

// Tell handles the digest of another lobby. It returns an error if the inbox is
// full.
func (s *RPCServer) Tell(digest protocol.Digest, _ *protocol.Nothing) error {
	s.broadcaster.config.Handler.DigestReceived(digest)
	return s.broadcaster.inbox.Put(digestReceived{digest: digest})
}

// Relay handles the digest of a lobby in another failure domain and passes it on to
// the lobbies of this one. It returns an error if the inbox is full.
func (s *RPCServer) Relay(digest protocol.Digest, _ *protocol.Nothing) error {
	s.broadcaster.config.Handler.DigestReceived(digest)
	return s.broadcaster.inbox.Put(digestReceived{digest: digest, passOn: true})
}

// List handles changes of the list of backend servers that another lobby of this failure
// domain has read.
func (s *RPCServer) List(update protocol.ListUpdate, _ *protocol.Nothing) error {
	s.broadcaster.config.Handler.ListReceived(update)
	return nil
}

// Bundle returns the configuration and the list of backend servers that this
// lobby has read from the platform's store.
func (s *RPCServer) Bundle(_ protocol.Nothing, bundle *protocol.Bundle) error {
	*bundle = s.broadcaster.config.Handler.Bundle()
	return nil
}
