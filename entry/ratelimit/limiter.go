package ratelimit

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/statesync"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/entry/router"
)

// refusalPutTimeout is the longest wait for room in the responder's ring.
const refusalPutTimeout = 5 * time.Second

// Router receives the admitted requests.
type Router interface {
	Put(message router.Message) error
}

// Responder receives Refuse actions.
type Responder interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Appender appends claims to the log.
type Appender interface {
	Append(record fleetstate.Record) error
}

// Config holds the construction parameters of a Limiter.
type Config struct {
	Core      CoreConfig // Incarnation is set by Start
	Capacity  int        // capacity of the inbox in messages
	Router    Router
	Responder Responder
	Appender  Appender
	Identity  *peerrpc.Identity
	OnDrained func() // called once, at the end of a drain
	Log       *logrus.Entry
}

// Limiter runs a Core on its own thread and executes its actions.
type Limiter struct {
	config       Config
	inbox        *ring.Ring
	clients      *clientPool
	core         *Core
	lastRevision RevisionChanged
}

// New returns a Limiter. Its threads run once its Services are served.
func New(config Config) *Limiter {
	l := &Limiter{
		config: config,
		inbox:  ring.New(ring.Config{Name: "treasurer", Capacity: config.Capacity}),
	}
	l.clients = newClientPool(config, l)
	return l
}

// Inbox returns the ring of the limiter's messages.
func (l *Limiter) Inbox() *ring.Ring { return l.inbox }

// SetRouter sets the router of admitted requests. It must be called before the
// limiter is served.
func (l *Limiter) SetRouter(next Router) { l.config.Router = next }

// Put takes a request or its cancellation without blocking. It passes any other
// message on to the router.
func (l *Limiter) Put(message router.Message) error {
	switch m := message.(type) {
	case router.Request:
		return l.Offer(NewAdmissionRequested(m))
	case router.Abandoned:
		return l.Offer(NewAbandoned(m.RequestID()))
	}
	return l.config.Router.Put(message)
}

// Refund returns the tokens that an admitted request did not use. If the inbox
// is full, they count as used.
func (l *Limiter) Refund(tenant string, tokens int64) { _ = l.Offer(NewRefund(tenant, tokens)) }

// Offer puts a message into the inbox without blocking.
func (l *Limiter) Offer(message Message) error { return l.inbox.Put(message) }

// Drain makes the limiter return its allowances and hand over its buckets. It
// waits up to limit for room in the inbox.
func (l *Limiter) Drain(ctx context.Context, limit time.Duration) error {
	return l.PutWithin(ctx, Drain{}, limit)
}

// PutWithin puts a message into the inbox and waits up to limit for room.
func (l *Limiter) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return l.inbox.PutWithin(ctx, message, limit)
}

// Services returns the threads, to be added to a supervisor.
func (l *Limiter) Services() []supervisor.Service {
	loop := supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "treasurer", Inbox: l.inbox, Handler: l, Period: tickPeriod})
	return []supervisor.Service{loop, l.clients}
}

// Start replaces the core with a new incarnation that starts from the last
// revision. Allowances that the earlier incarnation borrowed or lent expire.
func (l *Limiter) Start(now time.Time) error {
	config := l.config.Core
	config.Incarnation = config.Instance + "/" + uuid.NewString()
	l.core = NewCore(config)
	if l.lastRevision.revision == nil {
		return nil
	}
	return l.execute(now, l.core.Handle(now, l.lastRevision))
}

// Handle processes one message.
func (l *Limiter) Handle(now time.Time, message any) error {
	if m, ok := message.(statesync.RevisionChanged); ok {
		l.lastRevision = NewRevisionChanged(m.Revision())
		message = l.lastRevision
	}
	if m, ok := message.(Message); ok {
		return l.execute(now, l.core.Handle(now, m))
	}
	return nil
}

// Tick handles expirations and timeouts.
func (l *Limiter) Tick(now time.Time) error { return l.execute(now, l.core.Tick(now)) }

func (l *Limiter) execute(now time.Time, actions []Action) error {
	for _, action := range actions {
		if err := l.executeAction(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (l *Limiter) executeAction(now time.Time, action Action) error {
	switch a := action.(type) {
	case Admit:
		return l.admit(now, a)
	case ForwardAbandoned:
		// An error is harmless: the request ends at its deadline.
		_ = l.config.Router.Put(router.NewAbandoned(a.request))
	case Refuse:
		return l.config.Responder.PutWithin(context.Background(), a, refusalPutTimeout)
	case SendLend:
		if err := l.clients.lend(a.peer, a.address, a.lend); err != nil {
			return l.Handle(now, NewLendAnswered(a.peer, a.lend.Serial(), protocol.Loans{}, err))
		}
	case SendHandOver:
		if err := l.clients.handOver(a.peer, a.address, a.handOver); err != nil {
			return l.Handle(now, NewHandOverAnswered(a.handOver.Role(), false))
		}
	case Reply:
		// An error is harmless: a caller that has timed out needs no answer.
		_ = a.reply.Put(a.answer)
	case Append:
		l.appendClaim(a.record)
	case Drained:
		l.config.OnDrained()
	}
	return nil
}

// admit passes an admitted request to the router. If the router does not accept it,
// it is refused and its tokens are refunded.
func (l *Limiter) admit(now time.Time, a Admit) error {
	if l.config.Router.Put(a.request) == nil {
		return nil
	}
	refuse := Refuse{request: a.request.ID(), refusal: errOverloaded, retryAfter: minRetryAfter}
	if err := l.config.Responder.PutWithin(context.Background(), refuse, refusalPutTimeout); err != nil {
		return err
	}
	return l.Handle(now, NewRefund(a.request.Tenant(), a.request.Tokens()))
}

// appendClaim queues a claim for the log. If that fails, the core proposes the
// claim again.
func (l *Limiter) appendClaim(record fleetstate.Record) {
	if err := l.config.Appender.Append(record); err != nil {
		l.config.Log.WithField("event", "claim_refused").WithError(err).Warn("claim not queued for the log")
	}
}
