// Package quarantine contains requests that crash backend servers: it runs the
// suspects of a crash one at a time and bars a request after its second crash.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"sesamewell.example/entry/router"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Capacity    int           // suspects that are remembered, and that wait
	SuspectTTL  time.Duration // time for which a first crash counts
	BanDuration time.Duration // time for which a request is barred
}

// Core is responsible for every decision of the quarantine. It does no input or
// output; its duty carries out the actions that Handle and Tick return.
type Core struct {
	config   CoreConfig
	suspects map[string]time.Time // by fingerprint; when the first crash was seen
	banned   map[string]time.Time // by fingerprint; until when
	waiting  []router.Request     // suspects, oldest first
	running  *router.Request      // the suspect that runs, or nil
}

// NewCore returns a core that suspects nothing.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, suspects: make(map[string]time.Time), banned: make(map[string]time.Time)}
}

// Fingerprint names a request by its model or service and its body.
func Fingerprint(ask router.Request) string {
	sum := sha256.New()
	// Writes to a hash never fail.
	_, _ = sum.Write([]byte(ask.Model() + "\x00" + ask.Service() + "\x00"))
	_, _ = sum.Write(ask.Body())
	return hex.EncodeToString(sum.Sum(nil))
}

// Watched returns the fingerprints whose requests the core has to see.
func (c *Core) Watched() map[string]struct{} {
	watched := make(map[string]struct{}, len(c.suspects)+len(c.banned))
	for fingerprint := range c.suspects {
		watched[fingerprint] = struct{}{}
	}
	for fingerprint := range c.banned {
		watched[fingerprint] = struct{}{}
	}
	return watched
}

// Running returns the id of the suspect that runs, or "".
func (c *Core) Running() string {
	if c.running == nil {
		return ""
	}
	return c.running.ID()
}

// Handle processes one message.
func (c *Core) Handle(now time.Time, message Message) []Action {
	var actions []Action
	switch m := message.(type) {
	case Intercepted:
		actions = c.enqueue(now, m.request)
	case Crashed:
		actions = c.handleCrash(now, m.report)
	case Finished:
		c.handleFinished(m)
	case BanLogged:
		c.addBan(m.ban)
	}
	return append(actions, c.startNext(now)...)
}

// Tick forgets what is over and ends the suspects that waited too long.
func (c *Core) Tick(now time.Time) []Action {
	for fingerprint, at := range c.suspects {
		if now.Sub(at) >= c.config.SuspectTTL {
			delete(c.suspects, fingerprint)
		}
	}
	for fingerprint, until := range c.banned {
		if !now.Before(until) {
			delete(c.banned, fingerprint)
		}
	}
	if c.running != nil && !now.Before(c.running.Deadline()) {
		c.running = nil
	}
	return c.startNext(now)
}

// hold queues a suspect until it is its turn.
func (c *Core) enqueue(now time.Time, ask router.Request) []Action {
	if c.isBanned(now, Fingerprint(ask)) {
		return []Action{refuseBanned(ask)}
	}
	if len(c.waiting) >= c.config.Capacity {
		return []Action{Refuse{router.NewRefuse(ask.ID(), errTooMany, retryAfter)}}
	}
	c.waiting = append(c.waiting, ask)
	return nil
}

// crashed attributes a crash. Only a suspect that had its turn is charged a
// second time: whatever else was in flight is a suspect and no more.
func (c *Core) handleCrash(now time.Time, crash router.CrashReport) []Action {
	ask := crash.Request()
	fingerprint := Fingerprint(ask)
	_, suspect := c.suspects[fingerprint]
	turn := c.Running() == ask.ID()
	if turn {
		c.running = nil
	}
	var actions []Action
	switch {
	case turn && ask.Alone() && suspect:
		sentence := NewBan(BanConfig{Fingerprint: fingerprint, At: now, Until: now.Add(c.config.BanDuration)})
		c.addBan(sentence)
		actions = append(actions, Append{ban: sentence})
	case !suspect && len(c.suspects) < c.config.Capacity:
		c.suspects[fingerprint] = now
	}
	if crash.Retry() {
		actions = append(actions, c.enqueue(now, ask)...)
	}
	return actions
}

// settled ends the turn of a suspect, and clears it if its answer came whole.
func (c *Core) handleFinished(m Finished) {
	if c.running != nil && c.running.ID() == m.requestID {
		if m.complete {
			delete(c.suspects, Fingerprint(*c.running))
		}
		c.running = nil
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(ask router.Request) bool { return ask.ID() == m.requestID })
}

func (c *Core) addBan(sentence Ban) {
	delete(c.suspects, sentence.Fingerprint())
	c.banned[sentence.Fingerprint()] = sentence.Until()
}

func (c *Core) isBanned(now time.Time, fingerprint string) bool {
	until, ok := c.banned[fingerprint]
	return ok && now.Before(until)
}

// next gives the oldest suspect its turn.
func (c *Core) startNext(now time.Time) []Action {
	var actions []Action
	for c.running == nil && len(c.waiting) > 0 {
		ask := c.waiting[0]
		c.waiting = c.waiting[1:]
		switch {
		case c.isBanned(now, Fingerprint(ask)):
			actions = append(actions, refuseBanned(ask))
		case !now.Before(ask.Deadline()):
			actions = append(actions, Refuse{router.NewRefuse(ask.ID(), withOutcome(ask, errExpired), retryAfter)})
		default:
			ask = ask.WithAlone()
			c.running = &ask
			actions = append(actions, Dispatch{request: ask})
		}
	}
	return actions
}

func refuseBanned(ask router.Request) Action {
	return Refuse{router.NewRefuse(ask.ID(), withOutcome(ask, errQuarantined), retryAfter)}
}
