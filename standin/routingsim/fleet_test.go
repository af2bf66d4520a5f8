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

// Limits as they stand in the settings' defaults.
const (
	readWait     = 250 * time.Millisecond
	callTimeout  = time.Second
	maxAttempts  = 3
	probes       = 4
	retryShare   = 0.2
	queueLimit   = 256
	prefixBlocks = 16384
)

// fleet is responsible for entries and sides that talk over the fake network.
type fleet struct {
	sim           *simulation
	entries       []*entry
	sides         map[string]*side
	sideNames     []string // of the sides
	requests      map[string]*request
	copies        map[string][]string                                // sides that hold a model
	chooseSide    func(e *entry, r *request) string                  // a baseline's choice of side, or nil
	rewriteSubmit func(config protocol.SubmitConfig) protocol.Submit // a baseline's order of the queue, or nil
}

// fleetConfig describes a fleet.
type fleetConfig struct {
	domains   []string
	sides     int
	slots     int
	queue     int
	entries   int
	inventory *fleetstate.Inventory
	copies    map[string][]string
}

// side is responsible for one side's core and its engine.
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
	alarmAt time.Time
}

// entry is responsible for one entry's core and its lines.
type entry struct {
	fleet   *fleet
	name    string
	domain  string
	core    *router.Core
	clients map[string]*client
	alarmAt time.Time
}

// record is what is known of one request.
type request struct {
	config       router.RequestConfig
	entry        *entry
	prompt       prompt
	outputTokens int
	sentAt       time.Time
	firstTokenAt time.Time
	endedAt      time.Time
	answer       strings.Builder
	complete     bool
	refused      bool
	outcome      string
	code         string
	abandoned    bool
}

// describe returns the inventory of a fleet.
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

func newFleet(w *simulation, config fleetConfig) *fleet {
	f := &fleet{sim: w, sides: make(map[string]*side), requests: make(map[string]*request)}
	for i := range config.sides {
		s := &side{fleet: f, name: sideName(i), domain: config.domains[i%len(config.domains)], slots: config.slots, queue: config.queue}
		s.engine = newEngine(w)
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
			Random: rand.New(rand.NewPCG(w.random.Uint64(), 2)),
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

// start gives the side a new core, as a restart of its process does.
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

// arm schedules the core's next alarm.
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

func (e *entry) client(side string) *client {
	l, ok := e.clients[side]
	if !ok {
		l = &client{entry: e, side: e.fleet.sides[side], awaited: make(map[string]bool), resume: true}
		e.clients[side] = l
	}
	return l
}

// ask sends a request to an entry.
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

// runs returns how often engines began a request.
func (f *fleet) runs(request string) int {
	runs := 0
	for _, s := range f.sides {
		runs += s.engine.runs[request]
	}
	return runs
}

// check returns what is wrong with a request's end, or "".
func (f *fleet) check(r *request) string {
	id, runs := r.config.ID, f.runs(r.config.ID)
	expected := completeAnswer(id, r.outputTokens)
	switch {
	case r.abandoned:
		return ""
	case !r.complete && !r.refused:
		return "has no end"
	case r.complete && r.answer.String() != expected:
		return fmt.Sprintf("got the wrong answer %q", r.answer.String())
	case !strings.HasPrefix(expected, r.answer.String()):
		return fmt.Sprintf("got bytes of another answer: %q", r.answer.String())
	case r.refused && r.outcome == httpserver.NotRun && runs > 0:
		return fmt.Sprintf("was called not-run but ran %d times", runs)
	case !r.config.Idempotent && runs > 1:
		return fmt.Sprintf("may not be repeated but ran %d times", runs)
	}
	return ""
}

// line is responsible for what an entry's sender, reader and prober for one
// side do, over the fake network.
type client struct {
	entry       *entry
	side        *side
	incarnation string // incarnation of the side
	submits     []protocol.Submit
	cancels     []string
	sending     bool
	awaited     map[string]bool
	confirmed   []protocol.Position
	reading     bool
	resume      bool
	readNumber  uint64
	failures    int
}

func (l *client) sim() *simulation { return l.entry.fleet.sim }

func (l *client) submit(submit protocol.Submit) {
	l.submits = append(l.submits, submit)
	l.awaited[submit.Attempt()] = true
	l.sim().after(0, l.sendBatch)
}

func (l *client) cancel(attempt string) {
	delete(l.awaited, attempt)
	l.cancels = append(l.cancels, attempt)
	l.sim().after(0, l.sendBatch)
}

func (l *client) sendBatch() {
	if l.sending || len(l.submits)+len(l.cancels) == 0 {
		return
	}
	l.sending = true
	submits, cancels := l.submits, l.cancels
	l.submits, l.cancels = nil, nil
	l.exchange(submits, cancels, 0, false)
	l.read()
}

// exchange follows the rules of the entry's sender.
func (l *client) exchange(submits []protocol.Submit, cancels []string, tries int, sent bool) {
	if tries == 3 {
		l.reportFailure(submits, sent)
		return
	}
	if l.side.stopped {
		l.sim().after(time.Millisecond, func() { l.reportFailure(submits, sent) })
		return
	}
	if l.incarnation == "" {
		l.fetchIncarnation(submits, cancels, tries)
		return
	}
	meant := l.incarnation
	flat := slices.Clone(submits)
	if flatten := l.entry.fleet.rewriteSubmit; flatten != nil {
		for i, submit := range submits {
			flat[i] = flatten(submitConfig(submit))
		}
	}
	batch := protocol.NewBatch(protocol.BatchConfig{Entry: l.entry.name, Side: meant, Submits: flat, Cancels: cancels})
	l.call(callTimeout, func(reply replyFunc) { l.side.handle(dispatcher.NewBatchReceived(batch, reply)) }, func(reply any) {
		receipts, ok := reply.(protocol.Receipts)
		switch {
		case !ok:
			l.exchange(submits, cancels, tries+1, true)
		case meant != receipts.Side() && sent:
			l.incarnation = receipts.Side()
			l.reportFailure(submits, true)
		case meant != receipts.Side():
			l.incarnation = receipts.Side()
			l.exchange(submits, cancels, tries+1, false)
		default:
			l.incarnation = receipts.Side()
			for _, receipt := range receipts.Receipts() {
				if !receipt.Accepted() {
					delete(l.awaited, receipt.Attempt())
				}
			}
			l.finishExchange(router.NewSubmitReply(l.side.name, receipts))
		}
	})
}

// introduce asks for the side's incarnation by an empty batch.
func (l *client) fetchIncarnation(submits []protocol.Submit, cancels []string, tries int) {
	empty := protocol.NewBatch(protocol.BatchConfig{Entry: l.entry.name})
	l.call(callTimeout, func(reply replyFunc) { l.side.handle(dispatcher.NewBatchReceived(empty, reply)) }, func(reply any) {
		if receipts, ok := reply.(protocol.Receipts); ok && l.incarnation == "" {
			l.incarnation = receipts.Side()
		}
		l.exchange(submits, cancels, tries+1, false)
	})
}

func (l *client) reportFailure(submits []protocol.Submit, ran bool) {
	ids := make([]string, 0, len(submits))
	for _, submit := range submits {
		ids = append(ids, submit.Attempt())
		delete(l.awaited, submit.Attempt())
	}
	l.finishExchange(router.NewSubmitFailed(l.side.name, ids, ran))
}

func (l *client) finishExchange(message router.Message) {
	l.sending = false
	l.entry.handle(message)
	l.sendBatch()
}

// read follows the rules of the entry's reader.
func (l *client) read() {
	if l.reading || len(l.awaited)+len(l.confirmed) == 0 {
		return
	}
	l.reading = true
	l.readNumber++
	wait := readWait
	if len(l.awaited) == 0 {
		wait = 0
	}
	query := protocol.NewRead(protocol.ReadConfig{Entry: l.entry.name, Number: l.readNumber, Resume: l.resume, Positions: l.confirmed, Wait: wait})
	l.call(wait+callTimeout, func(reply replyFunc) { l.side.handle(dispatcher.NewReadRequested(query, reply)) }, func(reply any) {
		l.reading = false
		pages, ok := reply.(protocol.Pages)
		if !ok {
			l.handleReadFailure(reply)
			return
		}
		l.resume, l.failures, l.confirmed = false, 0, nil
		for _, page := range pages.Pages() {
			ended := page.State() != protocol.AnswerOpen
			l.confirmed = append(l.confirmed, protocol.NewPosition(protocol.PositionConfig{
				Attempt: page.Attempt(), Offset: page.Offset() + int64(len(page.Data())), Ended: ended,
			}))
			if ended {
				delete(l.awaited, page.Attempt())
			}
		}
		l.entry.handle(router.NewReadReply(l.side.name, pages))
		l.read()
	})
}

func (l *client) handleReadFailure(reply any) {
	l.resume = true
	if reply == nil {
		l.failures++
	}
	if l.failures < 3 {
		l.sim().after(100*time.Millisecond, l.read)
		return
	}
	l.failures, l.confirmed = 0, nil
	clear(l.awaited)
	l.entry.handle(router.NewSideUnreachable(l.side.name))
}

func (l *client) probe(query protocol.Query) {
	probe := protocol.NewProbe(protocol.ProbeConfig{Entry: l.entry.name, Queries: []protocol.Query{query}})
	l.call(callTimeout, func(reply replyFunc) { l.side.handle(dispatcher.NewProbeRequested(probe, reply)) }, func(reply any) {
		report, ok := reply.(protocol.Report)
		if !ok {
			l.entry.handle(router.NewProbeFailed(l.side.name))
			return
		}
		if l.incarnation == "" {
			l.incarnation = report.Side()
		}
		l.entry.handle(router.NewProbeReply(l.side.name, report))
	})
}

// call fails at once when the side's process is gone.
func (l *client) call(limit time.Duration, serve func(reply replyFunc), done func(reply any)) {
	if l.side.stopped {
		l.sim().after(time.Millisecond, func() { done(nil) })
		return
	}
	l.sim().call(l.entry.name, l.side.name, limit, serve, done)
}

// unpack returns the configuration of a submit.
func submitConfig(s protocol.Submit) protocol.SubmitConfig {
	return protocol.SubmitConfig{
		Attempt: s.Attempt(), Request: s.Request(), Tenant: s.Tenant(), Model: s.Model(), Body: s.Body(), PrefixHashes: s.PrefixHashes(),
		Stream: s.Stream(), Urgent: s.Urgent(), Idempotent: s.Idempotent(), Tokens: s.Tokens(), Remaining: s.Remaining(),
	}
}
