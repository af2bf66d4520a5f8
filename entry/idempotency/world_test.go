package idempotency

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/usher"
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

// world is several entries with a log and a service, in virtual time.
type simulation struct {
	t       testingT
	now     time.Time
	logDown bool // the log service
	log     []Batch
	delayed []Batch // appends that have not taken effect yet
	entries []*entry
	runs    map[string]int // by the request's body, as the service counts them
	sent    map[string]int // copies of each request
	replies map[string]reply
	bodies  map[string]string // by request id
	lastID  int
}

// reporter is the part of a test or a property that the world uses.
type testingT interface {
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

// entry is one entry's cores and what they have in flight.
type entry struct {
	core           *Core
	router         *usher.Core
	nextRecord     int
	pendingAppends []Action
	sends          []usher.Send
	accepted       []usher.Send
}

// reply is what a caller got.
type reply struct {
	Whole   bool
	Data    string
	Code    string
	Outcome string
}

func newSimulation(t testingT, entries int) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1_000_000, 0), runs: make(map[string]int), sent: make(map[string]int),
		replies: make(map[string]reply), bodies: make(map[string]string),
	}
	for range entries {
		w.entries = append(w.entries, w.newEntry())
	}
	return w
}

func (w *simulation) newEntry() *entry {
	inventory, err := register.Parse("inv.ini", []byte(inventoryText))
	if err != nil {
		w.t.Fatal(err)
	}
	e := &entry{
		core: NewCore(CoreConfig{
			Table:      TableConfig{Capacity: 100, IntentTTL: 240 * time.Hour, AnswerBytes: 1 << 20, AnswerTTL: 24 * time.Hour},
			MaxCallers: 100, AppendTimeout: 3 * time.Second, MaxWait: 10 * time.Second, MaxAnswer: 1 << 10,
		}),
		router: usher.NewCore(usher.CoreConfig{Domain: "a", MaxAttempts: 3, Probes: 2, RetryShare: 1, Random: rand.New(rand.NewPCG(1, 2))}),
	}
	e.router.Handle(w.now, usher.NewRevised(inventory))
	return e
}

// ask sends a copy of a request to an entry and returns the copy's id.
func (w *simulation) send(at int, body string) string { return w.sendWithKey(at, body, "key-"+body) }

// askAs is ask with another Idempotency-Key.
func (w *simulation) sendWithKey(at int, body, key string) string {
	w.lastID++
	id := fmt.Sprintf("q%d", w.lastID)
	w.sent[body]++
	w.bodies[id] = body
	w.execute(w.entries[at], w.entries[at].core.Handle(w.now, NewReceived(usher.NewAsk(usher.AskConfig{
		Request: id, Tenant: "lantern", Route: "bookings", Key: key, Service: "bookings", Method: "POST", Path: "/bookings",
		Body: []byte(body), Deadline: w.now.Add(time.Minute),
	}))))
	return id
}

func (w *simulation) execute(e *entry, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case AppendIntent, AppendOutcome:
			e.pendingAppends = append(e.pendingAppends, a)
		case Dispatch:
			w.route(e, e.router.Handle(w.now, a.Request()))
		case Forward:
			w.recordReply(a.piece.Request(), reply{Whole: a.piece.Whole(), Data: w.replies[a.piece.Request()].Data + string(a.piece.Data())})
		case Refuse:
			refusal := a.refusal.Refusal()
			w.recordReply(a.refusal.Request(), reply{Code: refusal.Code(), Outcome: refusal.Outcome()})
		}
	}
}

// hear notes an answer; a caller that has its answer must get no other.
func (w *simulation) recordReply(request string, got reply) {
	if before, ok := w.replies[request]; ok && (before.Whole || before.Outcome != "") {
		w.t.Errorf("%s was answered twice: %+v, then %+v", request, before, got)
	}
	w.replies[request] = got
}

// route carries out the actions of an entry's usher.
func (w *simulation) route(e *entry, actions []usher.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case usher.Send:
			e.sends = append(e.sends, a)
		case usher.Probe:
			w.route(e, e.router.Handle(w.now, usher.NewReported(a.Side(), idleReport(a.Query()))))
		case usher.Deliver:
			w.execute(e, e.core.Handle(w.now, NewDelivered(a)))
		case usher.Refuse:
			w.execute(e, e.core.Handle(w.now, NewFailed(a)))
		}
	}
}

// idle returns the report of a side without load.
func idleReport(query notice.Query) notice.Report {
	estimate := notice.NewEstimate(notice.EstimateConfig{Request: query.Request(), Resident: true})
	return notice.NewReport(notice.ReportConfig{Side: "i", Slots: 8, Estimates: []notice.Estimate{estimate}})
}

// fate is what becomes of an append or of an attempt on its way.
type callResult int

const (
	succeeded   callResult = iota // carried out and answered
	replyLost                     // carried out, the answer was lost
	rejected                      // certainly not carried out
	requestLost                   // not carried out, and nobody can tell
	delayed                       // carried out later, and nobody can tell
	callResults
)

// append takes what an entry's appender holds through one append.
func (w *simulation) appendPending(at int, f callResult) {
	e := w.entries[at]
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
	if w.logDown {
		f = rejected
	}
	switch f {
	case succeeded, replyLost:
		w.log = append(w.log, NewBatch(config))
	case rejected:
		w.execute(e, e.core.Handle(w.now, NewNotAppended(runs)))
	case delayed:
		w.delayed = append(w.delayed, NewBatch(config))
	}
}

// arrive lets the oldest delayed append take effect.
func (w *simulation) applyDelayed() {
	if len(w.delayed) > 0 {
		w.log, w.delayed = append(w.log, w.delayed[0]), w.delayed[1:]
	}
}

// follow gives an entry the next record of the log.
func (w *simulation) readRecord(at int) {
	e := w.entries[at]
	if w.logDown || e.nextRecord >= len(w.log) {
		return
	}
	w.execute(e, e.core.Handle(w.now, NewBatchRead(int64(e.nextRecord), w.log[e.nextRecord])))
	e.nextRecord++
}

// receipt takes an entry's oldest attempt to its side.
func (w *simulation) submitAttempt(at int, f callResult) {
	e := w.entries[at]
	if len(e.sends) == 0 {
		return
	}
	send := e.sends[0]
	e.sends = e.sends[1:]
	id := send.Submit().Attempt()
	switch f {
	case succeeded:
		e.accepted = append(e.accepted, send)
		receipt := notice.NewReceipt(notice.ReceiptConfig{Attempt: id, Accepted: true})
		receipts := notice.NewReceipts(notice.ReceiptsConfig{Side: "i", Receipts: []notice.Receipt{receipt}})
		w.route(e, e.router.Handle(w.now, usher.NewReceipted(send.Side(), receipts)))
	case rejected:
		w.route(e, e.router.Handle(w.now, usher.NewUnsent(send.Side(), []string{id}, false)))
	case replyLost, delayed:
		w.runs[string(send.Submit().Body())]++
		w.route(e, e.router.Handle(w.now, usher.NewUnsent(send.Side(), []string{id}, true)))
	case requestLost:
		w.route(e, e.router.Handle(w.now, usher.NewUnsent(send.Side(), []string{id}, true)))
	}
}

// serve has a side run the oldest attempt that it took from an entry.
func (w *simulation) runAttempt(at int, f callResult) {
	e := w.entries[at]
	if len(e.accepted) == 0 {
		return
	}
	send := e.accepted[0]
	e.accepted = e.accepted[1:]
	body := string(send.Submit().Body())
	page := notice.PageConfig{Attempt: send.Submit().Attempt(), Status: 201}
	switch f {
	case succeeded:
		w.runs[body]++
		page.Data, page.State = []byte("booked "+body), notice.Whole
	case rejected:
		page.State, page.Code = notice.Failed, notice.CodeUnreachable
	case replyLost, delayed:
		w.runs[body]++
		page.State, page.Code, page.Ran = notice.Failed, notice.CodeCut, true
	case requestLost:
		page.State, page.Code, page.Ran = notice.Failed, notice.CodeCut, true
	}
	pages := notice.NewPages(notice.PagesConfig{Side: "i", Pages: []notice.Page{notice.NewPage(page)}})
	w.route(e, e.router.Handle(w.now, usher.NewRead(send.Side(), pages)))
}

// crash replaces an entry; the sides run what they took from it.
func (w *simulation) crash(at int) {
	for _, send := range w.entries[at].accepted {
		w.runs[string(send.Submit().Body())]++
	}
	w.entries[at] = w.newEntry()
}

func (w *simulation) tick(step time.Duration) {
	w.now = w.now.Add(step)
	for _, e := range w.entries {
		w.route(e, e.router.Tick(w.now))
		w.execute(e, e.core.Tick(w.now))
	}
}

// calm lets everything in flight come to its end.
func (w *simulation) settle() {
	w.logDown = false
	for range 60 {
		for at := range w.entries {
			w.appendPending(at, succeeded)
			for range len(w.log) + 1 {
				w.readRecord(at)
			}
			w.submitAttempt(at, succeeded)
			w.runAttempt(at, succeeded)
		}
		w.applyDelayed()
		w.tick(2 * time.Second)
	}
}

// check compares what callers were told with what the service counted.
func (w *simulation) check() {
	refusals := make(map[string]int)
	answers := make(map[string]string)
	for request, got := range w.replies {
		body := w.bodies[request]
		if got.Outcome == wicket.NotRun {
			refusals[body]++
		}
		if before, ok := answers[body]; got.Whole && ok && before != got.Data {
			w.t.Errorf("%s: answers %q and %q", body, before, got.Data)
		}
		if got.Whole {
			answers[body] = got.Data
		}
	}
	for body, runs := range w.runs {
		if runs > 1 {
			w.t.Errorf("%s ran %d times", body, runs)
		}
		if runs > 0 && refusals[body] == w.sent[body] {
			w.t.Errorf("%s ran although every copy was refused as not run", body)
		}
	}
	for body := range answers {
		if w.runs[body] == 0 {
			w.t.Errorf("%s was answered and never ran", body)
		}
	}
}
