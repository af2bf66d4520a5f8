// Package line carries attempts to the sides and their answers back: for each
// side in use one connection, one thread that sends, one that reads and one
// that probes. A line is made on first use and removed when it is idle, so an
// entry's memory follows its traffic and not the number of sides.
package transport

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// ErrNoSide means that the register knows no side of that name.
var ErrUnknownSide = errors.New("no line to this side")

// Usher receives what the lines learn.
type Receiver interface {
	PutWithin(ctx context.Context, message router.Message, limit time.Duration) error
}

// Watch exchanges words on the freshness of what processes know of the log.
type FreshnessExchange interface {
	Word(now time.Time, last notice.Freshness) notice.Freshness
	Answered(sent time.Time, word notice.Freshness)
}

// Config holds the construction parameters of Lines.
type Config struct {
	Incarnation string        // of this entry
	Capacity    int           // messages in each line's inbox
	ReadWait    time.Duration // longest wait of one read at a side
	Timeout     time.Duration // silence after which a connection is replaced
	IdleTimeout time.Duration // time without use after which a line is removed
	Identity    *porter.Identity
	Receiver    Receiver
	Freshness   FreshnessExchange
	Log         *logrus.Entry
}

// Lines is responsible for having one line to every side in use.
type Pool struct {
	config Config
	inbox  *ring.Ring
	crew   *crew.Crew

	readNumber atomic.Uint64 // number of the last read, over all lines
	mu         sync.Mutex
	addresses  map[string]string // of all sides in the register
	clients    map[string]*client
}

// line is responsible for the threads and the connection of one side.
type client struct {
	side     string
	address  string
	token    crew.Token
	sender   *sender
	reader   *reader
	prober   *prober
	conn     *porter.Line
	lastUsed time.Time
}

// New returns the supervisor of all lines.
func New(config Config) *Pool {
	l := &Pool{
		config:  config,
		inbox:   ring.New(ring.Config{Name: "lines", Capacity: inboxCapacity}),
		crew:    crew.New(crew.Config{Name: "lines", Log: config.Log}),
		clients: make(map[string]*client),

		addresses: make(map[string]string),
	}
	l.crew.Add(crew.NewDuty(crew.DutyConfig{Name: "lines", Inbox: l.inbox, Handler: l, Period: idleCheckPeriod}))
	return l
}

// Attach sets the receiver of what the lines learn, before they are served.
func (l *Pool) SetReceiver(receiver Receiver) { l.config.Receiver = receiver }

// Inbox returns the ring that brings new revisions.
func (l *Pool) Inbox() *ring.Ring { return l.inbox }

// Serve runs the lines until ctx ends.
func (l *Pool) Serve(ctx context.Context) error { return l.crew.Serve(ctx) }

// String returns the supervisor's name.
func (l *Pool) String() string { return "lines" }

// Submit hands an attempt to the line of a side without blocking.
func (l *Pool) Submit(side string, submit notice.Submit) error {
	return l.put(side, func(found *client) *ring.Ring { return found.sender.inbox }, submit)
}

// Probe asks a side how it would serve a request, without blocking.
func (l *Pool) Probe(side string, query notice.Query) error {
	return l.put(side, func(found *client) *ring.Ring { return found.prober.inbox }, query)
}

// Cancel ends an attempt at a side. A cancellation that is refused is harmless:
// the side drops the answer when its entry does not confirm it.
func (l *Pool) Cancel(side, attempt string) {
	_ = l.put(side, func(found *client) *ring.Ring { return found.sender.inbox }, cancel{attempt: attempt})
}

// Open returns the number of lines in use.
func (l *Pool) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.clients)
}

// Start does nothing: the lines are kept when the duty is restarted.
func (l *Pool) Start(time.Time) error { return nil }

// Tick removes the lines that have been idle.
func (l *Pool) Tick(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, existing := range l.clients {
		if now.Sub(existing.lastUsed) > l.config.IdleTimeout && existing.isIdle() {
			l.remove(existing)
		}
	}
	return nil
}

// Handle takes over the sides of a new revision.
func (l *Pool) Handle(_ time.Time, message any) error {
	revised, ok := message.(registrar.Revised)
	if !ok {
		return nil
	}
	addresses := make(map[string]string)
	for _, instance := range revised.Revision().Inventory().Instances() {
		if instance.Role() == register.Side {
			addresses[instance.Name()] = instance.Link()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = addresses
	for name, existing := range l.clients {
		if addresses[name] != existing.address {
			l.remove(existing)
		}
	}
	return nil
}

// put hands an item to one of the rings of a side's line.
func (l *Pool) put(side string, inbox func(found *client) *ring.Ring, item any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.clients[side]
	if !ok {
		address, known := l.addresses[side]
		if !known {
			return ErrUnknownSide
		}
		found = l.add(side, address)
	}
	found.lastUsed = time.Now()
	return inbox(found).Put(item)
}

// quiet reports whether nothing waits in the line and no answer is awaited.
func (l *client) isIdle() bool {
	return l.sender.inbox.Depth()+l.prober.inbox.Depth()+l.reader.inbox.Depth() == 0 && !l.reader.busy.Load()
}

func (l *Pool) add(name, address string) *client {
	connection := porter.NewLine(porter.LineConfig{Address: address, DialTimeout: l.config.Timeout, Identity: l.config.Identity})
	added := &client{side: name, address: address, conn: connection}
	added.reader = newReader(l.config, name, connection, &l.readNumber)
	added.sender = newSender(l.config, name, connection, added.reader)
	added.prober = newProber(l.config, name, connection, added.sender)
	supervisor := crew.New(crew.Config{Name: "line " + name, Log: l.config.Log})
	supervisor.Add(added.sender)
	supervisor.Add(added.reader)
	supervisor.Add(added.prober)
	added.token = l.crew.Add(supervisor)
	l.clients[name] = added
	return added
}

func (l *Pool) remove(existing *client) {
	existing.conn.Close()
	if err := l.crew.Remove(existing.token); err != nil {
		l.config.Log.WithFields(logrus.Fields{"event": "line_removed", "side": existing.side}).WithError(err).Warn("line did not stop")
	}
	delete(l.clients, existing.side)
}
