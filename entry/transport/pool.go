// Package transport carries attempts to the sides and answers back. Each side
// that the entry calls has a client: one connection, and a thread each for
// submitting attempts, reading answers and probing the load. A client is created
// on first use and removed when idle, so an entry's memory grows with the sides
// that it uses and not with all sides of the fleet.
package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/entry/router"
)

// ErrUnknownSide is returned for a side that is not in the inventory.
var ErrUnknownSide = errors.New("side is not in the inventory")

// Receiver receives the results of calls to the sides.
type Receiver interface {
	PutWithin(ctx context.Context, message router.Message, limit time.Duration) error
}

// FreshnessExchange supplies the freshness information that is sent with each
// call and processes that of the answer. It states how recently its sender had
// the head of the log.
type FreshnessExchange interface {
	Freshness(now time.Time, last protocol.Freshness) protocol.Freshness
	Answered(sent time.Time, freshness protocol.Freshness)
}

// Config holds the construction parameters of a Pool.
type Config struct {
	Incarnation string        // incarnation of this entry
	Capacity    int           // capacity of the rings of each sender and reader in messages
	ReadWait    time.Duration // longest time for which a side holds a read open until data arrives
	Timeout     time.Duration // time without an answer after which a connection is replaced
	IdleTimeout time.Duration // time without use after which a client is removed
	Identity    *peerrpc.Identity
	Receiver    Receiver
	Freshness   FreshnessExchange
	Log         *logrus.Entry
}

// Pool holds one client for each side that the entry calls and supervises their
// threads.
type Pool struct {
	config     Config
	inbox      *ring.Ring
	supervisor *supervisor.Supervisor

	readNumber atomic.Uint64 // number of the last read, over all clients
	mu         sync.Mutex
	addresses  map[string]string  // IP:port of each side in the inventory, by name
	clients    map[string]*client // by name of the side
}

// client holds the connection to one side and the threads that use it.
type client struct {
	side     string
	address  string
	token    supervisor.Token
	sender   *sender
	reader   *reader
	prober   *prober
	conn     *peerrpc.Client
	lastUsed time.Time
}

// New returns a Pool without clients.
func New(config Config) *Pool {
	p := &Pool{
		config:     config,
		inbox:      ring.New(ring.Config{Name: "lines", Capacity: inboxCapacity}),
		supervisor: supervisor.New(supervisor.Config{Name: "lines", Log: config.Log}),
		clients:    make(map[string]*client),

		addresses: make(map[string]string),
	}
	p.supervisor.Add(supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "lines", Inbox: p.inbox, Handler: p, Period: idleCheckPeriod}))
	return p
}

// SetReceiver sets the receiver of the results. It must be called before Serve.
func (p *Pool) SetReceiver(receiver Receiver) { p.config.Receiver = receiver }

// Inbox returns the ring that receives new revisions of the fleet state.
func (p *Pool) Inbox() *ring.Ring { return p.inbox }

// Serve runs the threads of the pool and its clients until ctx ends.
func (p *Pool) Serve(ctx context.Context) error { return p.supervisor.Serve(ctx) }

// String returns the supervisor's name.
func (p *Pool) String() string { return "lines" }

// Submit queues an attempt for a side without blocking. It returns
// ErrUnknownSide if the side is not in the inventory, and an error if the queue
// is full.
func (p *Pool) Submit(side string, submit protocol.Submit) error {
	return p.put(side, func(c *client) *ring.Ring { return c.sender.inbox }, submit)
}

// Probe queues a query for a side, which answers how it would serve a request.
// It does not block and fails like Submit.
func (p *Pool) Probe(side string, query protocol.Query) error {
	return p.put(side, func(c *client) *ring.Ring { return c.prober.inbox }, query)
}

// Cancel queues the cancellation of an attempt at a side without blocking. A
// full queue is harmless: the side drops an answer that the entry does not
// confirm.
func (p *Pool) Cancel(side, attempt string) {
	_ = p.put(side, func(c *client) *ring.Ring { return c.sender.inbox }, cancel{attempt: attempt})
}

// Open returns the number of clients.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients)
}

// Start does nothing: the clients are kept when the thread is restarted.
func (p *Pool) Start(time.Time) error { return nil }

// Tick removes the clients that have been idle for IdleTimeout.
func (p *Pool) Tick(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		if now.Sub(c.lastUsed) > p.config.IdleTimeout && c.isIdle() {
			p.remove(c)
		}
	}
	return nil
}

// Handle takes the addresses of the sides from a new revision and removes the
// clients of sides that were removed or have a new address.
func (p *Pool) Handle(_ time.Time, message any) error {
	revised, ok := message.(statesync.RevisionChanged)
	if !ok {
		return nil
	}
	addresses := make(map[string]string)
	for _, instance := range revised.Revision().Inventory().Instances() {
		if instance.Role() == fleetstate.RoleSide {
			addresses[instance.Name()] = instance.Address()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	for name, c := range p.clients {
		if addresses[name] != c.address {
			p.remove(c)
		}
	}
	return nil
}

// put queues an item in one of the rings of a side's client, which it creates if
// need be.
func (p *Pool) put(side string, inbox func(c *client) *ring.Ring, item any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[side]
	if !ok {
		address, known := p.addresses[side]
		if !known {
			return ErrUnknownSide
		}
		c = p.add(side, address)
	}
	c.lastUsed = time.Now()
	return inbox(c).Put(item)
}

// isIdle reports whether the client's rings are empty and no attempt is open.
func (c *client) isIdle() bool {
	return c.sender.inbox.Depth()+c.prober.inbox.Depth()+c.reader.inbox.Depth() == 0 && !c.reader.busy.Load()
}

func (p *Pool) add(name, address string) *client {
	conn := peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: p.config.Timeout, Identity: p.config.Identity})
	c := &client{side: name, address: address, conn: conn}
	c.reader = newReader(p.config, name, conn, &p.readNumber)
	c.sender = newSender(p.config, name, conn, c.reader)
	c.prober = newProber(p.config, name, conn, c.sender)
	threads := supervisor.New(supervisor.Config{Name: "line " + name, Log: p.config.Log})
	threads.Add(c.sender)
	threads.Add(c.reader)
	threads.Add(c.prober)
	c.token = p.supervisor.Add(threads)
	p.clients[name] = c
	return c
}

func (p *Pool) remove(c *client) {
	c.conn.Close()
	if err := p.supervisor.Remove(c.token); err != nil {
		p.config.Log.WithFields(logrus.Fields{"event": "line_removed", "side": c.side}).WithError(err).Warn("threads of the side's client did not stop")
	}
	delete(p.clients, c.side)
}
