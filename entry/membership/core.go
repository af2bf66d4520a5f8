// Package roster decides which sides get new work: group membership.
//
// It joins the platform's list of instances, which lags, with what the links to
// the sides show, which is known only of the sides that are used. A side gets
// no new work while the list says that it leaves or is gone, from the time it
// announced its end until another incarnation answers in its place, and from
// the time it did not answer until it does.
package membership

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/register"
)

// Named limits of the roster.
const (
	listMaxAge    = 30 * time.Second       // age at which the platform's list is no longer believed
	minProbeDelay = 250 * time.Millisecond // time until the second probe of a side that is closed
	maxProbeDelay = 4 * time.Second        // longest time between two of its probes
)

// Core is responsible for the state of every side. It does no input or output;
// its duty carries out the actions that Handle and Tick return.
type Core struct {
	sides        map[string]*side
	listedStates map[string]State
	everListed   map[string]struct{} // instances that the list has shown
	listedAt     time.Time
	closed       []string
}

// side is responsible for what is known of one side.
type side struct {
	address            string
	incarnation        string // that answered last
	leavingIncarnation string // incarnation that announced its end
	unreachable        bool
	probeAt            time.Time
	probeDelay         time.Duration // until the probe after the next
}

// NewCore returns a core that knows no sides.
func NewCore() *Core {
	return &Core{sides: make(map[string]*side), everListed: make(map[string]struct{})}
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	switch m := message.(type) {
	case InventoryChanged:
		c.updateSides(m.inventory)
	case ListUpdated:
		c.updateList(now, m)
	case SideAnswered:
		c.handleAnswer(m)
	case SideUnreachable:
		if s, ok := c.sides[m.side]; ok && !s.unreachable {
			s.unreachable = true
			s.scheduleProbe(now)
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
		if s.isUnavailable() && !now.Before(s.probeAt) {
			actions = append(actions, Probe{side: name, address: s.address})
			s.probeAt = now.Add(s.probeDelay)
			s.probeDelay = min(2*s.probeDelay, maxProbeDelay)
		}
		if s.isUnavailable() || c.excludedByList(now, name) {
			closed = append(closed, name)
		}
	}
	if !slices.Equal(closed, c.closed) {
		c.closed = closed
		actions = append(actions, CloseSides{sides: closed})
	}
	return actions
}

// Alarm returns the time at which the next probe is due, or the zero time.
func (c *Core) Alarm() time.Time {
	var alarm time.Time
	for _, s := range c.sides {
		if s.isUnavailable() && (alarm.IsZero() || s.probeAt.Before(alarm)) {
			alarm = s.probeAt
		}
	}
	return alarm
}

// Gone returns the instances that the list showed once and shows no more.
func (c *Core) Removed(now time.Time) []string {
	var gone []string
	for name := range c.everListed {
		if _, ok := c.listedStates[name]; !ok && c.listValid(now) {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// shut reports whether the links tell against the side.
func (s *side) isUnavailable() bool {
	return s.unreachable || (s.leavingIncarnation != "" && s.leavingIncarnation == s.incarnation)
}

func (s *side) scheduleProbe(now time.Time) { s.probeAt, s.probeDelay = now, minProbeDelay }

func (c *Core) listValid(now time.Time) bool {
	return !c.listedAt.IsZero() && now.Sub(c.listedAt) < listMaxAge
}

// leaves reports whether the platform's list tells against an instance. One
// that it has never shown may be new.
func (c *Core) excludedByList(now time.Time, name string) bool {
	if !c.listValid(now) {
		return false
	}
	state, ok := c.listedStates[name]
	_, known := c.everListed[name]
	return state == Leaving || (!ok && known)
}

func (c *Core) updateList(now time.Time, m ListUpdated) {
	c.listedStates, c.listedAt = m.states, now
	for name := range m.states {
		c.everListed[name] = struct{}{}
	}
}

func (c *Core) handleAnswer(m SideAnswered) {
	s, ok := c.sides[m.side]
	if !ok {
		return
	}
	s.incarnation, s.unreachable = m.incarnation, false
	if m.leaving {
		s.leavingIncarnation = m.incarnation
		s.probeDelay = max(s.probeDelay, minProbeDelay)
	}
}

// revise takes over the sides of a new inventory and keeps what is known of
// those that stay in their place.
func (c *Core) updateSides(inventory *register.Inventory) {
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
