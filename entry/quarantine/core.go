// Package quarantine is the entry's door to the quarantine of crashing requests. All
// requests in flight at a crash become suspects. Suspects run one at a time, each alone on
// its backend server, and a suspect whose backend server crashes again is banned. What is
// known of them is kept by commons/quarantine, under its policy RunAlone.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"sesamewell.example/commons/quarantine"
	"sesamewell.example/entry/router"
)

// CoreConfig holds the construction parameters of a Core.
type CoreConfig struct {
	Capacity    int           // maximum number of suspects, and of requests that wait to run
	SuspectTTL  time.Duration // time after its last crash for which a request is a suspect
	BanDuration time.Duration // time for which a request is banned
}

// Core decides which requests run alone, and in which order. It does no I/O: its caller
// executes the actions that Handle and Tick return. It is not safe for concurrent use.
type Core struct {
	config   CoreConfig
	evidence *quarantine.Core
	crashes  int64            // crash reports so far
	waiting  []router.Request // requests that wait to run, oldest first
	running  *router.Request  // the request that runs, or nil
}

// NewCore returns a core without suspects and bans.
func NewCore(config CoreConfig) *Core {
	return &Core{config: config, evidence: quarantine.New(quarantine.Config{
		Lifetime: config.SuspectTTL, Capacity: config.Capacity, Policy: quarantine.RunAlone{Ban: config.BanDuration},
	})}
}

// Fingerprint returns the SHA-256 of a request's model, service and body, in
// hexadecimal.
func Fingerprint(request router.Request) string {
	sum := sha256.New()
	// Writes to a hash never fail.
	_, _ = sum.Write([]byte(request.Model() + "\x00" + request.Service() + "\x00"))
	_, _ = sum.Write(request.Body())
	return hex.EncodeToString(sum.Sum(nil))
}

// suspectOf returns the suspect that stands for a request and its copies.
func suspectOf(request router.Request) quarantine.Suspect {
	return quarantine.RequestSuspect(Fingerprint(request))
}

// Watched returns the fingerprints of suspects and banned requests. The core must
// receive every new request that has one of them.
func (c *Core) Watched() map[string]struct{} { return c.evidence.SuspectedRequests() }

// Running returns the ID of the request that runs under quarantine, or "".
func (c *Core) Running() string {
	if c.running == nil {
		return ""
	}
	return c.running.ID()
}

// Handle processes one message and returns the actions to execute.
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
		c.evidence.Learn(now, m.ban.evidence(now))
	}
	c.evidence.Changes() // the log has its own line for a ban
	return append(actions, c.startNext(now)...)
}

// Tick removes expired suspects and bans, stops waiting for a running request whose
// deadline has passed, and returns the actions to execute.
func (c *Core) Tick(now time.Time) []Action {
	c.evidence.Expire(now)
	if c.running != nil && !now.Before(c.running.Deadline()) {
		c.running = nil
	}
	return c.startNext(now)
}

// enqueue adds a request to those that wait to run.
func (c *Core) enqueue(now time.Time, request router.Request) []Action {
	if c.evidence.QuarantinedAt(now, suspectOf(request)) {
		return []Action{refuseBanned(request)}
	}
	if len(c.waiting) >= c.config.Capacity {
		return []Action{Refuse{router.NewRefuse(request.ID(), errTooMany, retryAfter)}}
	}
	c.waiting = append(c.waiting, request)
	return nil
}

// handleCrash attributes a crash to a request. Only a suspect that ran alone is
// banned. Any other request in flight only becomes a suspect, since another one
// may have caused the crash.
func (c *Core) handleCrash(now time.Time, report router.CrashReport) []Action {
	request := report.Request()
	wasRunning := c.Running() == request.ID()
	if wasRunning {
		c.running = nil
	}
	alone := wasRunning && request.Exclusive() && c.evidence.Suspected(suspectOf(request))
	c.crashes++
	c.evidence.RecordContained(now, quarantine.ContainedCrash{Suspect: suspectOf(request), Number: c.crashes, Alone: alone})
	var actions []Action
	if alone {
		actions = append(actions, Append{ban: NewBan(BanConfig{Fingerprint: Fingerprint(request), At: now, Until: now.Add(c.config.BanDuration)})})
	}
	if report.Retry() {
		actions = append(actions, c.enqueue(now, request)...)
	}
	return actions
}

// handleFinished makes room for the next request if the finished one was running.
// A request whose answer was complete is no longer a suspect.
func (c *Core) handleFinished(m Finished) {
	if c.running != nil && c.running.ID() == m.requestID {
		if m.complete {
			c.evidence.Exonerate(suspectOf(*c.running))
		}
		c.running = nil
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(request router.Request) bool { return request.ID() == m.requestID })
}

// startNext runs the oldest waiting request unless another one runs.
func (c *Core) startNext(now time.Time) []Action {
	var actions []Action
	for c.running == nil && len(c.waiting) > 0 {
		request := c.waiting[0]
		c.waiting = c.waiting[1:]
		switch {
		case c.evidence.QuarantinedAt(now, suspectOf(request)):
			actions = append(actions, refuseBanned(request))
		case !now.Before(request.Deadline()):
			actions = append(actions, Refuse{router.NewRefuse(request.ID(), withOutcome(request, errExpired), retryAfter)})
		default:
			request = request.WithExclusive()
			c.running = &request
			actions = append(actions, Dispatch{request: request})
		}
	}
	return actions
}

// refuseBanned returns the refusal of a banned request.
func refuseBanned(request router.Request) Action {
	return Refuse{router.NewRefuse(request.ID(), withOutcome(request, errQuarantined), retryAfter)}
}
