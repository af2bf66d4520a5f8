package rehearsal

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
	readWait    = 250 * time.Millisecond
	callTimeout = time.Second
	maxAttempts = 3
	probes      = 4
	retryShare  = 0.2
	sideQueue   = 256
	prefixes    = 16384
)

// fleet is responsible for entries and sides that talk over the fake network.
type fleet struct {
	world   *world
	entries []*entry
	sides   map[string]*side
	names   []string // of the sides
	records map[string]*record
	copies  map[string][]string                                // sides that hold a model
	choose  func(e *entry, r *record) string                   // a baseline's choice of side, or nil
	flatten func(config protocol.SubmitConfig) protocol.Submit // a baseline's order of the queue, or nil
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
	dead    bool
	alarmAt time.Time
}

// entry is responsible for one entry's core and its lines.
type entry struct {
	fleet   *fleet
	name    string
	domain  string
	core    *router.Core
	lines   map[string]*line
	alarmAt time.Time
}

// record is what is known of one request.
type record struct {
	config  router.RequestConfig
	entry   *entry
	prompt  prompt
	want    int
	asked   time.Time
	firstAt time.Time
	endedAt time.Time
	answer  strings.Builder
	whole   bool
	refused bool
	outcome string
	code    string
	left    bool
}

// describe returns the inventory of a fleet.
func describe(t testing.TB, config fleetConfig) *fleetstate.Inventory {
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

func newFleet(w *world, config fleetConfig) *fleet {
	f := &fleet{world: w, sides: make(map[string]*side), records: make(map[string]*record)}
	for i := range config.sides {
		s := &side{fleet: f, name: sideName(i), domain: config.domains[i%len(config.domains)], slots: config.slots, queue: config.queue}
		s.engine = newEngine(w)
		s.engine.onPiece = func(attempt string, data []byte) { s.handle(dispatcher.NewChunkReceived(attempt, data)) }
		s.engine.onEnd = func(attempt, code string) { s.handle(dispatcher.NewAttemptEnded(attempt, code, true)) }
		s.start()
		f.sides[s.name] = s
		f.names = append(f.names, s.name)
	}
	for i := range config.entries {
		e := &entry{fleet: f, name: fmt.Sprintf("entry-%d", i), domain: config.domains[i%len(config.domains)], lines: make(map[string]*line)}
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
	for _, name := range f.names {
		f.sides[name].tick()
	}
	return f
}

// start gives the side a new core, as a restart of its process does.
func (s *side) start() {
	s.starts++
	s.core = dispatcher.NewCore(dispatcher.CoreConfig{
		Incarnation: fmt.Sprintf("%s/%d", s.name, s.starts), Concurrency: s.slots, QueueLimit: s.queue,
		PrefixBlocks: prefixes, MaxBuffered: 1 << 20, FlushDelay: 2 * time.Millisecond,
	})
	s.engine.crash()
}

func (s *side) handle(message dispatcher.Message) {
	if !s.dead {
		s.carryOut(s.core.Handle(s.fleet.world.now, message))
	}
}

func (s *side) tick() {
	s.fleet.world.after(time.Second, func() {
		if !s.dead {
			s.carryOut(s.core.Tick(s.fleet.world.now))
		}
		s.tick()
	})
}

func (s *side) carryOut(actions []dispatcher.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatcher.AnswerBatch:
			a.Send()
		case dispatcher.AnswerRead:
			a.Send()
		case dispatcher.AnswerProbe:
			a.Send()
		case dispatcher.Run:
			r := s.fleet.records[a.Submit().Request()]
			s.handle(dispatcher.NewHeaderReceived(a.Submit().Attempt(), 200, "text/event-stream"))
			s.engine.run(a.Submit(), r.prompt, r.want)
		case dispatcher.Stop:
			s.engine.stop(a.Attempt())
		}
	}
	s.arm()
}

// arm schedules the core's next alarm.
func (s *side) arm() {
	at := s.core.Alarm()
	if at.IsZero() || at.Equal(s.alarmAt) {
		return
	}
	s.alarmAt = at
	core := s.core
	s.fleet.world.after(max(at.Sub(s.fleet.world.now), 0), func() {
		if s.core == core && s.alarmAt.Equal(at) && !s.dead {
			s.alarmAt = time.Time{}
			s.carryOut(core.Tick(s.fleet.world.now))
		}
	})
}

func (e *entry) handle(message router.Message) { e.carryOut(e.core.Handle(e.fleet.world.now, message)) }

func (e *entry) tick() {
	e.fleet.world.after(100*time.Millisecond, func() {
		e.carryOut(e.core.Tick(e.fleet.world.now))
		e.tick()
	})
}

func (e *entry) arm() {
	at := e.core.Alarm()
	if at.IsZero() || at.Equal(e.alarmAt) {
		return
	}
	e.alarmAt = at
	e.fleet.world.after(max(at.Sub(e.fleet.world.now), 0), func() {
		if e.alarmAt.Equal(at) {
			e.alarmAt = time.Time{}
			e.carryOut(e.core.Tick(e.fleet.world.now))
		}
	})
}

func (e *entry) carryOut(actions []router.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case router.Send:
			e.line(a.Side()).submit(a.Submit())
		case router.Probe:
			e.line(a.Side()).probe(a.Query())
		case router.Cancel:
			e.line(a.Side()).cancel(a.Attempt())
		case router.Deliver:
			e.fleet.deliver(a)
		case router.Refuse:
			e.fleet.refuse(a)
		}
	}
	e.arm()
}

func (e *entry) line(side string) *line {
	l, ok := e.lines[side]
	if !ok {
		l = &line{entry: e, side: e.fleet.sides[side], awaited: make(map[string]bool), resume: true}
		e.lines[side] = l
	}
	return l
}

// ask sends a request to an entry.
func (f *fleet) ask(e *entry, r *record) {
	r.entry, r.asked = e, f.world.now
	r.config.Deadline = f.world.now.Add(r.limit())
	f.records[r.config.ID] = r
	if f.choose != nil {
		e.handle(router.NewPlacementChanged(map[string][]string{r.config.Model: {f.choose(e, r)}}))
	}
	e.handle(router.NewRequest(r.config))
}

func (r *record) limit() time.Duration {
	if r.config.Urgent {
		return 30 * time.Second
	}
	return time.Minute
}

func (f *fleet) deliver(a router.Deliver) {
	r := f.records[a.RequestID()]
	if r.firstAt.IsZero() {
		r.firstAt = f.world.now
	}
	r.answer.Write(a.Data())
	r.whole = a.Complete()
	r.endedAt = f.world.now
}

func (f *fleet) refuse(a router.Refuse) {
	r := f.records[a.RequestID()]
	r.refused, r.outcome, r.code, r.endedAt = true, a.Refusal().Outcome(), a.Refusal().Code(), f.world.now
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
func (f *fleet) check(r *record) string {
	id, runs := r.config.ID, f.runs(r.config.ID)
	expected := wholeAnswer(id, r.want)
	switch {
	case r.left:
		return ""
	case !r.whole && !r.refused:
		return "has no end"
	case r.whole && r.answer.String() != expected:
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
type line struct {
	entry     *entry
	side      *side
	known     string // incarnation of the side
	waiting   []protocol.Submit
	cancels   []string
	sending   bool
	awaited   map[string]bool
	confirmed []protocol.Position
	reading   bool
	resume    bool
	number    uint64
	failures  int
}

func (l *line) world() *world { return l.entry.fleet.world }

func (l *line) submit(submit protocol.Submit) {
	l.waiting = append(l.waiting, submit)
	l.awaited[submit.Attempt()] = true
	l.world().after(0, l.sendNext)
}

func (l *line) cancel(attempt string) {
	delete(l.awaited, attempt)
	l.cancels = append(l.cancels, attempt)
	l.world().after(0, l.sendNext)
}

func (l *line) sendNext() {
	if l.sending || len(l.waiting)+len(l.cancels) == 0 {
		return
	}
	l.sending = true
	submits, cancels := l.waiting, l.cancels
	l.waiting, l.cancels = nil, nil
	l.exchange(submits, cancels, 0, false)
	l.read()
}

// exchange follows the rules of the entry's sender.
func (l *line) exchange(submits []protocol.Submit, cancels []string, tries int, sent bool) {
	if tries == 3 {
		l.unsent(submits, sent)
		return
	}
	if l.side.dead {
		l.world().after(time.Millisecond, func() { l.unsent(submits, sent) })
		return
	}
	if l.known == "" {
		l.introduce(submits, cancels, tries)
		return
	}
	meant := l.known
	flat := slices.Clone(submits)
	if flatten := l.entry.fleet.flatten; flatten != nil {
		for i, submit := range submits {
			flat[i] = flatten(unpack(submit))
		}
	}
	batch := protocol.NewBatch(protocol.BatchConfig{Entry: l.entry.name, Side: meant, Submits: flat, Cancels: cancels})
	l.call(callTimeout, func(reply replyTo) { l.side.handle(dispatcher.NewBatchReceived(batch, reply)) }, func(reply any) {
		receipts, ok := reply.(protocol.Receipts)
		switch {
		case !ok:
			l.exchange(submits, cancels, tries+1, true)
		case meant != receipts.Side() && sent:
			l.known = receipts.Side()
			l.unsent(submits, true)
		case meant != receipts.Side():
			l.known = receipts.Side()
			l.exchange(submits, cancels, tries+1, false)
		default:
			l.known = receipts.Side()
			for _, receipt := range receipts.Receipts() {
				if !receipt.Accepted() {
					delete(l.awaited, receipt.Attempt())
				}
			}
			l.sent(router.NewSubmitReply(l.side.name, receipts))
		}
	})
}

// introduce asks for the side's incarnation by an empty batch.
func (l *line) introduce(submits []protocol.Submit, cancels []string, tries int) {
	empty := protocol.NewBatch(protocol.BatchConfig{Entry: l.entry.name})
	l.call(callTimeout, func(reply replyTo) { l.side.handle(dispatcher.NewBatchReceived(empty, reply)) }, func(reply any) {
		if receipts, ok := reply.(protocol.Receipts); ok && l.known == "" {
			l.known = receipts.Side()
		}
		l.exchange(submits, cancels, tries+1, false)
	})
}

func (l *line) unsent(submits []protocol.Submit, ran bool) {
	ids := make([]string, 0, len(submits))
	for _, submit := range submits {
		ids = append(ids, submit.Attempt())
		delete(l.awaited, submit.Attempt())
	}
	l.sent(router.NewSubmitFailed(l.side.name, ids, ran))
}

func (l *line) sent(message router.Message) {
	l.sending = false
	l.entry.handle(message)
	l.sendNext()
}

// read follows the rules of the entry's reader.
func (l *line) read() {
	if l.reading || len(l.awaited)+len(l.confirmed) == 0 {
		return
	}
	l.reading = true
	l.number++
	wait := readWait
	if len(l.awaited) == 0 {
		wait = 0
	}
	query := protocol.NewRead(protocol.ReadConfig{Entry: l.entry.name, Number: l.number, Resume: l.resume, Positions: l.confirmed, Wait: wait})
	l.call(wait+callTimeout, func(reply replyTo) { l.side.handle(dispatcher.NewReadRequested(query, reply)) }, func(reply any) {
		l.reading = false
		pages, ok := reply.(protocol.Pages)
		if !ok {
			l.readFailed(reply)
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

func (l *line) readFailed(reply any) {
	l.resume = true
	if reply == nil {
		l.failures++
	}
	if l.failures < 3 {
		l.world().after(100*time.Millisecond, l.read)
		return
	}
	l.failures, l.confirmed = 0, nil
	clear(l.awaited)
	l.entry.handle(router.NewSideUnreachable(l.side.name))
}

func (l *line) probe(query protocol.Query) {
	probe := protocol.NewProbe(protocol.ProbeConfig{Entry: l.entry.name, Queries: []protocol.Query{query}})
	l.call(callTimeout, func(reply replyTo) { l.side.handle(dispatcher.NewProbeRequested(probe, reply)) }, func(reply any) {
		report, ok := reply.(protocol.Report)
		if !ok {
			l.entry.handle(router.NewProbeFailed(l.side.name))
			return
		}
		if l.known == "" {
			l.known = report.Side()
		}
		l.entry.handle(router.NewProbeReply(l.side.name, report))
	})
}

// call fails at once when the side's process is gone.
func (l *line) call(limit time.Duration, serve func(reply replyTo), done func(reply any)) {
	if l.side.dead {
		l.world().after(time.Millisecond, func() { done(nil) })
		return
	}
	l.world().call(l.entry.name, l.side.name, limit, serve, done)
}

// unpack returns the configuration of a submit.
func unpack(s protocol.Submit) protocol.SubmitConfig {
	return protocol.SubmitConfig{
		Attempt: s.Attempt(), Request: s.Request(), Tenant: s.Tenant(), Model: s.Model(), Body: s.Body(), PrefixHashes: s.PrefixHashes(),
		Stream: s.Stream(), Urgent: s.Urgent(), Idempotent: s.Idempotent(), Tokens: s.Tokens(), Remaining: s.Remaining(),
	}
}
