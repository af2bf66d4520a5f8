// Package frontend is the entry's front end for callers. It checks their keys and
// requests, passes the requests on to be routed, and writes the answers, for models
// in the form of the OpenAI API.
package frontend

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/admin"
	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/commons/tracing"
	"sesamewell.example/entry/auth"
	"sesamewell.example/entry/ratelimit"
	"sesamewell.example/entry/router"
)

// Limits, periods and header names of the front end.
const (
	tickPeriod       = 100 * time.Millisecond // time between two calls of Tick
	withdrawnTimeout = time.Second            // longest wait for the side to report whether a request with a withdrawn key was run
	lostTimeout      = 5 * time.Second        // time beyond its deadline after which a request counts as lost
	answerCopies     = 2                      // times that a collected answer is held: in a buffer, and in a larger one while it grows
	maxTracedPath    = 256                    // bytes of a path that are kept with a trace
	requestIDHeader  = "X-Request-Id"
	traceHeader      = "traceparent"
)

// Limiter admits requests within their tenants' rate limits and passes them on to
// be routed.
type Limiter interface {
	// Put queues a message without blocking. It returns an error if there is no room.
	Put(message router.Message) error
	// Refund returns tokens that an admitted request did not use.
	Refund(tenant string, tokens int64)
}

// FreshnessProof decides whether a fleet state may still be acted on.
type FreshnessProof interface {
	// Fresh reports whether the state with this offset is proven current at now.
	Fresh(now time.Time, stateOffset int64) bool
}

// Account accounts for the bytes of answers by tenant.
type Account interface {
	// Charge charges a tenant with bytes whatever the limit is. It reports whether the limit
	// is exceeded so far that something has to be given up.
	Charge(tenant string, bytes int64) bool
	// Release gives back bytes that a tenant was charged with.
	Release(tenant string, bytes int64)
}

// Config holds the construction parameters of a Frontend.
type Config struct {
	Capacity         int           // capacity of the inbox in messages
	RequestTimeout   time.Duration // longest time that a request may take; a route may set a shorter one
	MaxAnswer        int64         // maximum number of bytes of an answer that is not streamed
	DefaultMaxTokens int64         // maximum number of output tokens of a request that sets no maximum
	Account          Account       // of the bytes that the process holds
	Limiter          Limiter
	Proof            FreshnessProof
	Tracer           *tracing.Tracer
	Log              *logrus.Entry
	OnDrained        func() // called at the end of a drain, possibly several times
}

// Drain makes the front end refuse new requests and report when none is open.
type Drain struct{}

// Closing makes the front end end all open calls: the process stops now.
type Closing struct{}

// Frontend handles the callers' requests on its own thread. Inbox, Revision,
// Draining, Open, Drain and Ready are safe for concurrent use.
type Frontend struct {
	config      Config
	inbox       *ring.Ring
	inventory   *fleetstate.Inventory
	calls       map[string]*openCall
	ids         map[*httpserver.Call]string
	revision    atomic.Int64
	stateOffset atomic.Int64 // offset of the fleet state of the revision in force
	draining    atomic.Bool
	openCount   atomic.Int64
}

// openCall is a call whose answer has not ended.
type openCall struct {
	id          string
	call        *httpserver.Call
	principal   auth.Principal
	span        *tracing.Span
	deadline    time.Time
	withdrawnAt time.Time // time at which the key was found withdrawn; zero while it is valid
	stream      bool      // the caller requested a streamed answer
	headerSent  bool      // status and header fields of a streamed answer were sent
	body        []byte    // collected part of an answer that is not streamed
	usage       tokenUsage
}

// New returns a front end. Its thread runs once EventLoop is added to a supervisor.
func New(config Config) *Frontend {
	return &Frontend{
		config:    config,
		inbox:     ring.New(ring.Config{Name: "gate", Capacity: config.Capacity}),
		inventory: fleetstate.EmptyInventory(),
		calls:     make(map[string]*openCall),
		ids:       make(map[*httpserver.Call]string),
	}
}

// Inbox returns the ring of the front end's incoming messages.
func (f *Frontend) Inbox() *ring.Ring { return f.inbox }

// SetLimiter sets the limiter. It must be called before the thread starts.
func (f *Frontend) SetLimiter(limiter Limiter) { f.config.Limiter = limiter }

// Revision returns the number of the revision in force, or zero before the first.
func (f *Frontend) Revision() int64 { return f.revision.Load() }

// Draining reports whether new requests are refused.
func (f *Frontend) Draining() bool { return f.draining.Load() }

// Open returns the number of calls whose answers have not ended.
func (f *Frontend) Open() int { return int(f.openCount.Load()) }

// EventLoop returns the front end's thread, to be added to a supervisor.
func (f *Frontend) EventLoop() *supervisor.EventLoop {
	return supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "gate", Inbox: f.inbox, Handler: f, Period: tickPeriod})
}

// Drain starts a drain: new requests are refused, and open ones continue to their
// ends. It waits up to limit for room in the inbox.
func (f *Frontend) Drain(ctx context.Context, limit time.Duration) error {
	return f.inbox.PutWithin(ctx, Drain{}, limit)
}

// Close ends all open calls with an answer. It does not block.
func (f *Frontend) Close() {
	if err := f.inbox.Put(Closing{}); err != nil {
		f.config.Log.WithField("event", "drain").WithError(err).Warn("open calls not ended yet: inbox of the front end full")
	}
}

// closeAll ends all open calls, which may run on at their backend servers.
func (f *Frontend) closeAll(now time.Time) {
	for _, o := range f.calls {
		f.abandon(o)
		f.fail(now, o, errStopped, 0)
	}
}

// Start does nothing, since open calls are kept when the thread is restarted.
func (f *Frontend) Start(time.Time) error { return nil }

// Handle processes one message.
func (f *Frontend) Handle(now time.Time, message any) error {
	switch m := message.(type) {
	case *httpserver.Call:
		f.receive(now, m)
	case httpserver.Disconnect:
		f.handleDisconnect(now, m.Call())
	case router.Deliver:
		f.deliver(now, m)
	case router.Refuse:
		f.refuse(now, m)
	case ratelimit.Refuse:
		f.refuseByRate(now, m)
	case statesync.RevisionChanged:
		f.applyRevision(now, m.Revision())
	case Drain:
		f.draining.Store(true)
	case Closing:
		f.closeAll(now)
	}
	f.updateOpenCount()
	return nil
}

// Tick fails the calls that have got no result lostTimeout after their deadlines,
// and those with withdrawn keys whose side has not reported whether they were run.
func (f *Frontend) Tick(now time.Time) error {
	f.failIfStale(now)
	for _, o := range f.calls {
		switch {
		case now.Sub(o.deadline) > lostTimeout:
			f.fail(now, o, errLost, 0)
		case !o.withdrawnAt.IsZero() && now.Sub(o.withdrawnAt) > withdrawnTimeout:
			f.abandon(o)
			f.fail(now, o, errWithdrawn, 0)
		}
	}
	f.updateOpenCount()
	return nil
}

// updateOpenCount publishes the number of open calls and reports the end of a
// drain.
func (f *Frontend) updateOpenCount() {
	f.openCount.Store(int64(len(f.calls)))
	if f.draining.Load() && len(f.calls) == 0 {
		f.config.OnDrained()
	}
}

// receive answers a call at once or passes its request to the limiter.
func (f *Frontend) receive(now time.Time, call *httpserver.Call) {
	request := call.Request()
	path := string(request.URI().Path())
	if f.answerHealth(now, call, path) {
		return
	}
	o := &openCall{id: uuid.NewString(), call: call}
	o.span = f.config.Tracer.Start(call.Arrived(), string(request.Header.Peek(traceHeader)), "entry")
	o.span.SetAttribute(tracing.RequestAttribute, o.id)
	o.span.SetAttribute("path", path[:min(len(path), maxTracedPath)])
	admitted, err := f.admit(now, o, path)
	if err != nil {
		f.fail(now, o, httpserver.AsRefusal(err), 0)
		return
	}
	if path == pathModels {
		f.answerModels(now, o)
		return
	}
	f.calls[o.id] = o
	f.ids[call] = o.id
	if err := f.config.Limiter.Put(admitted); err != nil {
		f.fail(now, o, errOverloaded, 0)
	}
}

// admit checks a request and returns the form in which it is routed. Its error is a
// *httpserver.Refusal.
func (f *Frontend) admit(now time.Time, o *openCall, path string) (router.Request, error) {
	if f.draining.Load() {
		return router.Request{}, errDraining
	}
	if err := f.checkRevision(now); err != nil {
		return router.Request{}, err
	}
	route, ok := f.inventory.RouteFor(path)
	if !ok {
		return router.Request{}, notFound("unknown_path", "no route leads to "+path+"; the models are under /v1")
	}
	request := o.call.Request()
	principal, err := auth.Authenticate(f.inventory, route, string(request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return router.Request{}, err
	}
	o.principal = principal
	o.span.SetAttribute("tenant", principal.Tenant())
	o.deadline = now.Add(f.timeout(route))
	key, err := idempotencyKey(request, route)
	if err != nil {
		return router.Request{}, err
	}
	config := router.RequestConfig{
		ID:             o.id,
		Tenant:         principal.Tenant(),
		Grant:          principal.Grant(),
		StateOffset:    f.stateOffset.Load(),
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
		if err := f.admitModel(&config, o, path); err != nil {
			return router.Request{}, err
		}
	}
	return router.NewRequest(config), nil
}

// timeout returns the time limit of a route's requests.
func (f *Frontend) timeout(route fleetstate.Route) time.Duration {
	if route.Deadline() > 0 {
		return min(f.config.RequestTimeout, route.Deadline())
	}
	return f.config.RequestTimeout
}

// admitModel checks a request to the models' API and completes config.
func (f *Frontend) admitModel(config *router.RequestConfig, o *openCall, path string) error {
	if !isModelPath(path) {
		return notFound("unknown_path", "the models' API has no "+path+"; use "+pathChat+", "+pathCompletions+" or "+pathModels)
	}
	method := fasthttp.MethodPost
	if path == pathModels {
		method = fasthttp.MethodGet
	}
	if config.Method != method {
		return httpserver.NewRefusal(httpserver.RefusalConfig{
			Status: fasthttp.StatusMethodNotAllowed, Code: "method_not_allowed", Message: path + " takes " + method + " only",
		})
	}
	if path == pathModels {
		return nil
	}
	request, err := decodeCompletion(path, config.Body)
	if err != nil {
		return err
	}
	model, ok := f.inventory.ModelFor(request.Model)
	if !ok {
		return notFound("model_not_found", "there is no model "+request.Model+"; list the models with GET "+pathModels)
	}
	o.stream = request.Stream
	o.span.SetAttribute("model", request.Model)
	config.Model = model.Name()
	config.Stream = request.Stream
	config.Prompt = request.prompt()
	config.Tokens = request.tokens(config.Body, f.config.DefaultMaxTokens)
	o.usage = tokenUsage{charged: config.Tokens, prompt: promptTokens(config.Body)}
	return nil
}

// answerHealth answers a health or readiness probe. It reports whether the call is
// one.
func (f *Frontend) answerHealth(now time.Time, call *httpserver.Call, path string) bool {
	response := &fasthttp.Response{}
	switch path {
	case "/healthz":
		response.SetBodyString("ok\n")
	case "/readyz":
		admin.WriteReadiness(response, f.Ready(now))
	default:
		return false
	}
	response.Header.SetContentType("text/plain; charset=utf-8")
	call.Reply(response)
	return true
}

// Ready returns nil while the front end accepts requests, else the reason why not.
func (f *Frontend) Ready(now time.Time) error {
	if f.draining.Load() {
		return errDraining
	}
	return f.checkRevision(now)
}

func (f *Frontend) answerModels(now time.Time, o *openCall) {
	body, err := listModels(f.inventory, now)
	if err != nil {
		f.fail(now, o, httpserver.AsRefusal(err), 0)
		return
	}
	f.replyBody(now, o, fasthttp.StatusOK, "application/json", body)
}

// deliver passes on a part of an answer. A part of a stream is sent at once, other
// answers when they are complete.
func (f *Frontend) deliver(now time.Time, m router.Deliver) {
	f.failIfStale(now)
	o, ok := f.calls[m.RequestID()]
	if !ok {
		return
	}
	if !o.withdrawnAt.IsZero() {
		f.fail(now, o, errWithdrawn, 0)
		return
	}
	if !o.stream || (!o.headerSent && m.Status() != fasthttp.StatusOK) {
		f.buffer(now, o, m)
		return
	}
	if !o.headerSent {
		o.headerSent = true
		o.span.AddEvent(now, "first byte")
		response := &fasthttp.Response{}
		response.SetStatusCode(m.Status())
		response.Header.SetContentType(m.ContentType())
		response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
		o.setHeaders(response)
		if o.call.Begin(response) != nil {
			f.handleDisconnect(now, o.call)
			return
		}
	}
	if o.call.Write(m.Data()) != nil {
		f.handleDisconnect(now, o.call)
		return
	}
	o.usage.countStream(m.Data())
	if m.Complete() {
		o.call.End()
		f.refund(o, o.usage.unusedByStream())
		f.close(now, o, "")
	}
}

// buffer collects an answer that is not streamed and sends it when it is complete.
func (f *Frontend) buffer(now time.Time, o *openCall, m router.Deliver) {
	o.body = append(o.body, m.Data()...)
	if f.config.Account.Charge(o.principal.Tenant(), int64(len(m.Data()))*answerCopies) {
		f.giveUpLargest(now)
	}
	if f.calls[o.id] == nil {
		return // given up
	}
	if int64(len(o.body)) > f.config.MaxAnswer {
		f.abandon(o)
		f.fail(now, o, errAnswerTooLarge, 0)
		return
	}
	if m.Complete() && httpmeta.ImpliesNotRun(m.Status()) {
		f.fail(now, o, errBackendRefused, 0)
		return
	}
	if m.Complete() {
		f.refund(o, o.usage.unusedByBody(o.body))
		f.replyBody(now, o, m.Status(), m.ContentType(), o.body)
	}
}

// giveUpLargest ends the call with the largest collected answer: the process holds too many
// bytes.
func (f *Frontend) giveUpLargest(now time.Time) {
	var largest *openCall
	for _, o := range f.calls {
		if largest == nil || len(o.body) > len(largest.body) {
			largest = o
		}
	}
	if largest == nil {
		return
	}
	f.abandon(largest)
	f.fail(now, largest, errNoRoomForAnswer, 0)
}

func (f *Frontend) replyBody(now time.Time, o *openCall, status int, contentType string, body []byte) {
	response := &fasthttp.Response{}
	response.SetStatusCode(status)
	response.Header.SetContentType(contentType)
	response.SetBodyRaw(body)
	o.setHeaders(response)
	o.call.Reply(response)
	f.close(now, o, "")
}

func (f *Frontend) refuse(now time.Time, m router.Refuse) {
	o, ok := f.calls[m.RequestID()]
	if !ok {
		return
	}
	if m.Refusal().Outcome() == httpserver.NotRun {
		f.refund(o, o.usage.charged)
	}
	f.fail(now, o, m.Refusal(), m.RetryAfter())
}

// refuseByRate ends a call that the limiter has refused. No tokens were charged for
// it.
func (f *Frontend) refuseByRate(now time.Time, m ratelimit.Refuse) {
	if o, ok := f.calls[m.RequestID()]; ok {
		f.fail(now, o, m.Refusal(), m.RetryAfter())
	}
}

// refund returns to the tenant tokens that were charged for a call but not used.
func (f *Frontend) refund(o *openCall, tokens int64) {
	if tokens > 0 {
		f.config.Limiter.Refund(o.principal.Tenant(), tokens)
	}
}

// fail ends a call without a complete answer: with an error event if a stream has
// begun, else with a refusal.
func (f *Frontend) fail(now time.Time, o *openCall, refusal *httpserver.Refusal, retryAfter time.Duration) {
	if o.headerSent {
		// An error of the write is ignored, since the connection is closed anyway.
		_ = o.call.Write(errorEvent(refusal))
		o.call.Abort()
	} else {
		o.call.Reply(refusalResponse(o, refusal, retryAfter))
	}
	f.config.Log.WithFields(logrus.Fields{
		"event": "refused", "request": o.id, "tenant": o.principal.Tenant(), "status": refusal.Status(),
		"code": refusal.Code(), "outcome": refusal.Outcome(),
	}).Info("request refused")
	f.close(now, o, refusal.Code())
}

// handleDisconnect ends a call whose caller has closed the connection.
func (f *Frontend) handleDisconnect(now time.Time, call *httpserver.Call) {
	id, ok := f.ids[call]
	if !ok {
		return
	}
	o := f.calls[id]
	f.abandon(o)
	call.Abort()
	f.close(now, o, "caller left")
}

// abandon cancels the request of a call. An error of Put is ignored, since the
// request ends at its deadline anyway.
func (f *Frontend) abandon(o *openCall) { _ = f.config.Limiter.Put(router.NewAbandoned(o.id)) }

func (f *Frontend) close(now time.Time, o *openCall, failure string) {
	o.span.End(now, failure)
	f.config.Account.Release(o.principal.Tenant(), int64(len(o.body))*answerCopies)
	delete(f.calls, o.id)
	delete(f.ids, o.call)
}

// setHeaders sets the header fields of every answer.
func (o *openCall) setHeaders(response *fasthttp.Response) {
	response.Header.Set(requestIDHeader, o.id)
	response.Header.Set(traceHeader, o.span.Traceparent())
}
