package ratelimit

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/crew"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/commons/register"
	"sesamewell.example/commons/registrar"
	"sesamewell.example/commons/ring"
	"sesamewell.example/entry/router"
)

// gateHandOver is the longest wait for room in the gate's ring.
const refusalPutTimeout = 5 * time.Second

// Usher routes the requests that are admitted.
type RequestHandler interface {
	Put(message router.Message) error
}

// Gate receives Refuse actions.
type RefusalSink interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Scribe appends claims to the log.
type ClaimAppender interface {
	Append(record register.Record) error
}

// Config holds the construction parameters of a Treasurer.
type Config struct {
	Core     CoreConfig // Incarnation is set by the duty
	Capacity int        // messages in the inbox
	Next     RequestHandler
	Refusals RefusalSink
	Claims   ClaimAppender
	Identity *porter.Identity
	Drained  func() // called once, when a drain has ended
	Log      *logrus.Entry
}

// Treasurer is responsible for running the core on its own thread and carrying
// out its actions.
type Limiter struct {
	config       Config
	inbox        *ring.Ring
	clients      *clientPool
	core         *Core
	lastRevision Revised
}

// New returns a treasurer.
func New(config Config) *Limiter {
	t := &Limiter{
		config: config,
		inbox:  ring.New(ring.Config{Name: "treasurer", Capacity: config.Capacity}),
	}
	t.clients = newClientPool(config, t)
	return t
}

// Inbox returns the ring that feeds the treasurer.
func (t *Limiter) Inbox() *ring.Ring { return t.inbox }

// Attach sets the receiver of admitted requests, before the treasurer is
// served.
func (t *Limiter) Attach(router RequestHandler) { t.config.Next = router }

// Put takes a request of the gate, or the news that its caller has left,
// without blocking.
func (t *Limiter) Put(message router.Message) error {
	switch m := message.(type) {
	case router.Request:
		return t.Offer(NewAdmissionRequested(m))
	case router.Abandoned:
		return t.Offer(NewRequestCanceled(m.RequestID()))
	}
	return t.config.Next.Put(message)
}

// Refund returns the tokens that an admitted request did not use. Those that
// find the inbox full count as used.
func (t *Limiter) Refund(tenant string, tokens int64) { _ = t.Offer(NewRefund(tenant, tokens)) }

// Offer offers a message without blocking.
func (t *Limiter) Offer(message Message) error { return t.inbox.Put(message) }

// Drain asks the treasurer to hand over what it holds.
func (t *Limiter) Drain(ctx context.Context, limit time.Duration) error {
	return t.PutWithin(ctx, Drain{}, limit)
}

// PutWithin offers a message and parks up to limit while the inbox is full.
func (t *Limiter) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return t.inbox.PutWithin(ctx, message, limit)
}

// Services returns the threads, to be added to a crew.
func (t *Limiter) Services() []crew.Service {
	duty := crew.NewDuty(crew.DutyConfig{Name: "treasurer", Inbox: t.inbox, Handler: t, Period: tickPeriod})
	return []crew.Service{duty, t.clients}
}

// Start builds the core anew, as a new incarnation, from the last revision.
// What an earlier core held expires by itself.
func (t *Limiter) Start(now time.Time) error {
	config := t.config.Core
	config.Incarnation = config.Instance + "/" + uuid.NewString()
	t.core = NewCore(config)
	if t.lastRevision.revision == nil {
		return nil
	}
	return t.perform(now, t.core.Handle(now, t.lastRevision))
}

// Handle processes one message.
func (t *Limiter) Handle(now time.Time, message any) error {
	if m, ok := message.(registrar.Revised); ok {
		t.lastRevision = NewRevised(m.Revision())
		message = t.lastRevision
	}
	if m, ok := message.(Message); ok {
		return t.perform(now, t.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (t *Limiter) Tick(now time.Time) error { return t.perform(now, t.core.Tick(now)) }

func (t *Limiter) perform(now time.Time, actions []Action) error {
	for _, action := range actions {
		if err := t.performOne(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (t *Limiter) performOne(now time.Time, action Action) error {
	switch a := action.(type) {
	case Admit:
		return t.admit(now, a)
	case ForwardCancel:
		// A refusal is harmless: the request ends at its deadline.
		_ = t.config.Next.Put(router.NewAbandoned(a.request))
	case Refuse:
		return t.config.Refusals.PutWithin(context.Background(), a, refusalPutTimeout)
	case SendLend:
		if err := t.clients.lend(a.peer, a.address, a.lend); err != nil {
			return t.Handle(now, NewLendAnswered(a.peer, a.lend.Serial(), notice.Loans{}, err))
		}
	case SendHandOver:
		if err := t.clients.handOver(a.peer, a.address, a.handOver); err != nil {
			return t.Handle(now, NewHandOverAnswered(a.handOver.Role(), false))
		}
	case Reply:
		// A caller that has left needs no answer.
		_ = a.reply.Put(a.answer)
	case Append:
		t.appendClaim(a.record)
	case Drained:
		t.config.Drained()
	}
	return nil
}

// admit passes a request on. One that the usher cannot take keeps its tokens.
func (t *Limiter) admit(now time.Time, a Admit) error {
	if t.config.Next.Put(a.request) == nil {
		return nil
	}
	refuse := Refuse{request: a.request.ID(), refusal: errOverloaded, retryAfter: minRetryAfter}
	if err := t.config.Refusals.PutWithin(context.Background(), refuse, refusalPutTimeout); err != nil {
		return err
	}
	return t.Handle(now, NewRefund(a.request.Tenant(), a.request.Tokens()))
}

// append puts a claim into the log. One that is refused here is proposed again.
func (t *Limiter) appendClaim(record register.Record) {
	if err := t.config.Claims.Append(record); err != nil {
		t.config.Log.WithField("event", "claim_refused").WithError(err).Warn("claim not appended")
	}
}
