// Package porch holds the connections of an entry that stands directly before
// backend servers: callers' connections and the links to backend servers share
// one event loop, so that the events of a stream pass from one to the other
// without a hand-over. What is decided about requests is the steward's.
package porch

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
	Front     string // IP:port for callers
	Probe     string // IP:port where the platform asks for readiness
	ReadyPath string
	Capacity  int // actions and dials that may wait
	Dialers   int // connections that are made at once
	Codec     Codec
	Dial      Dial
	Steward   Inbox
	Readiness Readiness
	Log       *logrus.Entry
}

// Porch is responsible for all connections of callers and to backend servers.
// Fields without atomic access belong to the event loop.
type Porch struct {
	gnet.BuiltinEventEngine

	config    Config
	outbox    *ring.Ring // actions for the event loop
	dials     *ring.Ring
	woken     atomic.Bool
	events    atomic.Value // gnet.EventLoop
	limits    atomic.Pointer[charter.Limits]
	drainFrom atomic.Pointer[time.Time] // nil while the process stays

	engine    gnet.Engine
	booted    chan struct{}
	number    uint64
	callers   map[*caller]struct{}
	exchanges map[uint64]*exchange
	pools     map[string]*pool // by backend server's id
	scratch   []byte           // request on its way out
	piece     []byte           // answer on its way out
}

// New returns a porch that listens once it is served.
func New(config Config) *Porch {
	p := &Porch{
		config:    config,
		outbox:    ring.New(ring.Config{Name: "porch", Capacity: config.Capacity}),
		dials:     ring.New(ring.Config{Name: "dials", Capacity: config.Capacity}),
		booted:    make(chan struct{}),
		callers:   make(map[*caller]struct{}),
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
func (p *Porch) Services() []crew.Service {
	services := []crew.Service{p}
	for range p.config.Dialers {
		services = append(services, &dialer{porch: p, dials: p.dials})
	}
	return services
}

// Rings returns the rings that feed the porch's threads.
func (p *Porch) Rings() []*ring.Ring { return []*ring.Ring{p.outbox, p.dials} }

// SetLimits puts the limits on requests in force.
func (p *Porch) SetLimits(limits charter.Limits) { p.limits.Store(&limits) }

// Drain makes every answer the last of its connection.
func (p *Porch) Drain(now time.Time) { p.drainFrom.Store(&now) }

// String returns the duty's name.
func (p *Porch) String() string { return "porch" }

// Serve listens until ctx ends.
func (p *Porch) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.stop)
	defer stop()
	err := gnet.Rotate(p, []string{"tcp://" + p.config.Front, "tcp://" + p.config.Probe},
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
	return errors.Wrapf(err, "listen on %s and %s", p.config.Front, p.config.Probe)
}

func (p *Porch) stop() {
	<-p.booted
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	if err := p.engine.Stop(ctx); err != nil {
		p.config.Log.WithField("event", "stop").WithError(err).Warn("event loop did not stop in time")
	}
}

// OnBoot keeps the engine, which a later stop needs.
func (p *Porch) OnBoot(engine gnet.Engine) gnet.Action {
	p.engine = engine
	close(p.booted)
	return gnet.None
}

// OnOpen takes a connection over: a link that was dialled, or a caller.
func (p *Porch) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	now := time.Now()
	if l, ok := conn.Context().(*link); ok {
		l.conn = conn
		l.pool.opened(now, l)
		return nil, gnet.None
	}
	if p.events.Load() == nil {
		p.events.Store(loopBox{conn.EventLoop()})
		p.wake()
	}
	c := &caller{porch: p, conn: conn, since: now, prober: conn.LocalAddr().String() == p.config.Probe}
	conn.SetContext(c)
	p.callers[c] = struct{}{}
	return nil, gnet.None
}

// OnTraffic reads what has arrived on a connection.
func (p *Porch) OnTraffic(conn gnet.Conn) gnet.Action {
	now := time.Now()
	switch c := conn.Context().(type) {
	case *caller:
		c.advance(now)
	case *link:
		c.advance(now)
	}
	return gnet.None
}

// OnClose ends what the connection carried.
func (p *Porch) OnClose(conn gnet.Conn, cause error) gnet.Action {
	now := time.Now()
	switch c := conn.Context().(type) {
	case *caller:
		p.hangUp(c)
	case *link:
		c.ended(now, cause)
	}
	return gnet.None
}

// hangUp drops the request of a caller that has left.
func (p *Porch) hangUp(c *caller) {
	c.closed = true
	delete(p.callers, c)
	if e := c.exchange; e != nil {
		e.drop()
		p.forget(e)
		p.tell(scheduler.NewDisconnected(e.number).WithLongestPause(e.pause))
	}
}

// OnTick has the event loop look at idle connections.
func (p *Porch) OnTick() (time.Duration, gnet.Action) {
	if err := p.Put(sweep{}); err != nil {
		p.config.Log.WithField("event", "sweep").WithError(err).Warn("event loop is behind")
	}
	return sweepPeriod, gnet.None
}

// sweep asks the event loop to look at idle connections.
type sweep struct{}

// loopBox wraps the event loop, whose type is private to its library.
type loopBox struct{ gnet.EventLoop }

// loop returns the event loop. It is called only once a connection has opened.
func (p *Porch) loop() gnet.EventLoop { return p.events.Load().(loopBox).EventLoop }

// Put hands an action over to the event loop.
func (p *Porch) Put(action any) error {
	if err := p.outbox.Put(action); err != nil {
		return err
	}
	p.wake()
	return nil
}

func (p *Porch) wake() {
	if p.events.Load() == nil || p.woken.Swap(true) {
		return
	}
	if err := p.loop().Execute(context.Background(), gnet.RunnableFunc(p.drainOutbox)); err != nil {
		p.woken.Store(false)
		p.config.Log.WithField("event", "wake").WithError(err).Warn("event loop does not take work")
	}
}

// drainOutbox carries out the actions that wait.
func (p *Porch) drainOutbox(context.Context) error {
	p.woken.Store(false)
	var batch [64]any
	for {
		n := p.outbox.Drain(batch[:])
		if n == 0 {
			return nil
		}
		now := time.Now()
		for _, action := range batch[:n] {
			p.carryOut(now, action)
		}
	}
}

func (p *Porch) carryOut(now time.Time, action any) {
	switch a := action.(type) {
	case scheduler.Send:
		p.send(now, a)
	case scheduler.ForwardError:
		if e, ok := p.exchanges[a.Number()]; ok {
			e.reply(now, e.kept)
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
		a.pool.failed()
	case sweep:
		p.sweep(now)
	}
}

func (p *Porch) send(now time.Time, send scheduler.Send) {
	e, ok := p.exchanges[send.Number()]
	if !ok {
		return
	}
	e.send, e.kept, e.told = send, nil, false
	e.events.drop()
	if e.begun && len(e.events.last) == 0 { // nobody can say where it goes on
		p.tell(scheduler.NewSendEnded(e.number, scheduler.Truncated, 0))
		return
	}
	id := send.Sheet().Backend()
	pl, ok := p.pools[id]
	if !ok {
		pl = &pool{porch: p, backend: id, address: send.Address()}
		p.pools[id] = pl
	}
	pl.most, e.pool = send.Connections(), pl
	pl.carry(now, e)
}

func (p *Porch) sweep(now time.Time) {
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
func (p *Porch) open(now time.Time, c *caller, request *fasthttp.Request) {
	p.number++
	e := &exchange{number: p.number, porch: p, caller: c, request: request, visit: p.config.Codec.Visit(now, request)}
	c.exchange = e
	c.last = c.last || p.drainFrom.Load() != nil
	p.exchanges[e.number] = e
	if err := p.config.Steward.Put(scheduler.NewArrived(e.number, e.visit)); err != nil {
		e.refuse(now, fasthttp.StatusServiceUnavailable, 0)
	}
}

// close ends an exchange and goes on with its caller's next request.
func (p *Porch) close(now time.Time, e *exchange) {
	p.forget(e)
	e.caller.finish(now)
	e.caller.advance(now)
}

func (p *Porch) forget(e *exchange) {
	e.gone = true
	delete(p.exchanges, e.number)
}

// tell reports to the steward. What its ring refuses, it gives up when the
// request's time is over.
func (p *Porch) tell(message scheduler.Message) {
	if err := p.config.Steward.Put(message); err != nil {
		p.config.Log.WithField("event", "steward_behind").WithError(err).Warn("message lost")
	}
}

// leaving reports whether idle callers are to be closed.
func (p *Porch) leaving(now time.Time) bool {
	from := p.drainFrom.Load()
	return from != nil && now.Sub(*from) > closeLinger
}
