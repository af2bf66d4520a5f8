// Package membership decides which sides, the processes that run beside the
// backend servers, may get new requests.
//
// It combines two sources: the platform's list of instances, which lags, and
// the results of calls to the sides, which exist only for sides that this entry
// calls. A side gets no new requests
//   - while the list shows it as leaving or no longer contains it,
//   - after it announced that it is draining, until another incarnation answers
//     under its name,
//   - after a call to it failed, until it answers again.
package membership

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/fleetstate"
)

const (
	listMaxAge    = 30 * time.Second       // age from which the platform's list is ignored
	minProbeDelay = 250 * time.Millisecond // time between the first and the second probe of a closed side; doubles with each probe
	maxProbeDelay = 4 * time.Second        // longest time between two probes of a closed side
	maxEverListed = 16384                  // instances outside of list and inventory that are remembered
)

// Core tracks the state of every side. It does no I/O; Tracker executes the
// actions that Handle and Tick return.
type Core struct {
	inventory    *fleetstate.Inventory // nil before the first one
	sides        map[string]*side
	listedStates map[string]State
	everListed   map[string]struct{} // instances that have ever been in the list
	listedAt     time.Time           // when listedStates arrived; zero before the first list
	closed       []string
}

// side is the state of one side.
type side struct {
	address             string // IP:port
	incarnation         string // incarnation that answered last
	drainingIncarnation string // incarnation that announced that it is draining
	unreachable         bool
	probeAt             time.Time
	probeDelay          time.Duration // time from the next probe to the one after it
}

// NewCore returns a Core without sides.
func NewCore() *Core {
	return &Core{sides: make(map[string]*side), everListed: make(map[string]struct{})}
}

// Handle processes one message and returns the actions to execute.
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

// Tick returns the probes that are due and, if the set of closed sides has
// changed, the new set.
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

// Alarm returns the time at which the next probe is due, or the zero time if no
// side needs one.
func (c *Core) Alarm() time.Time {
	var alarm time.Time
	for _, s := range c.sides {
		if s.isUnavailable() && (alarm.IsZero() || s.probeAt.Before(alarm)) {
			alarm = s.probeAt
		}
	}
	return alarm
}

// Removed returns the sorted names of the instances that were once in the list
// and are no longer. It returns none while there is no valid list.
func (c *Core) Removed(now time.Time) []string {
	var removed []string
	for name := range c.everListed {
		if _, ok := c.listedStates[name]; !ok && c.listValid(now) {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return removed
}

// isUnavailable reports whether the calls to the side rule it out: the last one
// failed, or the incarnation that answered is draining.
func (s *side) isUnavailable() bool {
	return s.unreachable || (s.drainingIncarnation != "" && s.drainingIncarnation == s.incarnation)
}

func (s *side) scheduleProbe(now time.Time) { s.probeAt, s.probeDelay = now, minProbeDelay }

// listValid reports whether a list has been read within listMaxAge.
func (c *Core) listValid(now time.Time) bool {
	return !c.listedAt.IsZero() && now.Sub(c.listedAt) < listMaxAge
}

// excludedByList reports whether the platform's list shows an instance as
// leaving or no longer contains it. An instance that has never been in the list
// is not excluded: it may be new, and the list lags.
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
	c.forgetUnknown()
}

// forgetUnknown forgets the instances that are neither in the list nor in the inventory, if
// there are too many. The list may name any.
func (c *Core) forgetUnknown() {
	if len(c.everListed) <= len(c.listedStates)+maxEverListed {
		return
	}
	maps.DeleteFunc(c.everListed, func(name string, _ struct{}) bool {
		_, listed := c.listedStates[name]
		return !listed && !c.inInventory(name)
	})
}

func (c *Core) inInventory(name string) bool {
	if c.inventory == nil {
		return false
	}
	_, ok := c.inventory.Instance(name)
	return ok
}

func (c *Core) handleAnswer(m SideAnswered) {
	s, ok := c.sides[m.side]
	if !ok {
		return
	}
	s.incarnation, s.unreachable = m.incarnation, false
	if m.draining {
		s.drainingIncarnation = m.incarnation
		s.probeDelay = max(s.probeDelay, minProbeDelay)
	}
}

// updateSides replaces the set of sides by those of the inventory. A side whose
// address is unchanged keeps its state.
func (c *Core) updateSides(inventory *fleetstate.Inventory) {
	c.inventory = inventory
	sides := make(map[string]*side)
	for _, instance := range inventory.Instances() {
		if instance.Role() != fleetstate.RoleSide {
			continue
		}
		s, ok := c.sides[instance.Name()]
		if !ok || s.address != instance.Address() {
			s = &side{address: instance.Address()}
		}
		sides[instance.Name()] = s
	}
	c.sides = sides
}
