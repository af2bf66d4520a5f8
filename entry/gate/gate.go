// Package gate is the callers' front end: it reads their requests, checks their
// keys and writes their answers in the form of the OpenAI API.
package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/lantern"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/trail"
	"sesamewell.example/commons/wicket"
	"sesamewell.example/entry/badge"
	"sesamewell.example/entry/ratelimit"
	"sesamewell.example/entry/router"
)

// Named limits of the gate.
const (
	tickPeriod   = 100 * time.Millisecond // time between checks of lost requests
	barredLife   = time.Second            // time for which the answer is awaited whether a request with a withdrawn key was run
	lostAfter    = 5 * time.Second        // time beyond its deadline after which a request counts as lost
	requestIDKey = "X-Request-Id"
	traceKey     = "traceparent"
)

// Usher routes the requests that pass the gate, within their tenants' rates.
type Usher interface {
	Put(message router.Message) error
	// Refund returns tokens that an admitted request did not use.
	Refund(tenant string, tokens int64)
}

// Watch decides whether the entry may act on a state of the register.
type Watch interface {
	Fresh(now time.Time, state int64) bool
}

// Config holds the construction parameters of a Gate.
type Config struct {
	Capacity      int           // messages in the inbox
	RequestLimit  time.Duration // longest time that a request may take
	MaxAnswer     int64         // bytes of an answer that is not streamed
	DefaultOutput int64         // output tokens of a request without a maximum
	Usher         Usher
	Watch         Watch
	Trail         *trail.Trail
	Log           *logrus.Entry
	Drained       func() // called once, when a drain has ended
}

// Drain asks the gate to refuse new requests and to report when none is open.
type Drain struct{}

// Gate is responsible for all open calls of an entry. Its methods that belong
// to the duty run on its own thread.
type Gate struct {
	config    Config
	inbox     *ring.Ring
	inventory *fleetstate.Inventory
	calls     map[string]*open
	ids       map[*wicket.Call]string
	revision  atomic.Int64
	state     atomic.Int64 // of the revision
	draining  atomic.Bool
	open      atomic.Int64
}

// open is responsible for one call whose answer has not ended.
type open struct {
	id      string
	call    *wicket.Call
	pass    badge.Pass
	span    *trail.Span
	expires time.Time
	barred  time.Time // when the key was withdrawn; zero while it stands
	stream  bool
	begun   bool
	body    []byte
	charge  charge
}

// New returns a gate.
func New(config Config) *Gate {
	return &Gate{
		config:    config,
		inbox:     ring.New(ring.Config{Name: "gate", Capacity: config.Capacity}),
		inventory: fleetstate.EmptyInventory(),
		calls:     make(map[string]*open),
		ids:       make(map[*wicket.Call]string),
	}
}

// Inbox returns the ring that feeds the gate.
func (g *Gate) Inbox() *ring.Ring { return g.inbox }

// Attach sets the usher, before the gate is served.
func (g *Gate) Attach(router Usher) { g.config.Usher = router }

// Revision returns the number of the revision in force, zero before the first.
func (g *Gate) Revision() int64 { return g.revision.Load() }

// Draining reports whether new requests are refused.
func (g *Gate) Draining() bool { return g.draining.Load() }

// Open returns the number of calls whose answers have not ended.
func (g *Gate) Open() int { return int(g.open.Load()) }

// Duty returns the gate's thread, to be added to a crew.
func (g *Gate) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "gate", Inbox: g.inbox, Handler: g, Period: tickPeriod})
}

// Drain asks the gate to finish.
func (g *Gate) Drain(ctx context.Context, limit time.Duration) error {
	return g.inbox.PutWithin(ctx, Drain{}, limit)
}

// Start does nothing: open calls outlive a restart of the duty.
func (g *Gate) Start(time.Time) error { return nil }

// Handle processes one message.
func (g *Gate) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case *wicket.Call:
		g.receive(now, m)
	case wicket.Hangup:
		g.hangUp(now, m.Call())
	case router.Deliver:
		g.deliver(now, m)
	case router.Refuse:
		g.refuse(now, m)
	case ratelimit.Refuse:
		g.refuseRate(now, m)
	case statesync.RevisionChanged:
		g.revise(now, m.Revision())
	case Drain:
		g.draining.Store(true)
	}
	g.settle()
	return nil
}

// Tick ends the calls whose requests the usher has lost.
func (g *Gate) Tick(now time.Time) error {
	g.checkFreshness(now)
	for _, o := range g.calls {
		switch {
		case now.Sub(o.expires) > lostAfter:
			g.fail(now, o, errLost, 0)
		case !o.barred.IsZero() && now.Sub(o.barred) > barredLife:
			g.leave(o)
			g.fail(now, o, errWithdrawn, 0)
		}
	}
	g.settle()
	return nil
}

func (g *Gate) settle() {
	g.open.Store(int64(len(g.calls)))
	if g.draining.Load() && len(g.calls) == 0 {
		g.config.Drained()
	}
}

// receive answers a call at once or passes it to the usher.
func (g *Gate) receive(now time.Time, call *wicket.Call) {
	request := call.Request()
	path := string(request.URI().Path())
	if g.answerHealth(now, call, path) {
		return
	}
	o := &open{id: uuid.NewString(), call: call}
	o.span = g.config.Trail.Start(call.Arrived(), string(request.Header.Peek(traceKey)), "entry")
	o.span.Note(trail.RequestNote, o.id)
	o.span.Note("path", path)
	ask, err := g.admit(now, o, path)
	if err != nil {
		g.fail(now, o, wicket.AsRefusal(err), 0)
		return
	}
	if path == pathModels {
		g.answerModels(now, o)
		return
	}
	g.calls[o.id] = o
	g.ids[call] = o.id
	if err := g.config.Usher.Put(ask); err != nil {
		g.fail(now, o, errOverloaded, 0)
	}
}

// admit checks a request and returns what the usher needs to know of it.
func (g *Gate) admit(now time.Time, o *open, path string) (router.Request, error) {
	if g.draining.Load() {
		return router.Request{}, errDraining
	}
	if err := g.current(now); err != nil {
		return router.Request{}, err
	}
	route, ok := g.inventory.RouteFor(path)
	if !ok {
		return router.Request{}, notFound("unknown_path", "no route leads to "+path+"; the models are under /v1")
	}
	request := o.call.Request()
	pass, err := badge.Check(g.inventory, route, string(request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return router.Request{}, err
	}
	o.pass = pass
	o.span.Note("tenant", pass.Tenant())
	limit := g.config.RequestLimit
	if route.Deadline() > 0 {
		limit = min(limit, route.Deadline())
	}
	o.expires = now.Add(limit)
	key, err := idempotencyKey(request, route)
	if err != nil {
		return router.Request{}, err
	}
	config := router.RequestConfig{
		ID:             o.id,
		Tenant:         pass.Tenant(),
		Grant:          pass.Grant(),
		State:          g.state.Load(),
		Route:          route.Name(),
		IdempotencyKey: key,
		Service:        route.Service(),
		Method:         string(request.Header.Method()),
		Path:           string(request.URI().RequestURI()),
		ContentType:    string(request.Header.ContentType()),
		Trace:          o.span.Traceparent(),
		Body:           request.Body(),
		Urgent:         route.Urgent(),
		Idempotent:     route.Idempotent(),
		Deadline:       o.expires,
	}
	if route.Service() == "" {
		if err := g.admitModel(&config, o, path); err != nil {
			return router.Request{}, err
		}
	}
	return router.NewRequest(config), nil
}

// admitModel checks a request of the models' API.
func (g *Gate) admitModel(config *router.RequestConfig, o *open, path string) error {
	if !isModelPath(path) {
		return notFound("unknown_path", "the models' API has no "+path+"; use "+pathChat+", "+pathCompletions+" or "+pathModels)
	}
	want := fasthttp.MethodPost
	if path == pathModels {
		want = fasthttp.MethodGet
	}
	if config.Method != want {
		return wicket.NewRefusal(wicket.RefusalConfig{
			Status: fasthttp.StatusMethodNotAllowed, Code: "method_not_allowed", Message: path + " takes " + want + " only",
		})
	}
	if path == pathModels {
		return nil
	}
	request, err := decodeCompletion(path, config.Body)
	if err != nil {
		return err
	}
	model, ok := g.inventory.ModelFor(request.Model)
	if !ok {
		return notFound("model_not_found", "there is no model "+request.Model+"; list the models with GET "+pathModels)
	}
	o.stream = request.Stream
	o.span.Note("model", request.Model)
	config.Model = model.Name()
	config.Stream = request.Stream
	config.Prompt = request.prompt()
	config.Tokens = request.tokens(config.Body, g.config.DefaultOutput)
	o.charge = charge{tokens: config.Tokens, prompt: promptTokens(config.Body)}
	return nil
}

func (g *Gate) answerHealth(now time.Time, call *wicket.Call, path string) bool {
	response := &fasthttp.Response{}
	switch path {
	case "/healthz":
		response.SetBodyString("ok\n")
	case "/readyz":
		lantern.Readiness(response, g.Ready(now))
	default:
		return false
	}
	response.Header.SetContentType("text/plain; charset=utf-8")
	call.Reply(response)
	return true
}

// Ready returns nil while the gate takes requests, else why it does not.
func (g *Gate) Ready(now time.Time) error {
	if g.draining.Load() {
		return errDraining
	}
	return g.current(now)
}

func (g *Gate) answerModels(now time.Time, o *open) {
	body, err := listModels(g.inventory, now)
	if err != nil {
		g.fail(now, o, wicket.AsRefusal(err), 0)
		return
	}
	g.replyWhole(now, o, fasthttp.StatusOK, "application/json", body)
}

// deliver passes a piece of an answer on: at once for a stream, else when the
// answer is whole.
func (g *Gate) deliver(now time.Time, m router.Deliver) {
	g.checkFreshness(now)
	o, ok := g.calls[m.RequestID()]
	if !ok {
		return
	}
	if !o.barred.IsZero() {
		g.fail(now, o, errWithdrawn, 0)
		return
	}
	if !o.stream || (!o.begun && m.Status() != fasthttp.StatusOK) {
		g.gather(now, o, m)
		return
	}
	if !o.begun {
		o.begun = true
		o.span.Mark(now, "first byte")
		response := &fasthttp.Response{}
		response.SetStatusCode(m.Status())
		response.Header.SetContentType(m.ContentType())
		response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
		o.stamp(response)
		if o.call.Begin(response) != nil {
			g.hangUp(now, o.call)
			return
		}
	}
	if o.call.Write(m.Data()) != nil {
		g.hangUp(now, o.call)
		return
	}
	o.charge.read(m.Data())
	if m.Complete() {
		o.call.End()
		g.refund(o, o.charge.unused())
		g.close(now, o, "")
	}
}

func (g *Gate) gather(now time.Time, o *open, m router.Deliver) {
	o.body = append(o.body, m.Data()...)
	if int64(len(o.body)) > g.config.MaxAnswer {
		g.leave(o)
		g.fail(now, o, errAnswerTooLarge, 0)
		return
	}
	if m.Complete() {
		g.refund(o, o.charge.unusedOf(o.body))
		g.replyWhole(now, o, m.Status(), m.ContentType(), o.body)
	}
}

func (g *Gate) replyWhole(now time.Time, o *open, status int, contentType string, body []byte) {
	response := &fasthttp.Response{}
	response.SetStatusCode(status)
	response.Header.SetContentType(contentType)
	response.SetBodyRaw(body)
	o.stamp(response)
	o.call.Reply(response)
	g.close(now, o, "")
}

func (g *Gate) refuse(now time.Time, m router.Refuse) {
	o, ok := g.calls[m.RequestID()]
	if !ok {
		return
	}
	if m.Refusal().Outcome() == wicket.NotRun {
		g.refund(o, o.charge.tokens)
	}
	g.fail(now, o, m.Refusal(), m.RetryAfter())
}

// refuseRate ends a call that its tenant's rate does not allow; nothing was
// charged for it.
func (g *Gate) refuseRate(now time.Time, m ratelimit.Refuse) {
	if o, ok := g.calls[m.Request()]; ok {
		g.fail(now, o, m.Refusal(), m.RetryAfter())
	}
}

// refund returns tokens that were charged for a call but not used.
func (g *Gate) refund(o *open, tokens int64) {
	if tokens > 0 {
		g.config.Usher.Refund(o.pass.Tenant(), tokens)
	}
}

// fail ends a call without a whole answer.
func (g *Gate) fail(now time.Time, o *open, refusal *wicket.Refusal, retryAfter time.Duration) {
	if o.begun {
		// A refused write changes nothing: the connection is closed either way.
		_ = o.call.Write(errorEvent(refusal))
		o.call.Abort()
	} else {
		o.call.Reply(refusalResponse(o, refusal, retryAfter))
	}
	g.config.Log.WithFields(logrus.Fields{
		"event": "refused", "request": o.id, "tenant": o.pass.Tenant(), "status": refusal.Status(),
		"code": refusal.Code(), "outcome": refusal.Outcome(),
	}).Info("request refused")
	g.close(now, o, refusal.Code())
}

// hangUp drops a call whose caller has left.
func (g *Gate) hangUp(now time.Time, call *wicket.Call) {
	id, ok := g.ids[call]
	if !ok {
		return
	}
	o := g.calls[id]
	g.leave(o)
	call.Abort()
	g.close(now, o, "caller left")
}

// leave tells the usher that nobody awaits the answer. A refusal is harmless:
// the request ends at its deadline.
func (g *Gate) leave(o *open) { _ = g.config.Usher.Put(router.NewAbandoned(o.id)) }

func (g *Gate) close(now time.Time, o *open, failure string) {
	o.span.End(now, failure)
	delete(g.calls, o.id)
	delete(g.ids, o.call)
}

// stamp adds the headers that every answer carries.
func (o *open) stamp(response *fasthttp.Response) {
	response.Header.Set(requestIDKey, o.id)
	response.Header.Set(traceKey, o.span.Traceparent())
}
