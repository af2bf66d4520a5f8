package routingsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/entry/router"
	"sesamewell.example/side/dispatcher"
)

// Limits, equal to the defaults of the settings.
const (
	readWait     = 250 * time.Millisecond
	callTimeout  = time.Second
	maxAttempts  = 3
	probes       = 4
	retryShare   = 0.2
	queueLimit   = 256
	prefixBlocks = 16384
)

// fleet is a set of entries and sides that are connected by the fake network.
type fleet struct {
	sim           *simulation
	entries       []*entry
	sides         map[string]*side
	sideNames     []string
	requests      map[string]*request
	copies        map[string][]string                                // names of the sides that hold each model
	chooseSide    func(e *entry, r *request) string                  // chooses the side for a baseline; nil if the router does
	rewriteSubmit func(config protocol.SubmitConfig) protocol.Submit // rewrites submits to change a baseline's order of the queue; nil for none
}

// fleetConfig configures a fleet.
type fleetConfig struct {
	domains   []string
	sides     int
	slots     int // requests that one engine runs at once
	queue     int // limit of one side's queue
	entries   int
	inventory *fleetstate.Inventory
	copies    map[string][]string
}

// side is one side: its core and its engine.
type side struct {
	fleet   *fleet
	name    string
	domain  string
	starts  int
	slots   int
	queue   int
	core    *dispatcher.Core
	engine  *engine
	stopped bool
	alarmAt time.Time // time of the scheduled alarm; zero for none
}

// entry is one entry: its core and its clients for the sides.
type entry struct {
	fleet   *fleet
	name    string
	domain  string
	core    *router.Core
	clients map[string]*client // by name of the side
	alarmAt time.Time          // time of the scheduled alarm; zero for none
}

// request is one request with all that its caller has received.
type request struct {
	config       router.RequestConfig
	entry        *entry
	prompt       prompt
	outputTokens int
	sentAt       time.Time // time at which the caller sent it
	firstTokenAt time.Time
	endedAt      time.Time
	answer       strings.Builder
	complete     bool
	refused      bool
	outcome      string
	code         string
	abandoned    bool
}

// buildInventory returns the inventory of a fleet.
func buildInventory(t testing.TB, config fleetConfig) *fleetstate.Inventory {
	t.Helper()
	var text strings.Builder
	for i := range config.sides {
		fmt.Fprintf(&text, "[instance %s]\nrole = side\nlink = 127.0.0.1:%d\ndomain = %s\nbackend = engine-%02d\n", sideName(i), i+1, config.domains[i%len(config.domains)], i)
		fmt.Fprintf(&text, "[backend engine-%02d]\nkind = engine\nmemory = 80GiB\nslots = %d\n", i, config.slots)
	}
	inventory, err := fleetstate.ParseInventory("inventory.ini", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return inventory
}

func sideName(i int) string { return fmt.Sprintf("side-%02d", i) }

func newFleet(sim *simulation, config fleetConfig) *fleet {
	f := &fleet{sim: sim, sides: make(map[string]*side), requests: make(map[string]*request)}
	for i := range config.sides {
		s := &side{fleet: f, name: sideName(i), domain: config.domains[i%len(config.domains)], slots: config.slots, queue: config.queue}
		s.engine = newEngine(sim)
		s.engine.onChunk = func(attempt string, data []byte) { s.handle(dispatcher.NewChunkReceived(attempt, data)) }
		s.engine.onEnd = func(attempt, code string) { s.handle(dispatcher.NewAttemptEnded(attempt, code, true)) }
		s.start()
		f.sides[s.name] = s
		f.sideNames = append(f.sideNames, s.name)
	}
	for i := range config.entries {
		e := &entry{fleet: f, name: fmt.Sprintf("entry-%d", i), domain: config.domains[i%len(config.domains)], clients: make(map[string]*client)}
		e.core = router.NewCore(router.CoreConfig{
			Domain: e.domain, MaxAttempts: maxAttempts, Probes: probes, RetryShare: retryShare,
			Random: rand.New(rand.NewPCG(sim.random.Uint64(), 2)),
		})
		e.handle(router.NewInventoryChanged(config.inventory))
		if config.copies != nil {
			e.handle(router.NewPlacementChanged(config.copies))
		}
		f.entries = append(f.entries, e)
		e.tick()
	}
	for _, name := range f.sideNames {
		f.sides[name].tick()
	}
	return f
}

// start gives the side a new core and an empty engine, as a start or restart of
// its process does.
func (s *side) start() {
	s.starts++
	s.core = dispatcher.NewCore(dispatcher.CoreConfig{
		Incarnation: fmt.Sprintf("%s/%d", s.name, s.starts), Concurrency: s.slots, QueueLimit: s.queue,
		PrefixBlocks: prefixBlocks, MaxBuffered: 1 << 20, FlushDelay: 2 * time.Millisecond,
	})
	s.engine.cancelAll()
}

func (s *side) handle(message dispatcher.Message) {
	if !s.stopped {
		s.execute(s.core.Handle(s.fleet.sim.now, message))
	}
}

func (s *side) tick() {
	s.fleet.sim.after(time.Second, func() {
		if !s.stopped {
			s.execute(s.core.Tick(s.fleet.sim.now))
		}
		s.tick()
	})
}

func (s *side) execute(actions []dispatcher.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatcher.AnswerBatch:
			a.Send()
		case dispatcher.AnswerRead:
			a.Send()
		case dispatcher.AnswerProbe:
			a.Send()
		case dispatcher.Run:
			r := s.fleet.requests[a.Submit().Request()]
			s.handle(dispatcher.NewHeaderReceived(a.Submit().Attempt(), 200, "text/event-stream"))
			s.engine.start(a.Submit(), r.prompt, r.outputTokens)
		case dispatcher.Stop:
			s.engine.cancel(a.Attempt())
		}
	}
	s.scheduleAlarm()
}

// scheduleAlarm schedules the next alarm of the core, unless it is scheduled
// already.
func (s *side) scheduleAlarm() {
	at := s.core.Alarm()
	if at.IsZero() || at.Equal(s.alarmAt) {
		return
	}
	s.alarmAt = at
	core := s.core
	s.fleet.sim.after(max(at.Sub(s.fleet.sim.now), 0), func() {
		if s.core == core && s.alarmAt.Equal(at) && !s.stopped {
			s.alarmAt = time.Time{}
			s.execute(core.Tick(s.fleet.sim.now))
		}
	})
}

func (e *entry) handle(message router.Message) { e.execute(e.core.Handle(e.fleet.sim.now, message)) }

func (e *entry) tick() {
	e.fleet.sim.after(100*time.Millisecond, func() {
		e.execute(e.core.Tick(e.fleet.sim.now))
		e.tick()
	})
}

// scheduleAlarm schedules the next alarm of the core, unless it is scheduled
// already.
func (e *entry) scheduleAlarm() {
	at := e.core.Alarm()
	if at.IsZero() || at.Equal(e.alarmAt) {
		return
	}
	e.alarmAt = at
	e.fleet.sim.after(max(at.Sub(e.fleet.sim.now), 0), func() {
		if e.alarmAt.Equal(at) {
			e.alarmAt = time.Time{}
			e.execute(e.core.Tick(e.fleet.sim.now))
		}
	})
}

func (e *entry) execute(actions []router.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case router.Send:
			e.client(a.Side()).submit(a.Submit())
		case router.Probe:
			e.client(a.Side()).probe(a.Query())
		case router.Cancel:
			e.client(a.Side()).cancel(a.Attempt())
		case router.Deliver:
			e.fleet.deliver(a)
		case router.Refuse:
			e.fleet.refuse(a)
		}
	}
	e.scheduleAlarm()
}

// client returns the client for a side and creates it at the first use.
func (e *entry) client(side string) *client {
	c, ok := e.clients[side]
	if !ok {
		c = &client{entry: e, side: e.fleet.sides[side], awaited: make(map[string]bool), resume: true}
		e.clients[side] = c
	}
	return c
}

// send sends a request to an entry. With a chooser it first limits the model's
// copies to the chosen side.
func (f *fleet) send(e *entry, r *request) {
	r.entry, r.sentAt = e, f.sim.now
	r.config.Deadline = f.sim.now.Add(r.timeout())
	f.requests[r.config.ID] = r
	if f.chooseSide != nil {
		e.handle(router.NewPlacementChanged(map[string][]string{r.config.Model: {f.chooseSide(e, r)}}))
	}
	e.handle(router.NewRequest(r.config))
}

func (r *request) timeout() time.Duration {
	if r.config.Urgent {
		return 30 * time.Second
	}
	return time.Minute
}

func (f *fleet) deliver(a router.Deliver) {
	r := f.requests[a.RequestID()]
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = f.sim.now
	}
	r.answer.Write(a.Data())
	r.complete = a.Complete()
	r.endedAt = f.sim.now
}

func (f *fleet) refuse(a router.Refuse) {
	r := f.requests[a.RequestID()]
	r.refused, r.outcome, r.code, r.endedAt = true, a.Refusal().Outcome(), a.Refusal().Code(), f.sim.now
}

// runs returns the number of attempts of a request that engines started.
func (f *fleet) runs(request string) int {
	runs := 0
	for _, s := range f.sides {
		runs += s.engine.runs[request]
	}
	return runs
}

// check returns a description of the fault in a request's answer or refusal, or ""
// if there is none. It does not check abandoned requests.
func (f *fleet) check(r *request) string {
	id, runs := r.config.ID, f.runs(r.config.ID)
	expected := completeAnswer(id, r.outputTokens)
	switch {
	case r.abandoned:
		return ""
	case !r.complete && !r.refused:
		return "got neither a complete answer nor a refusal"
	case r.complete && r.answer.String() != expected:
		return fmt.Sprintf("got the wrong answer %q", r.answer.String())
	case !strings.HasPrefix(expected, r.answer.String()):
		return fmt.Sprintf("got bytes of another answer: %q", r.answer.String())
	case r.refused && r.outcome == httpserver.NotRun && runs > 0:
		return fmt.Sprintf("was refused as not run but ran %d times", runs)
	case !r.config.Idempotent && runs > 1:
		return fmt.Sprintf("is not idempotent but ran %d times", runs)
	}
	return ""
}

// client stands in for the sender, reader and prober of an entry's transport. It
// connects the entry to one side over the fake network.
type client struct {
	entry       *entry
	side        *side
	incarnation string            // incarnation of the side; empty until known
	submits     []protocol.Submit // submits for the next batch
	cancels     []string          // attempts that the next batch cancels
	sending     bool
	awaited     map[string]bool     // attempts whose answers are incomplete
	confirmed   []protocol.Position // data received, to be confirmed by the next read
	reading     bool
	resume      bool   // whether the next read asks for unconfirmed data again
	readNumber  uint64 // number of the last read
	failures    int    // consecutive failed reads
}

func (c *client) sim() *simulation { return c.entry.fleet.sim }

func (c *client) submit(submit protocol.Submit) {
	c.submits = append(c.submits, submit)
	c.awaited[submit.Attempt()] = true
	c.sim().after(0, c.sendBatch)
}

func (c *client) cancel(attempt string) {
	delete(c.awaited, attempt)
	c.cancels = append(c.cancels, attempt)
	c.sim().after(0, c.sendBatch)
}

func (c *client) sendBatch() {
	if c.sending || len(c.submits)+len(c.cancels) == 0 {
		return
	}
	c.sending = true
	submits, cancels := c.submits, c.cancels
	c.submits, c.cancels = nil, nil
	c.exchange(submits, cancels, 0, false)
	c.read()
}

// exchange submits a batch under the rules of the entry's sender: it tries up to 3
// times, and as every batch names the incarnation that it is meant for, it may send
// one again. The argument sent reports whether the side may have received it.
func (c *client) exchange(submits []protocol.Submit, cancels []string, tries int, sent bool) {
	if tries == 3 {
		c.reportFailure(submits, sent)
		return
	}
	if c.side.stopped {
		c.sim().after(time.Millisecond, func() { c.reportFailure(submits, sent) })
		return
	}
	if c.incarnation == "" {
		c.fetchIncarnation(submits, cancels, tries)
		return
	}
	intended := c.incarnation
	rewritten := slices.Clone(submits)
	if rewrite := c.entry.fleet.rewriteSubmit; rewrite != nil {
		for i, submit := range submits {
			rewritten[i] = rewrite(submitConfig(submit))
		}
	}
	batch := protocol.NewBatch(protocol.BatchConfig{Entry: c.entry.name, Side: intended, Submits: rewritten, Cancels: cancels})
	c.call(callTimeout, func(reply replyFunc) { c.side.handle(dispatcher.NewBatchReceived(batch, reply)) }, func(reply any) {
		receipts, ok := reply.(protocol.Receipts)
		switch {
		case !ok:
			c.exchange(submits, cancels, tries+1, true)
		case intended != receipts.Side() && sent:
			c.incarnation = receipts.Side()
			c.reportFailure(submits, true)
		case intended != receipts.Side():
			c.incarnation = receipts.Side()
			c.exchange(submits, cancels, tries+1, false)
		default:
			c.incarnation = receipts.Side()
			for _, receipt := range receipts.Receipts() {
				if !receipt.Accepted() {
					delete(c.awaited, receipt.Attempt())
				}
			}
			c.finishExchange(router.NewSubmitReply(c.side.name, receipts))
		}
	})
}

// fetchIncarnation sends an empty batch, whose answer carries the side's incarnation,
// and continues the exchange.
func (c *client) fetchIncarnation(submits []protocol.Submit, cancels []string, tries int) {
	empty := protocol.NewBatch(protocol.BatchConfig{Entry: c.entry.name})
	c.call(callTimeout, func(reply replyFunc) { c.side.handle(dispatcher.NewBatchReceived(empty, reply)) }, func(reply any) {
		if receipts, ok := reply.(protocol.Receipts); ok && c.incarnation == "" {
			c.incarnation = receipts.Side()
		}
		c.exchange(submits, cancels, tries+1, false)
	})
}

// reportFailure reports submits as failed to the router. The argument sent reports
// whether the side may have received them.
func (c *client) reportFailure(submits []protocol.Submit, sent bool) {
	ids := make([]string, 0, len(submits))
	for _, submit := range submits {
		ids = append(ids, submit.Attempt())
		delete(c.awaited, submit.Attempt())
	}
	c.finishExchange(router.NewSubmitFailed(c.side.name, ids, sent))
}

func (c *client) finishExchange(message router.Message) {
	c.sending = false
	c.entry.handle(message)
	c.sendBatch()
}

// read reads answers by long polling, under the rules of the entry's reader.
func (c *client) read() {
	if c.reading || len(c.awaited)+len(c.confirmed) == 0 {
		return
	}
	c.reading = true
	c.readNumber++
	wait := readWait
	if len(c.awaited) == 0 {
		wait = 0
	}
	query := protocol.NewRead(protocol.ReadConfig{Entry: c.entry.name, Number: c.readNumber, Resume: c.resume, Positions: c.confirmed, Wait: wait})
	c.call(wait+callTimeout, func(reply replyFunc) { c.side.handle(dispatcher.NewReadRequested(query, reply)) }, func(reply any) {
		c.reading = false
		pages, ok := reply.(protocol.Pages)
		if !ok {
			c.handleReadFailure(reply)
			return
		}
		c.resume, c.failures, c.confirmed = false, 0, nil
		for _, page := range pages.Pages() {
			ended := page.State() != protocol.AnswerOpen
			c.confirmed = append(c.confirmed, protocol.NewPosition(protocol.PositionConfig{
				Attempt: page.Attempt(), Offset: page.Offset() + int64(len(page.Data())), Ended: ended,
			}))
			if ended {
				delete(c.awaited, page.Attempt())
			}
		}
		c.entry.handle(router.NewReadReply(c.side.name, pages))
		c.read()
	})
}

// handleReadFailure lets the next read resume and, after 3 failures in a row,
// reports the side as unreachable. A refused read does not count as a failure.
func (c *client) handleReadFailure(reply any) {
	c.resume = true
	if reply == nil {
		c.failures++
	}
	if c.failures < 3 {
		c.sim().after(100*time.Millisecond, c.read)
		return
	}
	c.failures, c.confirmed = 0, nil
	clear(c.awaited)
	c.entry.handle(router.NewSideUnreachable(c.side.name))
}

func (c *client) probe(query protocol.Query) {
	probe := protocol.NewProbe(protocol.ProbeConfig{Entry: c.entry.name, Queries: []protocol.Query{query}})
	c.call(callTimeout, func(reply replyFunc) { c.side.handle(dispatcher.NewProbeRequested(probe, reply)) }, func(reply any) {
		report, ok := reply.(protocol.Report)
		if !ok {
			c.entry.handle(router.NewProbeFailed(c.side.name))
			return
		}
		if c.incarnation == "" {
			c.incarnation = report.Side()
		}
		c.entry.handle(router.NewProbeReply(c.side.name, report))
	})
}

// call makes a remote call to the side. It fails after a millisecond if the side is
// stopped.
func (c *client) call(timeout time.Duration, serve func(reply replyFunc), done func(reply any)) {
	if c.side.stopped {
		c.sim().after(time.Millisecond, func() { done(nil) })
		return
	}
	c.sim().call(c.entry.name, c.side.name, timeout, serve, done)
}

// submitConfig returns the configuration of a submit.
func submitConfig(s protocol.Submit) protocol.SubmitConfig {
	return protocol.SubmitConfig{
		Attempt: s.Attempt(), Request: s.Request(), Tenant: s.Tenant(), Model: s.Model(), Body: s.Body(), PrefixHashes: s.PrefixHashes(),
		Stream: s.Stream(), Urgent: s.Urgent(), Idempotent: s.Idempotent(), Tokens: s.Tokens(), Remaining: s.Remaining(),
	}
}
