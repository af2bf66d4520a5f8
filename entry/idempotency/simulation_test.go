package idempotency

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/entry/router"
)

const inventoryText = `[instance side-0]
role = side
link = 127.0.0.1:1
domain = a
backend = desk-0
[instance side-1]
role = side
link = 127.0.0.1:2
domain = a
backend = desk-1
[backend desk-0]
kind = service
service = bookings
slots = 4
[backend desk-1]
kind = service
service = bookings
slots = 4
`

// simulation runs several entries with one log and one service in virtual time.
type simulation struct {
	t       testingT
	now     time.Time
	logDown bool // the log service is unreachable
	log     []Batch
	delayed []Batch // appends that have not taken effect yet
	entries []*entry
	runs    map[string]int    // number of runs that the service counted, by request body
	sent    map[string]int    // number of copies sent, by request body
	replies map[string]reply  // by request id
	bodies  map[string]string // request bodies by request id
	lastID  int
}

// testingT is the part of *testing.T and *rapid.T that the simulation uses.
type testingT interface {
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

// entry holds the cores of one entry and its pending appends and attempts.
type entry struct {
	core           *Core
	router         *router.Core
	nextRecord     int           // offset of the next log record to read
	pendingAppends []Action      // intents and outcomes not yet appended
	sends          []router.Send // attempts not yet sent to a side
	accepted       []router.Send // attempts that a side has accepted and not run yet
}

// reply is the answer or refusal that a caller received.
type reply struct {
	Complete bool
	Data     string
	Code     string
	Outcome  string
}

func newSimulation(t testingT, entries int) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_000_000, 0), runs: make(map[string]int), sent: make(map[string]int),
		replies: make(map[string]reply), bodies: make(map[string]string),
	}
	for range entries {
		s.entries = append(s.entries, s.newEntry())
	}
	return s
}

func (s *simulation) newEntry() *entry {
	inventory, err := fleetstate.ParseInventory("inv.ini", []byte(inventoryText))
	if err != nil {
		s.t.Fatal(err)
	}
	e := &entry{
		core: NewCore(CoreConfig{
			Table:      TableConfig{Capacity: 100, IntentTTL: 240 * time.Hour, AnswerBytes: 1 << 20, AnswerTTL: 24 * time.Hour},
			MaxCallers: 100, AppendTimeout: 3 * time.Second, MaxWait: 10 * time.Second, MaxAnswer: 1 << 10,
		}),
		router: router.NewCore(router.CoreConfig{Domain: "a", MaxAttempts: 3, Probes: 2, RetryShare: 1, Random: rand.New(rand.NewPCG(1, 2))}),
	}
	e.router.Handle(s.now, router.NewInventoryChanged(inventory))
	return e
}

// send sends a copy of a request to an entry and returns the copy's id.
func (s *simulation) send(index int, body string) string {
	return s.sendWithKey(index, body, "key-"+body)
}

// sendWithKey is send with the given Idempotency-Key.
func (s *simulation) sendWithKey(index int, body, key string) string {
	s.lastID++
	id := fmt.Sprintf("q%d", s.lastID)
	s.sent[body]++
	s.bodies[id] = body
	s.execute(s.entries[index], s.entries[index].core.Handle(s.now, NewReceived(router.NewRequest(router.RequestConfig{
		ID: id, Tenant: "lantern", Route: "bookings", IdempotencyKey: key, Service: "bookings", Method: "POST", Path: "/bookings",
		Body: []byte(body), Deadline: s.now.Add(time.Minute),
	}))))
	return id
}

func (s *simulation) execute(e *entry, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AppendIntent, AppendOutcome:
			e.pendingAppends = append(e.pendingAppends, a)
		case Dispatch:
			s.route(e, e.router.Handle(s.now, a.Request()))
		case Forward:
			s.recordReply(a.part.RequestID(), reply{Complete: a.part.Complete(), Data: s.replies[a.part.RequestID()].Data + string(a.part.Data())})
		case Refuse:
			refusal := a.refusal.Refusal()
			s.recordReply(a.refusal.RequestID(), reply{Code: refusal.Code(), Outcome: refusal.Outcome()})
		}
	}
}

// recordReply records a reply. It reports an error if the request already has a
// complete answer or a refusal.
func (s *simulation) recordReply(request string, got reply) {
	if before, ok := s.replies[request]; ok && (before.Complete || before.Outcome != "") {
		s.t.Errorf("%s was answered twice: %+v, then %+v", request, before, got)
	}
	s.replies[request] = got
}

// route executes the actions of an entry's router.
func (s *simulation) route(e *entry, actions []router.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case router.Send:
			e.sends = append(e.sends, a)
		case router.Probe:
			s.route(e, e.router.Handle(s.now, router.NewProbeReply(a.Side(), idleReport(a.Query()))))
		case router.Deliver:
			s.execute(e, e.core.Handle(s.now, NewDelivered(a)))
		case router.Refuse:
			s.execute(e, e.core.Handle(s.now, NewFailed(a)))
		}
	}
}

// idleReport returns the report of a side without load.
func idleReport(query protocol.Query) protocol.Report {
	estimate := protocol.NewEstimate(protocol.EstimateConfig{Request: query.Request(), Resident: true})
	return protocol.NewReport(protocol.ReportConfig{Side: "i", Slots: 8, Estimates: []protocol.Estimate{estimate}})
}

// callResult is the result of an append or of an attempt sent over the network.
type callResult int

const (
	succeeded   callResult = iota // executed and answered
	replyLost                     // executed, the answer was lost
	rejected                      // certainly not executed
	requestLost                   // not executed, which the sender cannot detect
	delayed                       // executed later, which the sender cannot detect
	callResults
)

// appendPending appends an entry's pending intents and outcomes in one record.
func (s *simulation) appendPending(index int, result callResult) {
	e := s.entries[index]
	if len(e.pendingAppends) == 0 {
		return
	}
	var config BatchConfig
	var runs []string
	for _, action := range e.pendingAppends {
		switch a := action.(type) {
		case AppendIntent:
			config.Intents, runs = append(config.Intents, a.intent), append(runs, a.intent.Run())
		case AppendOutcome:
			config.Outcomes = append(config.Outcomes, a.outcome)
		}
	}
	e.pendingAppends = nil
	if s.logDown {
		result = rejected
	}
	switch result {
	case succeeded, replyLost:
		s.log = append(s.log, NewBatch(config))
	case rejected:
		s.execute(e, e.core.Handle(s.now, NewNotAppended(runs)))
	case delayed:
		s.delayed = append(s.delayed, NewBatch(config))
	}
}

// applyDelayed writes the oldest delayed append to the log.
func (s *simulation) applyDelayed() {
	if len(s.delayed) > 0 {
		s.log, s.delayed = append(s.log, s.delayed[0]), s.delayed[1:]
	}
}

// readRecord delivers the next record of the log to an entry.
func (s *simulation) readRecord(index int) {
	e := s.entries[index]
	if s.logDown || e.nextRecord >= len(s.log) {
		return
	}
	s.execute(e, e.core.Handle(s.now, NewBatchRead(int64(e.nextRecord), s.log[e.nextRecord])))
	e.nextRecord++
}

// submitAttempt sends an entry's oldest attempt to its side.
func (s *simulation) submitAttempt(index int, result callResult) {
	e := s.entries[index]
	if len(e.sends) == 0 {
		return
	}
	send := e.sends[0]
	e.sends = e.sends[1:]
	id := send.Submit().Attempt()
	switch result {
	case succeeded:
		e.accepted = append(e.accepted, send)
		receipt := protocol.NewReceipt(protocol.ReceiptConfig{Attempt: id, Accepted: true})
		receipts := protocol.NewReceipts(protocol.ReceiptsConfig{Side: "i", Receipts: []protocol.Receipt{receipt}})
		s.route(e, e.router.Handle(s.now, router.NewSubmitReply(send.Side(), receipts)))
	case rejected:
		s.route(e, e.router.Handle(s.now, router.NewSubmitFailed(send.Side(), []string{id}, false)))
	case replyLost, delayed:
		s.runs[string(send.Submit().Body())]++
		s.route(e, e.router.Handle(s.now, router.NewSubmitFailed(send.Side(), []string{id}, true)))
	case requestLost:
		s.route(e, e.router.Handle(s.now, router.NewSubmitFailed(send.Side(), []string{id}, true)))
	}
}

// runAttempt runs the oldest attempt that a side accepted from an entry.
func (s *simulation) runAttempt(index int, result callResult) {
	e := s.entries[index]
	if len(e.accepted) == 0 {
		return
	}
	send := e.accepted[0]
	e.accepted = e.accepted[1:]
	body := string(send.Submit().Body())
	page := protocol.PageConfig{Attempt: send.Submit().Attempt(), Status: 201}
	switch result {
	case succeeded:
		s.runs[body]++
		page.Data, page.State = []byte("booked "+body), protocol.AnswerComplete
	case rejected:
		page.State, page.Code = protocol.AnswerFailed, protocol.CodeBackendUnreachable
	case replyLost, delayed:
		s.runs[body]++
		page.State, page.Code, page.MayHaveRun = protocol.AnswerFailed, protocol.CodeAnswerCut, true
	case requestLost:
		page.State, page.Code, page.MayHaveRun = protocol.AnswerFailed, protocol.CodeAnswerCut, true
	}
	pages := protocol.NewPages(protocol.PagesConfig{Side: "i", Pages: []protocol.Page{protocol.NewPage(page)}})
	s.route(e, e.router.Handle(s.now, router.NewReadReply(send.Side(), pages)))
}

// crash replaces an entry by an empty one. The sides still run the attempts that
// they accepted from it.
func (s *simulation) crash(index int) {
	for _, send := range s.entries[index].accepted {
		s.runs[string(send.Submit().Body())]++
	}
	s.entries[index] = s.newEntry()
}

func (s *simulation) tick(step time.Duration) {
	s.now = s.now.Add(step)
	for _, e := range s.entries {
		s.route(e, e.router.Tick(s.now))
		s.execute(e, e.core.Tick(s.now))
	}
}

// settle ends the outage and completes all pending appends and attempts.
func (s *simulation) settle() {
	s.logDown = false
	for range 60 {
		for index := range s.entries {
			s.appendPending(index, succeeded)
			for range len(s.log) + 1 {
				s.readRecord(index)
			}
			s.submitAttempt(index, succeeded)
			s.runAttempt(index, succeeded)
		}
		s.applyDelayed()
		s.tick(2 * time.Second)
	}
}

// check verifies the callers' replies against the runs that the service counted.
func (s *simulation) check() {
	refusals := make(map[string]int)
	answers := make(map[string]string)
	for request, got := range s.replies {
		body := s.bodies[request]
		if got.Outcome == httpserver.NotRun {
			refusals[body]++
		}
		if before, ok := answers[body]; got.Complete && ok && before != got.Data {
			s.t.Errorf("%s: answers %q and %q", body, before, got.Data)
		}
		if got.Complete {
			answers[body] = got.Data
		}
	}
	for body, runs := range s.runs {
		if runs > 1 {
			s.t.Errorf("%s ran %d times", body, runs)
		}
		if runs > 0 && refusals[body] == s.sent[body] {
			s.t.Errorf("%s ran although every copy was refused as not run", body)
		}
	}
	for body := range answers {
		if s.runs[body] == 0 {
			s.t.Errorf("%s was answered and never ran", body)
		}
	}
}
