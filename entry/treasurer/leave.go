package treasurer

import (
	"maps"
	"slices"
	"time"

	"sesamewell.example/commons/notice"
)

// drain begins a planned stop: allowances go back, buckets go to successors,
// and what still waits is refused.
func (c *Core) drain(now time.Time) {
	if c.draining {
		return
	}
	c.draining, c.drainEnd = true, now.Add(2*callLimit)
	for _, tenant := range slices.Sorted(maps.Keys(c.purses)) {
		p := c.purses[tenant]
		for _, l := range p.lots {
			c.owe(tenant, l)
		}
		p.lots = nil
		for _, w := range p.parked {
			c.do(Refuse{request: w.ask.ID(), refusal: errLeaving, retryAfter: minWait})
		}
		p.parked = nil
	}
	for _, role := range slices.Sorted(maps.Keys(c.owed)) {
		if owner := c.ownerOf(role); owner != "" {
			c.call(now, owner)
		}
	}
	for _, role := range slices.Sorted(maps.Keys(c.tenures)) {
		if t := c.tenures[role]; t.acts(now) && c.fresh(now) {
			c.passes[role] = 0
			c.pass(now, t)
			t.retired = true
		}
	}
	c.callOwners(now)
}

// pass hands a role to the next candidate.
func (c *Core) pass(now time.Time, t *tenure) {
	order := slices.DeleteFunc(candidates(c.revision.Inventory(), t.role), func(name string) bool { return name == c.config.Instance })
	try := c.passes[t.role]
	if try >= min(len(order), handOverTries) {
		delete(c.passes, t.role)
		return
	}
	instance, _ := c.revision.Inventory().Instance(order[try])
	config := notice.HandOverConfig{Role: t.role, Epoch: t.claim.Epoch()}
	for _, tenant := range slices.Sorted(maps.Keys(c.ledgers)) {
		if groupRole(tenant) == t.role {
			config.Balances = append(config.Balances, c.ledgers[tenant].balance(now, tenant))
		}
	}
	c.do(Pass{peer: instance.Name(), address: instance.Link(), handOver: notice.NewHandOver(config)})
}

// handedOver goes on to the next candidate when one did not take the role.
func (c *Core) handedOver(now time.Time, m HandedOver) {
	if _, ok := c.passes[m.role]; !ok {
		return
	}
	if m.taken {
		delete(c.passes, m.role)
		return
	}
	c.passes[m.role]++
	c.pass(now, c.tenures[m.role])
}

// receive keeps the state of a leaving owner and claims its role.
func (c *Core) receive(now time.Time, m HandOverArrived) {
	t, ok := c.tenures[m.handOver.Role()]
	superseded := ok && t.mine && t.superseded == m.handOver.Epoch()
	taken := ok && !c.draining && (t.claim.Epoch() == m.handOver.Epoch() || superseded)
	c.do(Reply{reply: m.reply, answer: notice.NewHandedOver(taken)})
	if !taken || (t.received != nil && t.received.Epoch() == m.handOver.Epoch()) {
		return
	}
	t.received = &m.handOver
	if t.mine {
		c.inherit(now, t)
	}
	c.claim(now)
}

// settleDrain reports once that the stop need not wait for the treasurer.
func (c *Core) settleDrain(now time.Time) {
	if !c.draining || c.drained {
		return
	}
	open := len(c.passes) > 0
	for _, p := range c.peers {
		open = open || p.busy
	}
	if open && now.Before(c.drainEnd) {
		return
	}
	c.drained = true
	c.do(Drained{})
}
