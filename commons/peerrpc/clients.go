package peerrpc

import (
	"container/list"
	"sync"
)

// maxClients is the number of clients that a set holds. The one that was used least recently
// makes way for another.
const maxClients = 1024

// Clients holds one client for each address that is called.
type Clients struct {
	newClient func(address string) *Client

	mu      sync.Mutex
	order   *list.List               // of *Client, the last used first
	clients map[string]*list.Element // by address
}

// NewClients returns an empty set, which creates clients with newClient.
func NewClients(newClient func(address string) *Client) *Clients {
	return &Clients{newClient: newClient, order: list.New(), clients: make(map[string]*list.Element)}
}

// For returns the client for address, which it creates on first use.
func (c *Clients) For(address string) *Client {
	client, displaced := c.use(address)
	if displaced != nil {
		displaced.Close()
	}
	return client
}

// use returns the client for address as the last used one, and the client that made way for it,
// if any.
func (c *Clients) use(address string) (client, displaced *Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if used, ok := c.clients[address]; ok {
		c.order.MoveToFront(used)
		return used.Value.(*Client), nil
	}
	if c.order.Len() >= maxClients {
		displaced = c.order.Remove(c.order.Back()).(*Client)
		delete(c.clients, displaced.config.Address)
	}
	client = c.newClient(address)
	c.clients[address] = c.order.PushFront(client)
	return client, displaced
}
