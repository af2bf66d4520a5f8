// Package roster decides which sides get new work: group membership.
//
// It joins the platform's list of instances, which lags, with what the links to
// the sides show, which is known only of the sides that are used. A side gets
// no new work while the list says that it leaves or is gone, from the time it
// announced its end until another incarnation answers in its place, and from
// the time it did not answer until it does.
package roster

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/register"
)

// Named limits of the roster.
const (
	listLife    = 30 * time.Second       // age at which the platform's list is no longer believed
	firstProbe  = 250 * time.Millisecond // time until the second probe of a side that is closed
	longestWait = 4 * time.Second        // longest time between two of its probes
)

// Core is responsible for the state of every side. It does no input or output;
// its duty carries out the actions that Handle and Tick return.
type Core struct {
	sides    map[string]*side
	listed   map[string]State
	ever     map[string]struct{} // instances that the list has shown
	listedAt time.Time
	closed   []string
}

// side is responsible for what is known of one side.
type side struct {
	address     string
	incarnation string // that answered last
	ended       string // incarnation that announced its end
	silent      bool
	probeAt     time.Time
	wait        time.Duration // until the probe after the next
}

// NewCore returns a core that knows no sides.
func NewCore() *Core {
	return &Core{sides: make(map[string]*side), ever: make(map[string]struct{})}
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case Revised:
		c.revise(m.inventory)
	case Listed:
		c.list(now, m)
	case Answered:
		c.answered(m)
	case Silent:
		if s, ok := c.sides[m.side]; ok && !s.silent {
			s.silent = true
			s.probeSoon(now)
		}
	}
	return c.Tick(now)
}

// Tick reports changes and asks for the probes that are due.
func (c *Core) Tick(now time.Time) []Action {
	var actions []Action
	var closed []string
	for _, name := range slices.Sorted(maps.Keys(c.sides)) {
		s := c.sides[name]
		if s.shut() && !now.Before(s.probeAt) {
			actions = append(actions, Probe{side: name, address: s.address})
			s.probeAt = now.Add(s.wait)
			s.wait = min(2*s.wait, longestWait)
		}
		if s.shut() || c.leaves(now, name) {
			closed = append(closed, name)
		}
	}
	if !slices.Equal(closed, c.closed) {
		c.closed = closed
		actions = append(actions, Close{sides: closed})
	}
	return actions
}

// Alarm returns the time at which the next probe is due, or the zero time.
func (c *Core) Alarm() time.Time {
	var alarm time.Time
	for _, s := range c.sides {
		if s.shut() && (alarm.IsZero() || s.probeAt.Before(alarm)) {
			alarm = s.probeAt
		}
	}
	return alarm
}

// Gone returns the instances that the list showed once and shows no more.
func (c *Core) Gone(now time.Time) []string {
	var gone []string
	for name := range c.ever {
		if _, ok := c.listed[name]; !ok && c.believed(now) {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// shut reports whether the links tell against the side.
func (s *side) shut() bool { return s.silent || (s.ended != "" && s.ended == s.incarnation) }

func (s *side) probeSoon(now time.Time) { s.probeAt, s.wait = now, firstProbe }

func (c *Core) believed(now time.Time) bool {
	return !c.listedAt.IsZero() && now.Sub(c.listedAt) < listLife
}

// leaves reports whether the platform's list tells against an instance. One
// that it has never shown may be new.
func (c *Core) leaves(now time.Time, name string) bool {
	if !c.believed(now) {
		return false
	}
	state, ok := c.listed[name]
	_, known := c.ever[name]
	return state == Leaving || (!ok && known)
}

func (c *Core) list(now time.Time, m Listed) {
	c.listed, c.listedAt = m.states, now
	for name := range m.states {
		c.ever[name] = struct{}{}
	}
}

func (c *Core) answered(m Answered) {
	s, ok := c.sides[m.side]
	if !ok {
		return
	}
	s.incarnation, s.silent = m.incarnation, false
	if m.leaving {
		s.ended = m.incarnation
		s.wait = max(s.wait, firstProbe)
	}
}

// revise takes over the sides of a new inventory and keeps what is known of
// those that stay in their place.
func (c *Core) revise(inventory *register.Inventory) {
	sides := make(map[string]*side)
	for _, instance := range inventory.Instances() {
		if instance.Role() != register.Side {
			continue
		}
		s, ok := c.sides[instance.Name()]
		if !ok || s.address != instance.Link() {
			s = &side{address: instance.Link()}
		}
		sides[instance.Name()] = s
	}
	c.sides = sides
}
