package treasurer

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
const gateHandOver = 5 * time.Second

// Usher routes the requests that are admitted.
type Usher interface {
	Put(message router.Message) error
}

// Gate receives Refuse actions.
type Gate interface {
	PutWithin(ctx context.Context, item any, limit time.Duration) error
}

// Scribe appends claims to the log.
type Scribe interface {
	Append(record register.Record) error
}

// Config holds the construction parameters of a Treasurer.
type Config struct {
	Core     CoreConfig // Incarnation is set by the duty
	Capacity int        // messages in the inbox
	Usher    Usher
	Gate     Gate
	Scribe   Scribe
	Identity *porter.Identity
	Drained  func() // called once, when a drain has ended
	Log      *logrus.Entry
}

// Treasurer is responsible for running the core on its own thread and carrying
// out its actions.
type Treasurer struct {
	config  Config
	inbox   *ring.Ring
	peers   *peers
	core    *Core
	revised Revised
}

// New returns a treasurer.
func New(config Config) *Treasurer {
	t := &Treasurer{
		config: config,
		inbox:  ring.New(ring.Config{Name: "treasurer", Capacity: config.Capacity}),
	}
	t.peers = newPeers(config, t)
	return t
}

// Inbox returns the ring that feeds the treasurer.
func (t *Treasurer) Inbox() *ring.Ring { return t.inbox }

// Attach sets the receiver of admitted requests, before the treasurer is
// served.
func (t *Treasurer) Attach(router Usher) { t.config.Usher = router }

// Put takes a request of the gate, or the news that its caller has left,
// without blocking.
func (t *Treasurer) Put(message router.Message) error {
	switch m := message.(type) {
	case router.Request:
		return t.Offer(NewAsk(m))
	case router.Abandoned:
		return t.Offer(NewLeave(m.RequestID()))
	}
	return t.config.Usher.Put(message)
}

// Refund returns the tokens that an admitted request did not use. Those that
// find the inbox full count as used.
func (t *Treasurer) Refund(tenant string, tokens int64) { _ = t.Offer(NewRefund(tenant, tokens)) }

// Offer offers a message without blocking.
func (t *Treasurer) Offer(message Message) error { return t.inbox.Put(message) }

// Drain asks the treasurer to hand over what it holds.
func (t *Treasurer) Drain(ctx context.Context, limit time.Duration) error {
	return t.PutWithin(ctx, Drain{}, limit)
}

// PutWithin offers a message and parks up to limit while the inbox is full.
func (t *Treasurer) PutWithin(ctx context.Context, message Message, limit time.Duration) error {
	return t.inbox.PutWithin(ctx, message, limit)
}

// Services returns the threads, to be added to a crew.
func (t *Treasurer) Services() []crew.Service {
	duty := crew.NewDuty(crew.DutyConfig{Name: "treasurer", Inbox: t.inbox, Handler: t, Period: tickPeriod})
	return []crew.Service{duty, t.peers}
}

// Start builds the core anew, as a new incarnation, from the last revision.
// What an earlier core held expires by itself.
func (t *Treasurer) Start(now time.Time) error {
	config := t.config.Core
	config.Incarnation = config.Instance + "/" + uuid.NewString()
	t.core = NewCore(config)
	if t.revised.revision == nil {
		return nil
	}
	return t.carryOut(now, t.core.Handle(now, t.revised))
}

// Handle processes one message.
func (t *Treasurer) Handle(now time.Time, message any) error {
	if m, ok := message.(registrar.Revised); ok {
		t.revised = NewRevised(m.Revision())
		message = t.revised
	}
	if m, ok := message.(Message); ok {
		return t.carryOut(now, t.core.Handle(now, m))
	}
	return nil
}

// Tick does what is due by time alone.
func (t *Treasurer) Tick(now time.Time) error { return t.carryOut(now, t.core.Tick(now)) }

func (t *Treasurer) carryOut(now time.Time, actions []Action) error {
	for _, action := range actions {
		if err := t.act(now, action); err != nil {
			return err
		}
	}
	return nil
}

func (t *Treasurer) act(now time.Time, action Action) error {
	switch a := action.(type) {
	case Admit:
		return t.admit(now, a)
	case PassLeave:
		// A refusal is harmless: the request ends at its deadline.
		_ = t.config.Usher.Put(router.NewAbandoned(a.request))
	case Refuse:
		return t.config.Gate.PutWithin(context.Background(), a, gateHandOver)
	case Call:
		if err := t.peers.lend(a.peer, a.address, a.lend); err != nil {
			return t.Handle(now, NewLent(a.peer, a.lend.Serial(), notice.Loans{}, err))
		}
	case Pass:
		if err := t.peers.handOver(a.peer, a.address, a.handOver); err != nil {
			return t.Handle(now, NewHandedOver(a.handOver.Role(), false))
		}
	case Reply:
		// A caller that has left needs no answer.
		_ = a.reply.Put(a.answer)
	case Append:
		t.append(a.record)
	case Drained:
		t.config.Drained()
	}
	return nil
}

// admit passes a request on. One that the usher cannot take keeps its tokens.
func (t *Treasurer) admit(now time.Time, a Admit) error {
	if t.config.Usher.Put(a.ask) == nil {
		return nil
	}
	refuse := Refuse{request: a.ask.ID(), refusal: errOverloaded, retryAfter: minWait}
	if err := t.config.Gate.PutWithin(context.Background(), refuse, gateHandOver); err != nil {
		return err
	}
	return t.Handle(now, NewRefund(a.ask.Tenant(), a.ask.Tokens()))
}

// append puts a claim into the log. One that is refused here is proposed again.
func (t *Treasurer) append(record register.Record) {
	if err := t.config.Scribe.Append(record); err != nil {
		t.config.Log.WithField("event", "claim_refused").WithError(err).Warn("claim not appended")
	}
}
