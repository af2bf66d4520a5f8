package peerrpc

import "sync"

// Clients holds one client for each address that is called.
type Clients struct {
	newClient func(address string) *Client

	mu      sync.Mutex
	clients map[string]*Client
}

// NewClients returns an empty set, which creates clients with newClient.
func NewClients(newClient func(address string) *Client) *Clients {
	return &Clients{newClient: newClient, clients: make(map[string]*Client)}
}

// For returns the client for address, which it creates on first use.
func (c *Clients) For(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[address] == nil {
		c.clients[address] = c.newClient(address)
	}
	return c.clients[address]
}
