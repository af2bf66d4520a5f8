// Package proxy forwards callers' requests to backend servers and the answers back.
// The connections of callers and to backend servers share one event loop, so that
// the events of a stream are forwarded without a switch of threads. Package
// scheduler decides where each request is sent and how it ends.
package proxy

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/descriptors"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/memory"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/scheduler"
)

// Codec translates between the heads of HTTP messages and the lobby's types.
type Codec interface {
	// DecodeRequest returns the parameters of a caller's request.
	DecodeRequest(now time.Time, request *fasthttp.Request) *httpmeta.Request
	// AppendRequest appends the request to dst in the form for a backend server,
	// as of now, and returns the extended slice. It may change the request's
	// header.
	AppendRequest(now time.Time, dst []byte, request *fasthttp.Request, forwarding httpmeta.Forwarding) []byte
	// DecodeAnswer returns the metadata in the head of a backend server's answer.
	DecodeAnswer(header *fasthttp.ResponseHeader) httpmeta.Answer
	// RequestID returns the ID in the head of a request, empty if there is none.
	RequestID(header *fasthttp.RequestHeader) string
	// RewriteAnswer changes the head of a backend server's answer into the one for the
	// caller.
	RewriteAnswer(header *fasthttp.ResponseHeader)
	// EncodeRefusal fills in the head of an answer that does not come from a
	// backend server. id is the request ID, empty if unknown.
	EncodeRefusal(header *fasthttp.ResponseHeader, id string, status int, retryAfter time.Duration)
}

// Inbox takes messages for the scheduler.
type Inbox interface {
	Put(item any) error
}

// Memory is an account of the bytes that the process holds, by customer.
type Memory interface {
	httpserver.Account
	// Charge charges a customer with bytes whatever the limit is. It reports whether the
	// limit is exceeded so far that something has to be given up.
	Charge(customer string, bytes int64) bool
	// Total returns the number of bytes that are held.
	Total() int64
	// Limit returns the limit in bytes.
	Limit() int64
}

// Readiness reports whether the process accepts callers' connections.
type Readiness interface {
	Ready() bool
}

// Config holds the construction parameters of a Proxy.
type Config struct {
	Listen      string // IP:port for callers
	Probe       string // IP:port for the platform's readiness probes
	ReadyPath   string // path of the readiness probes
	Capacity    int    // number of actions, and of dial requests, that may be queued
	Dialers     int    // number of threads that open connections
	Descriptors int    // file descriptors that the process may open
	Memory      Memory // account of the bytes of requests and answers
	// StallTimeout is the time after which the connection of a caller is closed that
	// takes no byte of its answer.
	StallTimeout time.Duration
	AcceptPeriod time.Duration // time from the start of a drain for which requests are accepted
	MinUpload    int64         // bytes a second at which a body has to arrive beyond the time limit of its head; none if zero
	Codec        Codec
	Dial         Dial
	Scheduler    Inbox
	Readiness    Readiness
	Log          *logrus.Entry
}

// Proxy handles the connections of callers and to backend servers. Fields that are
// neither constant, atomic nor rings must be used on the event loop only.
type Proxy struct {
	gnet.BuiltinEventEngine

	config        Config
	inbox         *ring.Ring // actions for the event loop
	dials         *ring.Ring
	confirmations *ring.Ring // of confirmationRequest
	wakePending   atomic.Bool
	run           atomic.Pointer[loopRun] // nil before the first one
	limits        atomic.Pointer[deployment.Limits]
	drainStart    atomic.Pointer[time.Time] // nil while the process does not drain
	open          atomic.Int64              // length of exchanges
	unsent        atomic.Int64              // length of sending

	lastNumber    uint64
	callers       map[*callerConn]struct{}
	waiting       waitingCallers
	exchanges     map[uint64]*exchange
	sending       map[*callerConn]struct{}  // callers' connections with bytes that have not left the process
	pools         map[string]*pool          // by ID of the backend server
	backendConns  map[*backendConn]struct{} // including those being opened
	lastOpen      int                       // openConnections when the last caller connected
	budget        *descriptors.Budget
	stats         *stats
	causes        *httpserver.Causes
	lateness      lateness
	limitLogged   time.Time // time of the last log line on connections at their limit
	loggedClosed  uint64    // value of stats.closed then
	loggedRefused uint64    // value of stats.refused then
	requestBuffer []byte    // reused for each request that is sent
	answerBuffer  []byte    // reused for each answer or piece that is sent
}

// New returns a proxy. It listens while its services run.
func New(config Config) *Proxy {
	p := &Proxy{
		config:        config,
		inbox:         ring.New(ring.Config{Name: "porch", Capacity: config.Capacity}),
		dials:         ring.New(ring.Config{Name: "dials", Capacity: config.Capacity}),
		confirmations: ring.New(ring.Config{Name: "confirmations", Capacity: config.Capacity}),
		callers:       make(map[*callerConn]struct{}),
		exchanges:     make(map[uint64]*exchange),
		sending:       make(map[*callerConn]struct{}),
		pools:         make(map[string]*pool),
		backendConns:  make(map[*backendConn]struct{}),
		budget:        descriptors.NewBudget(config.Descriptors),
		stats:         newStats(),
		causes:        httpserver.NewCauses(config.Log),
	}
	p.SetLimits(deployment.NewLimits(deployment.LimitsConfig{
		MaxHeader: httpserver.DefaultMaxHeader, MaxBody: httpserver.DefaultMaxBody,
		ReadTimeout: httpserver.DefaultSlowSender, IdleTimeout: httpserver.DefaultIdle,
	}))
	return p
}

// Services returns the proxy's threads, to be added to a supervisor.
func (p *Proxy) Services() []supervisor.Service {
	services := []supervisor.Service{p}
	for range p.config.Dialers {
		services = append(services, &dialer{proxy: p, dials: p.dials})
	}
	for range confirmers {
		services = append(services, &confirmer{proxy: p, requests: p.confirmations})
	}
	return services
}

// Rings returns the rings from which the proxy's threads read.
func (p *Proxy) Rings() []*ring.Ring { return []*ring.Ring{p.inbox, p.dials, p.confirmations} }

// SetLimits sets the limits on requests. It is safe to call from any thread.
func (p *Proxy) SetLimits(limits deployment.Limits) { p.limits.Store(&limits) }

// Drain starts a drain: callers' connections are closed after their next answer,
// and idle ones after a delay. It is safe to call from any thread.
func (p *Proxy) Drain(now time.Time) { p.drainStart.CompareAndSwap(nil, &now) }

// Open returns the number of requests whose answers have not been written. It is safe to
// call from any thread.
func (p *Proxy) Open() int { return int(p.open.Load()) }

// Pending returns the number of callers' connections without an open request that are owed
// an answer: a request has arrived in part, or bytes that were written have not left the
// process. It is safe to call from any thread.
func (p *Proxy) Pending() int { return int(p.waiting.arriving.Load() + p.unsent.Load()) }

// String returns the thread's name, which supervision events carry.
func (p *Proxy) String() string { return "porch" }

// Serve listens until ctx ends. It may be called again after it has returned: all
// connections are closed then, and the requests on them have ended.
func (p *Proxy) Serve(ctx context.Context) error {
	run := newLoopRun()
	defer run.end()
	defer func() { p.causes.Flush(time.Now()) }()
	p.run.Store(run)
	p.wakePending.Store(false)
	engine := httpserver.NewEngine(httpserver.EngineConfig{
		Addresses: []string{p.config.Listen, p.config.Probe}, Loops: 1, ReadBuffer: readBuffer, KeepAlive: keepAlive, Handler: p, Log: p.config.Log,
	})
	err := engine.Serve(ctx)
	if errors.Is(err, httpserver.ErrEngineEnded) {
		p.budget.Exhausted(time.Now(), p.lastOpen)
	}
	return err
}

// OnOpen handles a new connection, either dialled to a backend server or accepted
// from a caller.
func (p *Proxy) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	defer p.containPanic(conn)
	now := time.Now()
	if b, ok := conn.Context().(*backendConn); ok {
		b.conn = conn
		b.opened.Store(true)
		b.pool.connected(now, b)
		return nil, gnet.None
	}
	if run := p.run.Load(); run.start(conn.EventLoop()) {
		p.wake()
	}
	address := httpserver.Host(conn.RemoteAddr())
	if !p.makeRoom(now) {
		p.stats.refused.Inc()
		p.causes.Record(now, httpserver.Connections, address)
		return p.refusalHead(fasthttp.StatusServiceUnavailable, overloadRetryAfter), gnet.Close
	}
	c := newCallerConn(now, p, conn, address)
	conn.SetContext(c)
	p.callers[c] = struct{}{}
	p.lastOpen = p.openConnections()
	p.waiting.move(c, &p.waiting.idle)
	return nil, gnet.None
}

// refusalHead returns an answer without a body for a request that was not read. The
// connection is to be closed after it.
func (p *Proxy) refusalHead(status int, retryAfter time.Duration) []byte {
	var head fasthttp.ResponseHeader
	p.config.Codec.EncodeRefusal(&head, "", status, retryAfter)
	head.SetContentLength(0)
	head.SetConnectionClose()
	return head.AppendBytes(nil)
}

// OnTraffic handles the bytes that have arrived on a connection.
func (p *Proxy) OnTraffic(conn gnet.Conn) gnet.Action {
	defer p.containPanic(conn)
	now := time.Now()
	switch c := conn.Context().(type) {
	case *callerConn:
		c.readRequests(now)
		p.lateness.handled(c, time.Since(now))
	case *backendConn:
		c.readAnswer(now)
		p.lateness.handled(c, time.Since(now))
	}
	return gnet.None
}

// OnClose handles the end of a connection.
func (p *Proxy) OnClose(conn gnet.Conn, cause error) gnet.Action {
	defer p.containPanic(nil)
	now := time.Now()
	switch c := conn.Context().(type) {
	case *callerConn:
		p.callerClosed(now, c)
	case *backendConn:
		c.peerClosed(now, cause)
	}
	return gnet.None
}

// containPanic ends a panic, closes the connection whose bytes caused it, if any,
// and reports its request as incomplete. The other connections go on.
func (p *Proxy) containPanic(conn gnet.Conn) {
	cause := recover()
	if cause == nil {
		return
	}
	p.config.Log.WithFields(logrus.Fields{"event": "panic", "stack": string(debug.Stack())}).Errorf("panic on the event loop: %v", cause)
	if conn == nil {
		return
	}
	switch c := conn.Context().(type) {
	case *callerConn:
		c.close(time.Now())
	case *backendConn:
		c.fail(errors.Newf("panic: %v", cause))
	}
}

// callerClosed cancels the request of a caller that has disconnected.
func (p *Proxy) callerClosed(now time.Time, c *callerConn) {
	if c.receiving && !c.closed {
		p.causes.RecordFragment(now, httpserver.Unfinished, c.address, c.fragment())
	}
	c.closed = true
	delete(p.callers, c)
	p.waiting.move(c, nil)
	c.releaseBuffers()
	c.releaseReader()
	if e := c.exchange; e != nil {
		e.cancelSend()
		p.removeExchange(e)
		p.notifyScheduler(scheduler.NewAbandoned(e.number).WithLongestPause(e.longestPause))
	}
}

// openExchange starts an exchange for a new request and passes the request to the
// scheduler.
func (p *Proxy) openExchange(now time.Time, c *callerConn, reader *httpserver.RequestReader) {
	p.lastNumber++
	request := reader.Request()
	e := &exchange{
		number: p.lastNumber, proxy: p, caller: c, reader: reader, request: request,
		buffered: memory.NewCharge(p.config.Memory, reader.Customer()),
	}
	c.exchange = e
	c.closeAfterAnswer = c.closeAfterAnswer || p.drainStart.Load() != nil
	p.exchanges[e.number] = e
	p.open.Store(int64(len(p.exchanges)))
	e.meta = p.config.Codec.DecodeRequest(now, request) // once the exchange owns what is charged
	if len(p.exchanges) > p.budget.MaxRequests(now) {
		p.stats.refused.Inc()
		c.closeAfterAnswer = true
		e.refuse(now, fasthttp.StatusServiceUnavailable, overloadRetryAfter)
		return
	}
	if err := p.config.Scheduler.Put(scheduler.NewArrived(e.number, e.meta)); err != nil {
		e.refuse(now, fasthttp.StatusServiceUnavailable, overloadRetryAfter)
	}
}

// closeExchange ends an exchange and handles its caller's next request, unless the caller has
// gone while its answer was written.
func (p *Proxy) closeExchange(now time.Time, e *exchange) {
	if e.ended {
		return
	}
	p.removeExchange(e)
	e.caller.finish(now)
	e.caller.readRequests(now)
}

func (p *Proxy) removeExchange(e *exchange) {
	e.ended = true
	delete(p.exchanges, e.number)
	e.reader.Release()
	e.buffered.Release()
	p.open.Store(int64(len(p.exchanges)))
}

// notifyScheduler sends a message to the scheduler. If the message is lost because
// the scheduler's inbox is full, the scheduler ends the request at its deadline.
func (p *Proxy) notifyScheduler(message scheduler.Message) {
	if err := p.config.Scheduler.Put(message); err != nil {
		p.config.Log.WithField("event", "steward_behind").WithError(err).Warn("message to the scheduler lost")
	}
}

// accepts reports whether a request that arrives whole now would be accepted.
func (p *Proxy) accepts(now time.Time) bool {
	from := p.drainStart.Load()
	return from == nil || now.Sub(*from) < p.config.AcceptPeriod
}

// closesIdle reports whether the drain has reached the point at which a caller's connection
// is closed that has been idle since a time.
func (p *Proxy) closesIdle(now, since time.Time) bool {
	from := p.drainStart.Load()
	return from != nil && min(now.Sub(*from), now.Sub(since)) > idleCloseDelay
}
