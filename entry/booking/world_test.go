package booking

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
type world struct {
	t       reporter
	now     time.Time
	down    bool // the log service
	log     []Batch
	delayed []Batch // appends that have not taken effect yet
	entries []*entry
	runs    map[string]int // by the request's body, as the service counts them
	asked   map[string]int // copies of each request
	answers map[string]reply
	bodies  map[string]string // by request id
	serial  int
}

// reporter is the part of a test or a property that the world uses.
type reporter interface {
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

// entry is one entry's cores and what they have in flight.
type entry struct {
	core     *Core
	router   *usher.Core
	followed int
	appends  []Action
	sends    []usher.Send
	accepted []usher.Send
}

// reply is what a caller got.
type reply struct {
	Whole   bool
	Data    string
	Code    string
	Outcome string
}

func newWorld(t reporter, entries int) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), runs: make(map[string]int), asked: make(map[string]int),
		answers: make(map[string]reply), bodies: make(map[string]string),
	}
	for range entries {
		w.entries = append(w.entries, w.newEntry())
	}
	return w
}

func (w *world) newEntry() *entry {
	inventory, err := register.Parse("inv.ini", []byte(inventoryText))
	if err != nil {
		w.t.Fatal(err)
	}
	e := &entry{
		core: NewCore(CoreConfig{
			Table:   TableConfig{Capacity: 100, Remember: 240 * time.Hour, KeptBytes: 1 << 20, KeptFor: 24 * time.Hour},
			Pending: 100, AppendLimit: 3 * time.Second, Wait: 10 * time.Second, MaxOutcome: 1 << 10,
		}),
		router: usher.NewCore(usher.CoreConfig{Domain: "a", MaxAttempts: 3, Probes: 2, RetryShare: 1, Random: rand.New(rand.NewPCG(1, 2))}),
	}
	e.router.Handle(w.now, usher.NewRevised(inventory))
	return e
}

// ask sends a copy of a request to an entry and returns the copy's id.
func (w *world) ask(at int, body string) string { return w.askAs(at, body, "key-"+body) }

// askAs is ask with another Idempotency-Key.
func (w *world) askAs(at int, body, key string) string {
	w.serial++
	id := fmt.Sprintf("q%d", w.serial)
	w.asked[body]++
	w.bodies[id] = body
	w.carryOut(w.entries[at], w.entries[at].core.Handle(w.now, NewAsked(usher.NewAsk(usher.AskConfig{
		Request: id, Tenant: "lantern", Route: "bookings", Key: key, Service: "bookings", Method: "POST", Path: "/bookings",
		Body: []byte(body), Deadline: w.now.Add(time.Minute),
	}))))
	return id
}

func (w *world) carryOut(e *entry, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Announce, Report:
			e.appends = append(e.appends, a)
		case Dispatch:
			w.route(e, e.router.Handle(w.now, a.Ask()))
		case Pass:
			w.hear(a.piece.Request(), reply{Whole: a.piece.Whole(), Data: w.answers[a.piece.Request()].Data + string(a.piece.Data())})
		case Refuse:
			refusal := a.refuse.Refusal()
			w.hear(a.refuse.Request(), reply{Code: refusal.Code(), Outcome: refusal.Outcome()})
		}
	}
}

// hear notes an answer; a caller that has its answer must get no other.
func (w *world) hear(request string, got reply) {
	if before, ok := w.answers[request]; ok && (before.Whole || before.Outcome != "") {
		w.t.Errorf("%s was answered twice: %+v, then %+v", request, before, got)
	}
	w.answers[request] = got
}

// route carries out the actions of an entry's usher.
func (w *world) route(e *entry, actions []usher.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case usher.Send:
			e.sends = append(e.sends, a)
		case usher.Probe:
			w.route(e, e.router.Handle(w.now, usher.NewReported(a.Side(), idle(a.Query()))))
		case usher.Deliver:
			w.carryOut(e, e.core.Handle(w.now, NewDelivered(a)))
		case usher.Refuse:
			w.carryOut(e, e.core.Handle(w.now, NewFailed(a)))
		}
	}
}

// idle returns the report of a side without load.
func idle(query notice.Query) notice.Report {
	estimate := notice.NewEstimate(notice.EstimateConfig{Request: query.Request(), Resident: true})
	return notice.NewReport(notice.ReportConfig{Side: "i", Slots: 8, Estimates: []notice.Estimate{estimate}})
}

// fate is what becomes of an append or of an attempt on its way.
type fate int

const (
	done    fate = iota // carried out and answered
	silent              // carried out, the answer was lost
	refused             // certainly not carried out
	lost                // not carried out, and nobody can tell
	late                // carried out later, and nobody can tell
	fates
)

// append takes what an entry's appender holds through one append.
func (w *world) append(at int, f fate) {
	e := w.entries[at]
	if len(e.appends) == 0 {
		return
	}
	var config BatchConfig
	var runs []string
	for _, action := range e.appends {
		switch a := action.(type) {
		case Announce:
			config.Intents, runs = append(config.Intents, a.intent), append(runs, a.intent.Run())
		case Report:
			config.Outcomes = append(config.Outcomes, a.outcome)
		}
	}
	e.appends = nil
	if w.down {
		f = refused
	}
	switch f {
	case done, silent:
		w.log = append(w.log, NewBatch(config))
	case refused:
		w.carryOut(e, e.core.Handle(w.now, NewNotAppended(runs)))
	case late:
		w.delayed = append(w.delayed, NewBatch(config))
	}
}

// arrive lets the oldest delayed append take effect.
func (w *world) arrive() {
	if len(w.delayed) > 0 {
		w.log, w.delayed = append(w.log, w.delayed[0]), w.delayed[1:]
	}
}

// follow gives an entry the next record of the log.
func (w *world) follow(at int) {
	e := w.entries[at]
	if w.down || e.followed >= len(w.log) {
		return
	}
	w.carryOut(e, e.core.Handle(w.now, NewFolded(int64(e.followed), w.log[e.followed])))
	e.followed++
}

// receipt takes an entry's oldest attempt to its side.
func (w *world) receipt(at int, f fate) {
	e := w.entries[at]
	if len(e.sends) == 0 {
		return
	}
	send := e.sends[0]
	e.sends = e.sends[1:]
	id := send.Submit().Attempt()
	switch f {
	case done:
		e.accepted = append(e.accepted, send)
		receipt := notice.NewReceipt(notice.ReceiptConfig{Attempt: id, Accepted: true})
		receipts := notice.NewReceipts(notice.ReceiptsConfig{Side: "i", Receipts: []notice.Receipt{receipt}})
		w.route(e, e.router.Handle(w.now, usher.NewReceipted(send.Side(), receipts)))
	case refused:
		w.route(e, e.router.Handle(w.now, usher.NewUnsent(send.Side(), []string{id}, false)))
	case silent, late:
		w.runs[string(send.Submit().Body())]++
		w.route(e, e.router.Handle(w.now, usher.NewUnsent(send.Side(), []string{id}, true)))
	case lost:
		w.route(e, e.router.Handle(w.now, usher.NewUnsent(send.Side(), []string{id}, true)))
	}
}

// serve has a side run the oldest attempt that it took from an entry.
func (w *world) serve(at int, f fate) {
	e := w.entries[at]
	if len(e.accepted) == 0 {
		return
	}
	send := e.accepted[0]
	e.accepted = e.accepted[1:]
	body := string(send.Submit().Body())
	page := notice.PageConfig{Attempt: send.Submit().Attempt(), Status: 201}
	switch f {
	case done:
		w.runs[body]++
		page.Data, page.State = []byte("booked "+body), notice.Whole
	case refused:
		page.State, page.Code = notice.Failed, notice.CodeUnreachable
	case silent, late:
		w.runs[body]++
		page.State, page.Code, page.Ran = notice.Failed, notice.CodeCut, true
	case lost:
		page.State, page.Code, page.Ran = notice.Failed, notice.CodeCut, true
	}
	pages := notice.NewPages(notice.PagesConfig{Side: "i", Pages: []notice.Page{notice.NewPage(page)}})
	w.route(e, e.router.Handle(w.now, usher.NewRead(send.Side(), pages)))
}

// crash replaces an entry; the sides run what they took from it.
func (w *world) crash(at int) {
	for _, send := range w.entries[at].accepted {
		w.runs[string(send.Submit().Body())]++
	}
	w.entries[at] = w.newEntry()
}

func (w *world) tick(step time.Duration) {
	w.now = w.now.Add(step)
	for _, e := range w.entries {
		w.route(e, e.router.Tick(w.now))
		w.carryOut(e, e.core.Tick(w.now))
	}
}

// calm lets everything in flight come to its end.
func (w *world) calm() {
	w.down = false
	for range 60 {
		for at := range w.entries {
			w.append(at, done)
			for range len(w.log) + 1 {
				w.follow(at)
			}
			w.receipt(at, done)
			w.serve(at, done)
		}
		w.arrive()
		w.tick(2 * time.Second)
	}
}

// check compares what callers were told with what the service counted.
func (w *world) check() {
	refusals := make(map[string]int)
	answers := make(map[string]string)
	for request, got := range w.answers {
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
		if runs > 0 && refusals[body] == w.asked[body] {
			w.t.Errorf("%s ran although every copy was refused as not run", body)
		}
	}
	for body := range answers {
		if w.runs[body] == 0 {
			w.t.Errorf("%s was answered and never ran", body)
		}
	}
}
