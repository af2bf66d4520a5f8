// Package quarantine contains requests that crash backend servers: it runs the
// suspects of a crash one at a time and bars a request after its second crash.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"sesamewell.example/entry/usher"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Capacity int           // suspects that are remembered, and that wait
	Remember time.Duration // time for which a first crash counts
	Expiry   time.Duration // time for which a request is barred
}

// Core is responsible for every decision of the quarantine. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config   CoreConfig
	suspects map[string]time.Time // by fingerprint; when the first crash was seen
	barred   map[string]time.Time // by fingerprint; until when
	waiting  []usher.Ask          // suspects, oldest first
	running  *usher.Ask           // the suspect that runs, or nil
}

// NewCore returns a core that suspects nothing.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, suspects: make(map[string]time.Time), barred: make(map[string]time.Time)}
}

// Fingerprint names a request by its model or service and its body.
func Fingerprint(ask usher.Ask) string {
	sum := sha256.New()
	// Writes to a hash never fail.
	_, _ = sum.Write([]byte(ask.Model() + "\x00" + ask.Service() + "\x00"))
	_, _ = sum.Write(ask.Body())
	return hex.EncodeToString(sum.Sum(nil))
}

// Watched returns the fingerprints whose requests the core has to see.
func (c *Core) Watched() map[string]struct{} {
	watched := make(map[string]struct{}, len(c.suspects)+len(c.barred))
	for fingerprint := range c.suspects {
		watched[fingerprint] = struct{}{}
	}
	for fingerprint := range c.barred {
		watched[fingerprint] = struct{}{}
	}
	return watched
}

// Running returns the id of the suspect that runs, or "".
func (c *Core) Running() string {
	if c.running == nil {
		return ""
	}
	return c.running.Request()
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	var actions []Action
	switch m := message.(type) {
	case Asked:
		actions = c.hold(now, m.ask)
	case Crashed:
		actions = c.crashed(now, m.crash)
	case Settled:
		c.settled(m)
	case Folded:
		c.bar(m.sentence)
	}
	return append(actions, c.next(now)...)
}

// Tick forgets what is over and ends the suspects that waited too long.
func (c *Core) Tick(now time.Time) []Action {
	for fingerprint, at := range c.suspects {
		if now.Sub(at) >= c.config.Remember {
			delete(c.suspects, fingerprint)
		}
	}
	for fingerprint, until := range c.barred {
		if !now.Before(until) {
			delete(c.barred, fingerprint)
		}
	}
	if c.running != nil && !now.Before(c.running.Deadline()) {
		c.running = nil
	}
	return c.next(now)
}

// hold queues a suspect until it is its turn.
func (c *Core) hold(now time.Time, ask usher.Ask) []Action {
	if c.isBarred(now, Fingerprint(ask)) {
		return []Action{refuse(ask)}
	}
	if len(c.waiting) >= c.config.Capacity {
		return []Action{Refuse{usher.NewRefuse(ask.Request(), errTooMany, retryAfter)}}
	}
	c.waiting = append(c.waiting, ask)
	return nil
}

// crashed attributes a crash. Only a suspect that had its turn is charged a
// second time: whatever else was in flight is a suspect and no more.
func (c *Core) crashed(now time.Time, crash usher.Crashed) []Action {
	ask := crash.Ask()
	fingerprint := Fingerprint(ask)
	_, suspect := c.suspects[fingerprint]
	turn := c.Running() == ask.Request()
	if turn {
		c.running = nil
	}
	var actions []Action
	switch {
	case turn && ask.Alone() && suspect:
		sentence := NewSentence(SentenceConfig{Fingerprint: fingerprint, At: now, Until: now.Add(c.config.Expiry)})
		c.bar(sentence)
		actions = append(actions, Append{sentence: sentence})
	case !suspect && len(c.suspects) < c.config.Capacity:
		c.suspects[fingerprint] = now
	}
	if crash.Retry() {
		actions = append(actions, c.hold(now, ask)...)
	}
	return actions
}

// settled ends the turn of a suspect, and clears it if its answer came whole.
func (c *Core) settled(m Settled) {
	if c.running != nil && c.running.Request() == m.request {
		if m.whole {
			delete(c.suspects, Fingerprint(*c.running))
		}
		c.running = nil
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(ask usher.Ask) bool { return ask.Request() == m.request })
}

func (c *Core) bar(sentence Sentence) {
	delete(c.suspects, sentence.Fingerprint())
	c.barred[sentence.Fingerprint()] = sentence.Until()
}

func (c *Core) isBarred(now time.Time, fingerprint string) bool {
	until, ok := c.barred[fingerprint]
	return ok && now.Before(until)
}

// next gives the oldest suspect its turn.
func (c *Core) next(now time.Time) []Action {
	var actions []Action
	for c.running == nil && len(c.waiting) > 0 {
		ask := c.waiting[0]
		c.waiting = c.waiting[1:]
		switch {
		case c.isBarred(now, Fingerprint(ask)):
			actions = append(actions, refuse(ask))
		case !now.Before(ask.Deadline()):
			actions = append(actions, Refuse{usher.NewRefuse(ask.Request(), outcome(ask, errExpired), retryAfter)})
		default:
			ask = ask.Apart()
			c.running = &ask
			actions = append(actions, Dispatch{ask: ask})
		}
	}
	return actions
}

func refuse(ask usher.Ask) Action {
	return Refuse{usher.NewRefuse(ask.Request(), outcome(ask, errQuarantined), retryAfter)}
}
