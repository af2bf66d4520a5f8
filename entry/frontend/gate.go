// Package gate is the callers' front end: it reads their requests, checks their
// keys and writes their answers in the form of the OpenAI API.
package frontend

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
	"sesamewell.example/entry/auth"
	"sesamewell.example/entry/ratelimit"
	"sesamewell.example/entry/router"
)

// Named limits of the gate.
const (
	tickPeriod       = 100 * time.Millisecond // time between checks of lost requests
	withdrawnTimeout = time.Second            // time for which the answer is awaited whether a request with a withdrawn key was run
	lostTimeout      = 5 * time.Second        // time beyond its deadline after which a request counts as lost
	requestIDHeader  = "X-Request-Id"
	traceHeader      = "traceparent"
)

// Usher routes the requests that pass the gate, within their tenants' rates.
type Limiter interface {
	Put(message router.Message) error
	// Refund returns tokens that an admitted request did not use.
	Refund(tenant string, tokens int64)
}

// Watch decides whether the entry may act on a state of the register.
type FreshnessProof interface {
	Fresh(now time.Time, state int64) bool
}

// Config holds the construction parameters of a Gate.
type Config struct {
	Capacity         int           // messages in the inbox
	RequestTimeout   time.Duration // longest time that a request may take
	MaxAnswer        int64         // bytes of an answer that is not streamed
	DefaultMaxTokens int64         // output tokens of a request without a maximum
	Limiter          Limiter
	Proof            FreshnessProof
	Trail            *trail.Trail
	Log              *logrus.Entry
	Drained          func() // called once, when a drain has ended
}

// Drain asks the gate to refuse new requests and to report when none is open.
type Drain struct{}

// Gate is responsible for all open calls of an entry. Its methods that belong
// to the duty run on its own thread.
type Frontend struct {
	config      Config
	inbox       *ring.Ring
	inventory   *fleetstate.Inventory
	calls       map[string]*openCall
	ids         map[*wicket.Call]string
	revision    atomic.Int64
	stateOffset atomic.Int64 // of the revision
	draining    atomic.Bool
	openCount   atomic.Int64
}

// open is responsible for one call whose answer has not ended.
type openCall struct {
	id          string
	call        *wicket.Call
	principal   auth.Principal
	span        *trail.Span
	deadline    time.Time
	withdrawnAt time.Time // when the key was withdrawn; zero while it stands
	stream      bool
	headerSent  bool
	body        []byte
	usage       tokenUsage
}

// New returns a gate.
func New(config Config) *Frontend {
	return &Frontend{
		config:    config,
		inbox:     ring.New(ring.Config{Name: "gate", Capacity: config.Capacity}),
		inventory: fleetstate.EmptyInventory(),
		calls:     make(map[string]*openCall),
		ids:       make(map[*wicket.Call]string),
	}
}

// Inbox returns the ring that feeds the gate.
func (g *Frontend) Inbox() *ring.Ring { return g.inbox }

// Attach sets the usher, before the gate is served.
func (g *Frontend) Attach(router Limiter) { g.config.Limiter = router }

// Revision returns the number of the revision in force, zero before the first.
func (g *Frontend) Revision() int64 { return g.revision.Load() }

// Draining reports whether new requests are refused.
func (g *Frontend) Draining() bool { return g.draining.Load() }

// Open returns the number of calls whose answers have not ended.
func (g *Frontend) Open() int { return int(g.openCount.Load()) }

// Duty returns the gate's thread, to be added to a crew.
func (g *Frontend) Duty() *crew.Duty {
	return crew.NewDuty(crew.DutyConfig{Name: "gate", Inbox: g.inbox, Handler: g, Period: tickPeriod})
}

// Drain asks the gate to finish.
func (g *Frontend) Drain(ctx context.Context, limit time.Duration) error {
	return g.inbox.PutWithin(ctx, Drain{}, limit)
}

// Start does nothing: open calls outlive a restart of the duty.
func (g *Frontend) Start(time.Time) error { return nil }

// Handle processes one message.
func (g *Frontend) Handle(now time.Time, message any) error {
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
		g.refuseByRate(now, m)
	case statesync.RevisionChanged:
		g.applyRevision(now, m.Revision())
	case Drain:
		g.draining.Store(true)
	}
	g.updateOpenCount()
	return nil
}

// Tick ends the calls whose requests the usher has lost.
func (g *Frontend) Tick(now time.Time) error {
	g.failIfStale(now)
	for _, o := range g.calls {
		switch {
		case now.Sub(o.deadline) > lostTimeout:
			g.fail(now, o, errLost, 0)
		case !o.withdrawnAt.IsZero() && now.Sub(o.withdrawnAt) > withdrawnTimeout:
			g.abandon(o)
			g.fail(now, o, errWithdrawn, 0)
		}
	}
	g.updateOpenCount()
	return nil
}

func (g *Frontend) updateOpenCount() {
	g.openCount.Store(int64(len(g.calls)))
	if g.draining.Load() && len(g.calls) == 0 {
		g.config.Drained()
	}
}

// receive answers a call at once or passes it to the usher.
func (g *Frontend) receive(now time.Time, call *wicket.Call) {
	request := call.Request()
	path := string(request.URI().Path())
	if g.answerHealth(now, call, path) {
		return
	}
	o := &openCall{id: uuid.NewString(), call: call}
	o.span = g.config.Trail.Start(call.Arrived(), string(request.Header.Peek(traceHeader)), "entry")
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
	if err := g.config.Limiter.Put(ask); err != nil {
		g.fail(now, o, errOverloaded, 0)
	}
}

// admit checks a request and returns what the usher needs to know of it.
func (g *Frontend) admit(now time.Time, o *openCall, path string) (router.Request, error) {
	if g.draining.Load() {
		return router.Request{}, errDraining
	}
	if err := g.checkRevision(now); err != nil {
		return router.Request{}, err
	}
	route, ok := g.inventory.RouteFor(path)
	if !ok {
		return router.Request{}, notFound("unknown_path", "no route leads to "+path+"; the models are under /v1")
	}
	request := o.call.Request()
	pass, err := auth.Authenticate(g.inventory, route, string(request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return router.Request{}, err
	}
	o.principal = pass
	o.span.Note("tenant", pass.Tenant())
	limit := g.config.RequestTimeout
	if route.Deadline() > 0 {
		limit = min(limit, route.Deadline())
	}
	o.deadline = now.Add(limit)
	key, err := idempotencyKey(request, route)
	if err != nil {
		return router.Request{}, err
	}
	config := router.RequestConfig{
		ID:             o.id,
		Tenant:         pass.Tenant(),
		Grant:          pass.Grant(),
		State:          g.stateOffset.Load(),
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
		Deadline:       o.deadline,
	}
	if route.Service() == "" {
		if err := g.admitModel(&config, o, path); err != nil {
			return router.Request{}, err
		}
	}
	return router.NewRequest(config), nil
}

// admitModel checks a request of the models' API.
func (g *Frontend) admitModel(config *router.RequestConfig, o *openCall, path string) error {
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
	config.Tokens = request.tokens(config.Body, g.config.DefaultMaxTokens)
	o.usage = tokenUsage{charged: config.Tokens, prompt: promptTokens(config.Body)}
	return nil
}

func (g *Frontend) answerHealth(now time.Time, call *wicket.Call, path string) bool {
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
func (g *Frontend) Ready(now time.Time) error {
	if g.draining.Load() {
		return errDraining
	}
	return g.checkRevision(now)
}

func (g *Frontend) answerModels(now time.Time, o *openCall) {
	body, err := listModels(g.inventory, now)
	if err != nil {
		g.fail(now, o, wicket.AsRefusal(err), 0)
		return
	}
	g.replyBody(now, o, fasthttp.StatusOK, "application/json", body)
}

// deliver passes a piece of an answer on: at once for a stream, else when the
// answer is whole.
func (g *Frontend) deliver(now time.Time, m router.Deliver) {
	g.failIfStale(now)
	o, ok := g.calls[m.RequestID()]
	if !ok {
		return
	}
	if !o.withdrawnAt.IsZero() {
		g.fail(now, o, errWithdrawn, 0)
		return
	}
	if !o.stream || (!o.headerSent && m.Status() != fasthttp.StatusOK) {
		g.buffer(now, o, m)
		return
	}
	if !o.headerSent {
		o.headerSent = true
		o.span.Mark(now, "first byte")
		response := &fasthttp.Response{}
		response.SetStatusCode(m.Status())
		response.Header.SetContentType(m.ContentType())
		response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
		o.setHeaders(response)
		if o.call.Begin(response) != nil {
			g.hangUp(now, o.call)
			return
		}
	}
	if o.call.Write(m.Data()) != nil {
		g.hangUp(now, o.call)
		return
	}
	o.usage.countStream(m.Data())
	if m.Complete() {
		o.call.End()
		g.refund(o, o.usage.unusedByStream())
		g.close(now, o, "")
	}
}

func (g *Frontend) buffer(now time.Time, o *openCall, m router.Deliver) {
	o.body = append(o.body, m.Data()...)
	if int64(len(o.body)) > g.config.MaxAnswer {
		g.abandon(o)
		g.fail(now, o, errAnswerTooLarge, 0)
		return
	}
	if m.Complete() {
		g.refund(o, o.usage.unusedByBody(o.body))
		g.replyBody(now, o, m.Status(), m.ContentType(), o.body)
	}
}

func (g *Frontend) replyBody(now time.Time, o *openCall, status int, contentType string, body []byte) {
	response := &fasthttp.Response{}
	response.SetStatusCode(status)
	response.Header.SetContentType(contentType)
	response.SetBodyRaw(body)
	o.setHeaders(response)
	o.call.Reply(response)
	g.close(now, o, "")
}

func (g *Frontend) refuse(now time.Time, m router.Refuse) {
	o, ok := g.calls[m.RequestID()]
	if !ok {
		return
	}
	if m.Refusal().Outcome() == wicket.NotRun {
		g.refund(o, o.usage.charged)
	}
	g.fail(now, o, m.Refusal(), m.RetryAfter())
}

// refuseRate ends a call that its tenant's rate does not allow; nothing was
// charged for it.
func (g *Frontend) refuseByRate(now time.Time, m ratelimit.Refuse) {
	if o, ok := g.calls[m.Request()]; ok {
		g.fail(now, o, m.Refusal(), m.RetryAfter())
	}
}

// refund returns tokens that were charged for a call but not used.
func (g *Frontend) refund(o *openCall, tokens int64) {
	if tokens > 0 {
		g.config.Limiter.Refund(o.principal.Tenant(), tokens)
	}
}

// fail ends a call without a whole answer.
func (g *Frontend) fail(now time.Time, o *openCall, refusal *wicket.Refusal, retryAfter time.Duration) {
	if o.headerSent {
		// A refused write changes nothing: the connection is closed either way.
		_ = o.call.Write(errorEvent(refusal))
		o.call.Abort()
	} else {
		o.call.Reply(refusalResponse(o, refusal, retryAfter))
	}
	g.config.Log.WithFields(logrus.Fields{
		"event": "refused", "request": o.id, "tenant": o.principal.Tenant(), "status": refusal.Status(),
		"code": refusal.Code(), "outcome": refusal.Outcome(),
	}).Info("request refused")
	g.close(now, o, refusal.Code())
}

// hangUp drops a call whose caller has left.
func (g *Frontend) hangUp(now time.Time, call *wicket.Call) {
	id, ok := g.ids[call]
	if !ok {
		return
	}
	o := g.calls[id]
	g.abandon(o)
	call.Abort()
	g.close(now, o, "caller left")
}

// leave tells the usher that nobody awaits the answer. A refusal is harmless:
// the request ends at its deadline.
func (g *Frontend) abandon(o *openCall) { _ = g.config.Limiter.Put(router.NewAbandoned(o.id)) }

func (g *Frontend) close(now time.Time, o *openCall, failure string) {
	o.span.End(now, failure)
	delete(g.calls, o.id)
	delete(g.ids, o.call)
}

// stamp adds the headers that every answer carries.
func (o *openCall) setHeaders(response *fasthttp.Response) {
	response.Header.Set(requestIDHeader, o.id)
	response.Header.Set(traceHeader, o.span.Traceparent())
}
