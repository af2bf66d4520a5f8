package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/commons/testkit"
	"sesamewell.example/lobby/resumption"
	"sesamewell.example/lobby/scheduler"
)

// fullProxy is a proxy whose inbox is full for a number of attempts.
type fullProxy struct {
	full     int
	received []uint64 // numbers of the refused requests
}

func (p *fullProxy) Put(action any) error {
	if p.full > 0 {
		p.full--
		return errors.New("full")
	}
	if refuse, ok := action.(scheduler.Refuse); ok {
		p.received = append(p.received, refuse.Number())
	}
	return nil
}

// noPeers is a broadcaster whose inbox is always full.
type noPeers struct{}

func (noPeers) Broadcast(scheduler.Broadcast) error { return errors.New("full") }

// noJournal is a Journal that saves nothing.
type noJournal struct{}

func (noJournal) Save(protocol.StreamsSave) {}

// TestFullInboxLosesNoAction refuses requests while the inbox of the proxy is full. The
// thread ended with the first action that was not taken, and the others were lost: their
// callers got no answer.
func TestFullInboxLosesNoAction(t *testing.T) {
	cases := map[string]int{"never full": 0, "full once": 1, "full for a while": 7}
	for name, full := range cases {
		t.Run(name, func(t *testing.T) {
			proxy := &fullProxy{full: full}
			s := scheduler.New(scheduler.Config{
				Core:     scheduler.CoreConfig{Limiter: &fakeLimiter{}, Streams: resumption.New(), Quarantine: quarantine.New(quarantine.Config{}), Random: rand.New(rand.NewPCG(1, 1))},
				Capacity: 16, Proxy: proxy, Broadcaster: noPeers{}, Journal: noJournal{}, Log: testkit.DiscardLog(),
			})
			now := noon
			var want []uint64
			for number := range uint64(5) {
				request := httpmeta.NewRequest(httpmeta.RequestConfig{Host: "h", Path: "/safe/a", Arrived: now})
				if err := s.Handle(now, scheduler.NewArrived(number, request)); err != nil {
					t.Fatal(err)
				}
				want = append(want, number)
			}
			for range 10 {
				now = now.Add(time.Second)
				if err := s.Tick(now); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(want, proxy.received); diff != "" {
				t.Errorf("refusals in their order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRecordsOfEvacuationsAreForTheLogOnly guards against records that take room in the
// inbox of the proxy, which has no use for them.
func TestRecordsOfEvacuationsAreForTheLogOnly(t *testing.T) {
	proxy := &countingProxy{}
	s := scheduler.New(scheduler.Config{
		Core:     scheduler.CoreConfig{Limiter: &fakeLimiter{}, Streams: resumption.New(), Quarantine: quarantine.New(quarantine.Config{}), Random: rand.New(rand.NewPCG(1, 1))},
		Capacity: 16, Proxy: proxy, Broadcaster: noPeers{}, Journal: noJournal{}, Log: testkit.DiscardLog(),
	})
	evacuations := deployment.NewEvacuations(deployment.EvacuationsConfig{Through: 2, Offsets: map[string]int64{"d1": 1}})
	changed := scheduler.NewEvacuationsChanged(scheduler.EvacuationsChangedConfig{Evacuations: evacuations, Begun: []string{"d1"}})
	for _, message := range []scheduler.Message{scheduler.NewBackendsChanged(noon, nil), changed} {
		if err := s.Handle(noon, message); err != nil {
			t.Fatal(err)
		}
	}
	if proxy.actions != 0 {
		t.Errorf("%d actions passed to the proxy, want none", proxy.actions)
	}
}

// countingProxy counts the actions that it gets.
type countingProxy struct{ actions int }

func (p *countingProxy) Put(any) error {
	p.actions++
	return nil
}

// sentTo is a proxy that records the backend servers to which requests are sent.
type sentTo struct{ backends []string }

func (p *sentTo) Put(action any) error {
	if send, ok := action.(scheduler.Send); ok {
		p.backends = append(p.backends, send.Forwarding().Backend())
	}
	return nil
}

// TestRefusalsInAPauseAreHeardFirst stops a lobby while a backend server says that it wants
// no requests. It guards against the requests that callers have sent meanwhile and that are
// read before that.
func TestRefusalsInAPauseAreHeardFirst(t *testing.T) {
	e1 := scheduler.NewOrigin("e1", 0)
	cases := map[string]struct {
		pause time.Duration
		said  scheduler.Message
		want  []string
	}{
		"refusal":       {pause: 2 * time.Second, said: scheduler.NewBackendRefusing(e1, time.Minute), want: []string{"e1"}},
		"leaving":       {pause: 2 * time.Second, said: scheduler.NewBackendLeaving(e1), want: []string{"e1"}},
		"nothing":       {pause: 2 * time.Second, said: scheduler.NewLobbyCountChanged(1), want: []string{"e1", "e1", "e1"}},
		"without pause": {pause: 40 * time.Millisecond, said: scheduler.NewBackendLeaving(e1), want: []string{"e1", "e1", "e1"}},
		"stop":          {pause: 2 * time.Second, said: scheduler.Closing{}, want: []string{"e1", "e1", "e1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f, proxy := newFixture(), &sentTo{}
			s := scheduler.New(scheduler.Config{Core: f.config, Capacity: 16, Proxy: proxy, Broadcaster: noPeers{}, Journal: noJournal{}, Log: testkit.DiscardLog()})
			now, number := noon, uint64(0)
			handle := func(message scheduler.Message) {
				t.Helper()
				if err := s.Handle(now, message); err != nil {
					t.Fatal(err)
				}
			}
			arrive := func() {
				number++
				handle(scheduler.NewArrived(number, httpmeta.NewRequest(httpmeta.RequestConfig{Host: "h", Path: "/stream/a", Model: "m", APIKey: "k", Arrived: now})))
			}
			handle(scheduler.NewConfigurationChanged(fixtureConfiguration()))
			handle(scheduler.NewBackendsChanged(noon, []deployment.Backend{deployment.NewBackend(engineServer("e1"))}))
			arrive()
			now = now.Add(tc.pause)
			arrive()
			arrive()
			handle(tc.said)
			for range 10 {
				now = now.Add(50 * time.Millisecond)
				if err := s.Tick(now); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(tc.want, proxy.backends); diff != "" {
				t.Errorf("sent to (-want +got):\n%s", diff)
			}
		})
	}
}
