package peerrpc

import "sync"

// Lines is responsible for one connection to each process that is called.
type Clients struct {
	newClient func(address string) *Client

	mu      sync.Mutex
	clients map[string]*Client
}

// NewLines returns lines that dial makes.
func NewClients(dial func(address string) *Client) *Clients {
	return &Clients{newClient: dial, clients: make(map[string]*Client)}
}

// To returns the line to an address.
func (l *Clients) For(address string) *Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[address] == nil {
		l.clients[address] = l.newClient(address)
	}
	return l.clients[address]
}
