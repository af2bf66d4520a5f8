// Package porch holds the connections of an entry that stands directly before
// backend servers: callers' connections and the links to backend servers share
// one event loop, so that the events of a stream pass from one to the other
// without a hand-over. What is decided about requests is the steward's.
package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/charter"
	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/visit"
	"sesamewell.example/commons/wicket"
	"sesamewell.example/lobby/scheduler"
)

// Codec translates the heads of messages.
type Codec interface {
	// Visit returns what a caller asks for.
	Visit(now time.Time, request *fasthttp.Request) *visit.Visit
	// Forward appends the request as a backend server gets it at now.
	Forward(now time.Time, dst []byte, request *fasthttp.Request, sheet visit.Sheet) []byte
	// Answer returns what the head of a backend server's answer says.
	Answer(header *fasthttp.ResponseHeader) visit.Answer
	// Relay turns that head into the one for the caller.
	Relay(header *fasthttp.ResponseHeader)
	// Refusal fills the head of an answer that no backend server gave.
	Refusal(header *fasthttp.ResponseHeader, id string, status int, retryAfter time.Duration)
}

// Inbox receives the steward's messages.
type Inbox interface {
	Put(item any) error
}

// Readiness tells whether the process takes connections.
type Readiness interface {
	Ready() bool
}

// Config holds the construction parameters of a Porch.
type Config struct {
	Listen    string // IP:port for callers
	Probe     string // IP:port where the platform asks for readiness
	ReadyPath string
	Capacity  int // actions and dials that may wait
	Dialers   int // connections that are made at once
	Codec     Codec
	Dial      Dial
	Scheduler Inbox
	Readiness Readiness
	Log       *logrus.Entry
}

// Porch is responsible for all connections of callers and to backend servers.
// Fields without atomic access belong to the event loop.
type Proxy struct {
	gnet.BuiltinEventEngine

	config      Config
	inbox       *ring.Ring // actions for the event loop
	dials       *ring.Ring
	wakePending atomic.Bool
	eventLoop   atomic.Value // gnet.EventLoop
	limits      atomic.Pointer[charter.Limits]
	drainStart  atomic.Pointer[time.Time] // nil while the process stays

	engine        gnet.Engine
	started       chan struct{}
	lastNumber    uint64
	callers       map[*callerConn]struct{}
	exchanges     map[uint64]*exchange
	pools         map[string]*pool // by backend server's id
	requestBuffer []byte           // request on its way out
	answerBuffer  []byte           // answer on its way out
}

// New returns a porch that listens once it is served.
func New(config Config) *Proxy {
	p := &Proxy{
		config:    config,
		inbox:     ring.New(ring.Config{Name: "porch", Capacity: config.Capacity}),
		dials:     ring.New(ring.Config{Name: "dials", Capacity: config.Capacity}),
		started:   make(chan struct{}),
		callers:   make(map[*callerConn]struct{}),
		exchanges: make(map[uint64]*exchange),
		pools:     make(map[string]*pool),
	}
	p.SetLimits(charter.NewLimits(charter.LimitsConfig{
		MaxHeader: wicket.DefaultMaxHeader, MaxBody: wicket.DefaultMaxBody,
		SlowSender: wicket.DefaultSlowSender, Idle: wicket.DefaultIdle,
	}))
	return p
}

// Services returns the porch's threads, to be added to a crew.
func (p *Proxy) Services() []crew.Service {
	services := []crew.Service{p}
	for range p.config.Dialers {
		services = append(services, &dialer{proxy: p, dials: p.dials})
	}
	return services
}

// Rings returns the rings that feed the porch's threads.
func (p *Proxy) Rings() []*ring.Ring { return []*ring.Ring{p.inbox, p.dials} }

// SetLimits puts the limits on requests in force.
func (p *Proxy) SetLimits(limits charter.Limits) { p.limits.Store(&limits) }

// Drain makes every answer the last of its connection.
func (p *Proxy) Drain(now time.Time) { p.drainStart.Store(&now) }

// String returns the duty's name.
func (p *Proxy) String() string { return "porch" }

// Serve listens until ctx ends.
func (p *Proxy) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.stop)
	defer stop()
	err := gnet.Rotate(p, []string{"tcp://" + p.config.Listen, "tcp://" + p.config.Probe},
		gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(keepAlive),
		gnet.WithReadBufferCap(readBuffer),
		gnet.WithLogger(wicket.NewLogger(p.config.Log)),
	)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrapf(err, "listen on %s and %s", p.config.Listen, p.config.Probe)
}

func (p *Proxy) stop() {
	<-p.started
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := p.engine.Stop(ctx); err != nil {
		p.config.Log.WithField("event", "stop").WithError(err).Warn("event loop did not stop in time")
	}
}

// OnBoot keeps the engine, which a later stop needs.
func (p *Proxy) OnBoot(engine gnet.Engine) gnet.Action {
	p.engine = engine
	close(p.started)
	return gnet.None
}

// OnOpen takes a connection over: a link that was dialled, or a caller.
func (p *Proxy) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	now := time.Now()
	if l, ok := conn.Context().(*backendConn); ok {
		l.conn = conn
		l.pool.connected(now, l)
		return nil, gnet.None
	}
	if p.eventLoop.Load() == nil {
		p.eventLoop.Store(loopHolder{conn.EventLoop()})
		p.wake()
	}
	c := &callerConn{proxy: p, conn: conn, since: now, probe: conn.LocalAddr().String() == p.config.Probe}
	conn.SetContext(c)
	p.callers[c] = struct{}{}
	return nil, gnet.None
}

// OnTraffic reads what has arrived on a connection.
func (p *Proxy) OnTraffic(conn gnet.Conn) gnet.Action {
	now := time.Now()
	switch c := conn.Context().(type) {
	case *callerConn:
		c.readRequests(now)
	case *backendConn:
		c.readAnswer(now)
	}
	return gnet.None
}

// OnClose ends what the connection carried.
func (p *Proxy) OnClose(conn gnet.Conn, cause error) gnet.Action {
	now := time.Now()
	switch c := conn.Context().(type) {
	case *callerConn:
		p.callerClosed(c)
	case *backendConn:
		c.peerClosed(now, cause)
	}
	return gnet.None
}

// hangUp drops the request of a caller that has left.
func (p *Proxy) callerClosed(c *callerConn) {
	c.closed = true
	delete(p.callers, c)
	if e := c.exchange; e != nil {
		e.cancelSend()
		p.removeExchange(e)
		p.notifyScheduler(scheduler.NewDisconnected(e.number).WithLongestPause(e.longestPause))
	}
}

// OnTick has the event loop look at idle connections.
func (p *Proxy) OnTick() (time.Duration, gnet.Action) {
	if err := p.Put(sweep{}); err != nil {
		p.config.Log.WithField("event", "sweep").WithError(err).Warn("event loop is behind")
	}
	return sweepPeriod, gnet.None
}

// sweep asks the event loop to look at idle connections.
type sweep struct{}

// loopBox wraps the event loop, whose type is private to its library.
type loopHolder struct{ gnet.EventLoop }

// loop returns the event loop. It is called only once a connection has opened.
func (p *Proxy) loop() gnet.EventLoop { return p.eventLoop.Load().(loopHolder).EventLoop }

// Put hands an action over to the event loop.
func (p *Proxy) Put(action any) error {
	if err := p.inbox.Put(action); err != nil {
		return err
	}
	p.wake()
	return nil
}

func (p *Proxy) wake() {
	if p.eventLoop.Load() == nil || p.wakePending.Swap(true) {
		return
	}
	if err := p.loop().Execute(context.Background(), gnet.RunnableFunc(p.drainInbox)); err != nil {
		p.wakePending.Store(false)
		p.config.Log.WithField("event", "wake").WithError(err).Warn("event loop does not take work")
	}
}

// drainOutbox carries out the actions that wait.
func (p *Proxy) drainInbox(context.Context) error {
	p.wakePending.Store(false)
	var batch [64]any
	for {
		n := p.inbox.Drain(batch[:])
		if n == 0 {
			return nil
		}
		now := time.Now()
		for _, action := range batch[:n] {
			p.execute(now, action)
		}
	}
}

func (p *Proxy) execute(now time.Time, action any) {
	switch a := action.(type) {
	case scheduler.Send:
		p.send(now, a)
	case scheduler.ForwardError:
		if e, ok := p.exchanges[a.Number()]; ok {
			e.reply(now, e.heldError)
		}
	case scheduler.Refuse:
		if e, ok := p.exchanges[a.Number()]; ok {
			e.refuse(now, a.Status(), a.RetryAfter())
		}
	case scheduler.CloseIdle:
		if pool, ok := p.pools[a.Backend()]; ok {
			pool.retire()
		}
	case dialFailed:
		a.pool.dialFailed()
	case sweep:
		p.sweep(now)
	}
}

func (p *Proxy) send(now time.Time, send scheduler.Send) {
	e, ok := p.exchanges[send.Number()]
	if !ok {
		return
	}
	e.send, e.heldError, e.startReported = send, nil, false
	e.events.reset()
	if e.started && len(e.events.lastID) == 0 { // nobody can say where it goes on
		p.notifyScheduler(scheduler.NewSendEnded(e.number, scheduler.Truncated, 0))
		return
	}
	id := send.Sheet().Backend()
	pl, ok := p.pools[id]
	if !ok {
		pl = &pool{proxy: p, backend: id, address: send.Address()}
		p.pools[id] = pl
	}
	pl.maxOpen, e.pool = send.Connections(), pl
	pl.send(now, e)
}

func (p *Proxy) sweep(now time.Time) {
	for c := range p.callers {
		c.sweep(now)
	}
	for _, pool := range p.pools {
		pool.sweep(now)
	}
	for _, e := range p.exchanges {
		e.sweep(now)
	}
}

// open passes a new request to the steward.
func (p *Proxy) openExchange(now time.Time, c *callerConn, request *fasthttp.Request) {
	p.lastNumber++
	e := &exchange{number: p.lastNumber, proxy: p, caller: c, request: request, visit: p.config.Codec.Visit(now, request)}
	c.exchange = e
	c.closeAfterAnswer = c.closeAfterAnswer || p.drainStart.Load() != nil
	p.exchanges[e.number] = e
	if err := p.config.Scheduler.Put(scheduler.NewArrived(e.number, e.visit)); err != nil {
		e.refuse(now, fasthttp.StatusServiceUnavailable, 0)
	}
}

// close ends an exchange and goes on with its caller's next request.
func (p *Proxy) closeExchange(now time.Time, e *exchange) {
	p.removeExchange(e)
	e.caller.finish(now)
	e.caller.readRequests(now)
}

func (p *Proxy) removeExchange(e *exchange) {
	e.ended = true
	delete(p.exchanges, e.number)
}

// tell reports to the steward. What its ring refuses, it gives up when the
// request's time is over.
func (p *Proxy) notifyScheduler(message scheduler.Message) {
	if err := p.config.Scheduler.Put(message); err != nil {
		p.config.Log.WithField("event", "steward_behind").WithError(err).Warn("message lost")
	}
}

// leaving reports whether idle callers are to be closed.
func (p *Proxy) closesIdle(now time.Time) bool {
	from := p.drainStart.Load()
	return from != nil && now.Sub(*from) > idleCloseDelay
}
