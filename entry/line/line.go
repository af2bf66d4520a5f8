// Package line carries attempts to the sides and their answers back: for each
// side one connection, one thread that sends and one that reads.
package line

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/usher"
)

// ErrNoSide means that the register knows no side of that name.
var ErrNoSide = errors.New("no line to this side")

// Usher receives what the lines learn.
type Usher interface {
	PutWithin(ctx context.Context, message usher.Message, limit time.Duration) error
}

// Watch exchanges words on the freshness of what processes know of the log.
type Watch interface {
	Word(now time.Time, last notice.Freshness) notice.Freshness
	Answered(sent time.Time, word notice.Freshness)
}

// Config holds the construction parameters of Lines.
type Config struct {
	Incarnation string        // of this entry
	Capacity    int           // messages in each line's inbox
	ReadWait    time.Duration // longest wait of one read at a side
	Timeout     time.Duration // silence after which a connection is replaced
	Identity    *porter.Identity
	Usher       Usher
	Watch       Watch
	Log         *logrus.Entry
}

// Lines is responsible for having one line to every side of the register.
type Lines struct {
	config Config
	inbox  *ring.Ring
	crew   *crew.Crew

	mu    sync.Mutex
	lines map[string]*line
}

// line is responsible for the threads and the connection of one side.
type line struct {
	side    string
	address string
	token   crew.Token
	sender  *sender
	reader  *reader
	porter  *porter.Line
}

// New returns the supervisor of all lines.
func New(config Config) *Lines {
	l := &Lines{
		config: config,
		inbox:  ring.New(ring.Config{Name: "lines", Capacity: linesCapacity}),
		crew:   crew.New(crew.Config{Name: "lines", Log: config.Log}),
		lines:  make(map[string]*line),
	}
	l.crew.Add(crew.NewDuty(crew.DutyConfig{Name: "lines", Inbox: l.inbox, Handler: l, Period: linesPeriod}))
	return l
}

// Attach sets the receiver of what the lines learn, before they are served.
func (l *Lines) Attach(receiver Usher) { l.config.Usher = receiver }

// Inbox returns the ring that brings new revisions.
func (l *Lines) Inbox() *ring.Ring { return l.inbox }

// Serve runs the lines until ctx ends.
func (l *Lines) Serve(ctx context.Context) error { return l.crew.Serve(ctx) }

// String returns the supervisor's name.
func (l *Lines) String() string { return "lines" }

// Submit hands an attempt to the line of a side without blocking.
func (l *Lines) Submit(side string, submit notice.Submit) error {
	found := l.find(side)
	if found == nil {
		return ErrNoSide
	}
	return found.sender.inbox.Put(submit)
}

// Cancel ends an attempt at a side. A cancellation that is refused is harmless:
// the side drops the answer when its entry does not confirm it.
func (l *Lines) Cancel(side, attempt string) {
	if found := l.find(side); found != nil {
		_ = found.sender.inbox.Put(cancel{attempt: attempt})
	}
}

// Start does nothing: the lines are kept when the duty is restarted.
func (l *Lines) Start(time.Time) error { return nil }

// Tick does nothing.
func (l *Lines) Tick(time.Time) error { return nil }

// Handle takes over the sides of a new revision.
func (l *Lines) Handle(_ time.Time, message any) error {
	revised, ok := message.(registrar.Revised)
	if !ok {
		return nil
	}
	wanted := make(map[string]string)
	for _, instance := range revised.Revision().Inventory().Instances() {
		if instance.Role() == register.Side {
			wanted[instance.Name()] = instance.Link()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, existing := range l.lines {
		if wanted[name] != existing.address {
			l.remove(existing)
		}
	}
	for name, address := range wanted {
		if _, ok := l.lines[name]; !ok {
			l.add(name, address)
		}
	}
	return nil
}

func (l *Lines) find(side string) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines[side]
}

func (l *Lines) add(name, address string) {
	connection := porter.NewLine(porter.LineConfig{Address: address, DialTimeout: l.config.Timeout, Identity: l.config.Identity})
	added := &line{side: name, address: address, porter: connection}
	added.reader = newReader(l.config, name, connection)
	added.sender = newSender(l.config, name, connection, added.reader)
	supervisor := crew.New(crew.Config{Name: "line " + name, Log: l.config.Log})
	supervisor.Add(added.sender)
	supervisor.Add(added.reader)
	added.token = l.crew.Add(supervisor)
	l.lines[name] = added
}

func (l *Lines) remove(existing *line) {
	existing.porter.Close()
	if err := l.crew.Remove(existing.token); err != nil {
		l.config.Log.WithFields(logrus.Fields{"event": "line_removed", "side": existing.side}).WithError(err).Warn("line did not stop")
	}
	delete(l.lines, existing.side)
}
