package scheduler

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/ring"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/quarantine"
)

// Proxy executes actions on the connections of callers and backend servers.
type Proxy interface {
	Put(action any) error
}

// Fetcher requests adapters from keepers.
type Fetcher interface {
	Fetch(fetch Fetch) error
}

// Broadcaster sends this lobby's digest to the other lobbies.
type Broadcaster interface {
	Broadcast(digest Broadcast) error
}

// Config holds the construction parameters of a Scheduler.
type Config struct {
	Core        CoreConfig
	Capacity    int // capacity of the inbox in messages
	Proxy       Proxy
	Fetcher     Fetcher
	Broadcaster Broadcaster

	Log *logrus.Entry
}

// Scheduler runs the Core on its own thread and executes its actions.
type Scheduler struct {
	config Config
	inbox  *ring.Ring
	core   *Core
	stats  *stats
	ready  atomic.Bool
	open   atomic.Int64
}

// New returns a Scheduler. Unless config contains the proxy, the fetcher and the
// broadcaster, Attach must be called before the scheduler runs.
func New(config Config) *Scheduler {
	s := &Scheduler{
		config: config,
		inbox:  ring.New(ring.Config{Name: "steward", Capacity: config.Capacity}),
		core:   NewCore(config.Core),
		stats:  newStats(),
	}
	registerGauges(s.Open, s.Ready)
	return s
}

// Inbox returns the ring that takes messages for the scheduler.
func (s *Scheduler) Inbox() *ring.Ring { return s.inbox }

// Attach sets the components that execute the scheduler's actions. It must be
// called before the scheduler runs.
func (s *Scheduler) Attach(proxy Proxy, fetcher Fetcher, broadcaster Broadcaster) {
	s.config.Proxy, s.config.Fetcher, s.config.Broadcaster = proxy, fetcher, broadcaster
}

// Ready reports whether the process accepts callers' connections. It is safe to
// call from any thread.
func (s *Scheduler) Ready() bool { return s.ready.Load() }

// Open returns the number of requests that have not been completely answered.
// It is safe to call from any thread.
func (s *Scheduler) Open() int { return int(s.open.Load()) }

// EventLoop returns the scheduler's thread, to be added to a supervisor.
func (s *Scheduler) EventLoop() *supervisor.EventLoop {
	return supervisor.NewEventLoop(supervisor.EventLoopConfig{Name: "steward", Inbox: s.inbox, Handler: s, Period: tickPeriod})
}

// Start does nothing: open requests survive a restart of the thread.
func (s *Scheduler) Start(time.Time) error { return nil }

// Handle processes one message. It ignores values that are not a Message.
func (s *Scheduler) Handle(now time.Time, message any) error {
	if m, ok := message.(Message); ok {
		return s.execute(s.core.Handle(now, m))
	}
	return nil
}

// Tick executes the actions that are due without a message.
func (s *Scheduler) Tick(now time.Time) error { return s.execute(s.core.Tick(now)) }

func (s *Scheduler) execute(actions []Action) error {
	s.ready.Store(s.core.Ready())
	s.open.Store(int64(s.core.Open()))
	for _, action := range actions {
		if err := s.executeAction(action); err != nil {
			return err
		}
	}
	return nil
}

// executeAction passes an action to the component that executes it, and updates
// log and metrics.
func (s *Scheduler) executeAction(action Action) error {
	switch a := action.(type) {
	case Fetch:
		s.stats.fetches.Inc()
		return s.config.Fetcher.Fetch(a)
	case Broadcast:
		return s.config.Broadcaster.Broadcast(a)
	case Send:
		s.config.Log.WithFields(logrus.Fields{
			"event": "sent", "request": a.Request().ID(), "backend": a.Forwarding().Backend(), "tenant": a.Forwarding().Tenant(), "model": a.Request().Model(),
			"adapter": a.Request().Adapter(), "waited": time.Since(a.Request().Arrived()),
		}).Info("request sent")
		return s.config.Proxy.Put(a)
	case RecordSend:
		s.stats.sendEnded(a)

		log := s.config.Log
		if a.Disconnected() {
			log = log.WithFields(contentFields(a.Request()))
		}
		log.WithFields(logrus.Fields{
			"event": "ended", "request": a.Request().ID(), "backend": a.Backend(), "result": a.Result(), "status": a.Status(),
			"waited": a.Waited(), "first": a.FirstEvent(), "pause": a.LongestPause(), "took": a.Took(),
		}).Log(recordLevel(a), "send ended")
		return nil
	case RecordHold:
		s.recordHold(a)
		return nil
	case RecordLeaving:
		s.config.Log.WithFields(logrus.Fields{"event": "backend_leaving", "backend": a.backend, "source": a.source, "list_age": a.listAge}).Info("backend server leaves: no new requests")
		return nil
	case RecordQuarantine:
		s.recordQuarantine(a.Change())
		return nil
	case Refuse:
		s.stats.refusals[a.Cause()].Inc()

		s.logRefusal(a)
		return s.config.Proxy.Put(a)
	default:
		return s.config.Proxy.Put(a)
	}
}

// recordHold logs that a backend server is held, or that its hold ends.
func (s *Scheduler) recordHold(a RecordHold) {
	log := s.config.Log.WithFields(logrus.Fields{"event": "hold", "backend": a.backend, "asked": a.asked, "until": a.until})
	switch {
	case a.ended:
		log.WithField("event", "hold_ended").Info("requests return to the backend server a few at a time")
	case a.asked > maxHold:
		log.Warn("backend server refused a request and asks for an absurdly long time without others: shortened")
	default:
		log.Info("backend server refused a request and wants no others for a time")
	}
}

// recordQuarantine logs that a suspect was quarantined or released.
func (s *Scheduler) recordQuarantine(change quarantine.Change) {
	fields := logrus.Fields{
		"event": "released", "kind": change.Suspect().Kind(), "suspect": change.Suspect().ID(), "crashes": change.Events(), "last_crash": change.LastCrash(), "until": change.Until(),
	}
	if !change.Quarantined() {
		s.config.Log.WithFields(fields).Info("suspect released: it was answered, or its crashes are long ago or explained by another suspect")
		return
	}
	fields["event"] = "quarantined"
	s.stats.quarantines.Inc()
	s.config.Log.WithFields(fields).Warn("suspect quarantined: backend servers closed their connections before they answered it")
}

// contentFields returns log fields that identify a request's content: its fingerprint
// and the IDs of its prompt's parts.
func contentFields(request *httpmeta.Request) logrus.Fields {
	ids := make([]string, 0, len(request.Parts()))
	for _, part := range request.Parts() {
		ids = append(ids, part.ID())
	}
	return logrus.Fields{"fingerprint": request.Fingerprint(), "parts": strings.Join(ids, ",")}
}

func (s *Scheduler) logRefusal(r Refuse) {
	log := s.config.Log
	if r.Cause() == quarantined {
		log = log.WithFields(contentFields(r.Request()))
	}
	log.WithFields(logrus.Fields{
		"event": "refused", "request": r.Request().ID(), "cause": r.Cause(), "status": r.Status(), "model": r.Request().Model(),
		"adapter": r.Request().Adapter(), "retry_after": r.RetryAfter(),
		"waited": r.Waited(), "holders": r.Holders(), "waiting": r.Queued(), "list_age": r.ListAge(),
	}).Warn("request refused")
}

// recordLevel returns the log level for the end of a send. Failures are
// warnings, so that they are kept when lower levels are dropped.
func recordLevel(r RecordSend) logrus.Level {
	if r.Result() == Complete {
		return logrus.InfoLevel
	}
	return logrus.WarnLevel
}
