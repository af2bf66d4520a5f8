package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/resumption"
	"sesamewell.example/lobby/scheduler"
)

// newColdFixture returns a lobby that is alone and announced for long.
func newColdFixture(backends ...deployment.BackendConfig) *fixture {
	return newColdLobby("10.0.0.1:7000", []string{"10.0.0.1:7000"}, backends...)
}

// newColdLobby returns one of several lobbies that know each other for long. The backend
// servers of their services are cold for three seconds and tolerate 13 requests a second
// then, but for those of the service "never".
func newColdLobby(self string, all []string, backends ...deployment.BackendConfig) *fixture {
	f := &fixture{limiter: &fakeLimiter{remaining: 1000}, now: noon.Add(-time.Minute), origins: make(map[uint64]scheduler.Origin)}
	f.core = scheduler.NewCore(scheduler.CoreConfig{
		Domain: "d1", Regions: domainRegions, MinLobbies: 1, Stop: supervisor.NewStopSchedule(8 * time.Second), Limiter: f.limiter, Streams: resumption.New(), Quarantine: quarantine.New(quarantine.Config{}), Random: rand.New(rand.NewPCG(1, 1)),
		RetryBudget: scheduler.RetryBudgetConfig{Ratio: 0.2, Extra: 20, Window: 10 * time.Second},
		Cold:        scheduler.ColdConfig{Self: self, Overshoot: 1.5, Slack: 5},
	})
	f.core.Handle(f.now, scheduler.NewConfigurationChanged(coldConfiguration(1, nil)))
	f.list(backends...)
	for f.now.Before(noon) {
		f.core.Handle(f.now, scheduler.NewLobbiesListed(f.now, f.now, all))
		f.now = f.now.Add(6 * time.Second)
	}
	f.core.Handle(f.now, scheduler.NewLobbiesListed(f.now, f.now, all))
	return f
}

// coldConfiguration returns the configuration of newColdLobby. Requests may only run in the
// home regions, if there are any.
func coldConfiguration(version int64, homes []string) *deployment.Configuration {
	route := func(name, service string, kind deployment.RouteKind, timeout time.Duration) deployment.RouteConfig {
		return deployment.RouteConfig{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, LatencyObjective: 300 * time.Millisecond, MaxAttempts: 1, Open: true, Homes: homes, Shares: []deployment.ShareConfig{{Service: service, Weight: 1}}}
	}
	homed := route("homed", "plain", deployment.Unsafe, time.Second)
	homed.Homes = []string{"south"}
	engine := engineConfig()
	engine.Models[0].Adapters = 2
	return deployment.NewConfiguration(deployment.Config{
		Version: version,
		Routes:  []deployment.RouteConfig{route("short", "plain", deployment.Unsafe, time.Second), route("long", "plain", deployment.Unsafe, time.Minute), route("stream", "engine", deployment.Stream, time.Minute), route("never", "never", deployment.Unsafe, time.Minute), homed},
		Services: []deployment.ServiceConfig{
			{Name: "plain", MaxConnections: 10, ColdStart: 3 * time.Second, ColdRate: 13},
			{Name: "engine", MaxConnections: 10, ColdStart: 3 * time.Second, ColdRate: 13, Engine: engine},
			{Name: "never", MaxConnections: 10, ColdStart: 3 * time.Second},
		},
	})
}

// coldServer returns an entry of a backend server that was started some time before noon.
func coldServer(id string, age, remaining time.Duration) deployment.BackendConfig {
	config := plainServer(id)
	config.Slots, config.StartTime, config.ColdFor = 1000, noon.Add(-age).UnixMilli(), remaining
	return config
}

// sendsOf returns the number of requests that actions send.
func sendsOf(actions []scheduler.Action) int {
	n := 0
	for _, action := range actions {
		if _, ok := action.(scheduler.Send); ok {
			n++
		}
	}
	return n
}

// TestColdBackendServers guards against full load on a backend server that has just
// started, and against limits for those that run for long.
func TestColdBackendServers(t *testing.T) {
	with := func(config deployment.BackendConfig, change func(config *deployment.BackendConfig)) deployment.BackendConfig {
		change(&config)
		return config
	}
	cases := map[string]struct {
		first bool // on the first list, which the lobby reads at its start
		entry deployment.BackendConfig
		path  string
		want  int // of ten requests sent at once
	}{
		"runs for long, on the first list":      {first: true, entry: coldServer("p", time.Hour, 0), want: 10},
		"runs for long, listed again":           {entry: coldServer("p", time.Hour, 0), want: 10},
		"just started, says that it is warm":    {entry: coldServer("p", time.Second, 0), want: 1},
		"says that it is cold":                  {entry: coldServer("p", time.Hour, 2*time.Second), want: 1},
		"no start time, on the first list":      {first: true, entry: with(coldServer("p", 0, 0), func(b *deployment.BackendConfig) { b.StartTime = 0 }), want: 10},
		"no start time, listed now":             {entry: with(coldServer("p", 0, 0), func(b *deployment.BackendConfig) { b.StartTime = 0 }), want: 1},
		"start time in the future, listed now":  {entry: coldServer("p", -time.Hour, 0), want: 1},
		"a service whose servers are not cold":  {entry: with(coldServer("p", 0, time.Second), func(b *deployment.BackendConfig) { b.Service = "never" }), path: "/never/a", want: 10},
		"a service that is not in the settings": {entry: with(coldServer("p", 0, time.Second), func(b *deployment.BackendConfig) { b.Service = "other" })},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newColdFixture(coldServer("q", time.Hour, 0))
			if tc.first {
				f = newColdFixture(tc.entry)
			}
			f.list(tc.entry)
			if tc.path == "" {
				tc.path = "/long/a"
			}
			sent := 0
			for range 10 {
				sent += sendsOf(f.arrive(httpmeta.RequestConfig{Path: tc.path}))
			}
			if diff := cmp.Diff(tc.want, sent); diff != "" {
				t.Errorf("sent at once (-want +got):\n%s", diff)
			}
		})
	}
}

// TestColdTimeCountsFromNewReports guards against a list that repeats an entry, since
// others have changed, and so makes its backend server cold again.
func TestColdTimeCountsFromNewReports(t *testing.T) {
	cases := map[string]struct {
		revision int64 // of the entry that is listed again after six seconds
		want     int   // of ten requests sent at once
	}{
		"the same report": {revision: 1, want: 10},
		"another report":  {revision: 2, want: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newColdFixture(coldServer("q", time.Hour, 0))
			entry := coldServer("p", time.Hour, 2*time.Second)
			entry.Revision = 1
			f.list(entry)
			f.now = f.now.Add(6 * time.Second)
			entry.Revision = tc.revision
			f.list(entry)
			sent := 0
			for range 10 {
				sent += sendsOf(f.arrive(httpmeta.RequestConfig{Path: "/long/a"}))
			}
			if diff := cmp.Diff(tc.want, sent); diff != "" {
				t.Errorf("sent at once (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRequestsTakeTurnsAtColdServers guards against callers that wait for a turn which
// does not come in time, and against refusals while the only copies are cold.
func TestRequestsTakeTurnsAtColdServers(t *testing.T) {
	f := newColdFixture(coldServer("q", time.Hour, 0))
	f.list(coldServer("p", 0, 0))
	sent, refused := 0, 0
	count := func(actions []scheduler.Action) {
		sent += sendsOf(actions)
		for _, action := range actions {
			if refuse, ok := action.(scheduler.Refuse); ok {
				refused++
				if refuse.Status() != 503 || refuse.RetryAfter() < 300*time.Millisecond || refuse.RetryAfter() > 6*time.Second {
					t.Errorf("refused with %d until %v later", refuse.Status(), refuse.RetryAfter())
				}
			}
		}
	}
	for range 40 {
		count(f.arrive(httpmeta.RequestConfig{Path: "/short/a"}))
	}
	atOnce := refused
	for range 14 {
		f.now = f.now.Add(50 * time.Millisecond)
		count(f.core.Tick(f.now))
	}
	if sent < 7 || sent > 11 {
		t.Errorf("%d requests sent in 0.7 s, want about 9", sent)
	}
	if atOnce < 28 || sent+refused != 40 {
		t.Errorf("%d refused at once, %d sent and %d refused of 40", atOnce, sent, refused)
	}
}

// TestWarmServersElsewhereDoNotShortenTheWait guards against requests that wait in vain for
// a turn at the cold backend servers of their home region, since others elsewhere are warm.
func TestWarmServersElsewhereDoNotShortenTheWait(t *testing.T) {
	warm := coldServer("q", time.Hour, 0)
	f := newColdFixture(warm)
	f.list(warm, in("d2", coldServer("p", 0, 0)))
	atOnce := 0
	for range 40 {
		for _, action := range f.arrive(httpmeta.RequestConfig{Path: "/homed/a"}) {
			if _, ok := action.(scheduler.Refuse); ok {
				atOnce++
			}
		}
	}
	if atOnce < 28 {
		t.Errorf("%d of 40 refused at once, want 28 at least", atOnce)
	}
}

// TestWarmServersPrecedeColdOnes guards against turns of cold backend servers that are
// spent on what others can run.
func TestWarmServersPrecedeColdOnes(t *testing.T) {
	f := newColdFixture(coldServer("p1", time.Hour, 0))
	f.list(coldServer("p1", time.Hour, 0), coldServer("p2", 0, 0))
	checkActions(t, "first request", []string{"send p1"}, f.arrive(httpmeta.RequestConfig{Path: "/long/a"}))
	checkActions(t, "second request", []string{"send p2"}, f.arrive(httpmeta.RequestConfig{Path: "/long/a"}))
	checkActions(t, "third request", []string{"send p1"}, f.arrive(httpmeta.RequestConfig{Path: "/long/a"}))
}

// TestAdaptersThatArriveTogetherTakeTurns guards against requests that waited for their
// adapters and reach a cold backend server at the same time.
func TestAdaptersThatArriveTogetherTakeTurns(t *testing.T) {
	f := newColdFixture(coldServer("q", time.Hour, 0))
	entry := engineServer("e1")
	entry.StartTime = noon.UnixMilli()
	f.list(coldServer("q", time.Hour, 0), entry)
	var fetches []scheduler.Fetch
	for _, adapter := range []string{"a1", "a2"} {
		for _, action := range f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Adapter: adapter}) {
			if fetch, ok := action.(scheduler.Fetch); ok {
				fetches = append(fetches, fetch)
			}
		}
	}
	var sent []int
	for _, fetch := range fetches {
		sent = append(sent, sendsOf(f.core.Handle(f.now, scheduler.NewFetchEnded(fetch, time.Minute))))
	}
	f.now = f.now.Add(100 * time.Millisecond)
	sent = append(sent, sendsOf(f.core.Tick(f.now)))
	if diff := cmp.Diff([]int{1, 0, 1}, sent); diff != "" {
		t.Errorf("sent when the adapters arrive, and a tick later (-want +got):\n%s", diff)
	}
}

// TestAdaptersOfEarlierStartAreNotUsed guards against requests that waited for their
// adapters and are sent without limits to a backend server that has started again, since
// they are counted at its earlier start.
func TestAdaptersOfEarlierStartAreNotUsed(t *testing.T) {
	entry := engineServer("e1")
	entry.StartTime = noon.Add(-time.Hour).UnixMilli()
	f := newColdFixture(entry)
	var fetches []scheduler.Fetch
	for _, adapter := range []string{"a1", "a2"} {
		for _, action := range f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Adapter: adapter}) {
			if fetch, ok := action.(scheduler.Fetch); ok {
				fetches = append(fetches, fetch)
			}
		}
	}
	entry.StartTime = noon.UnixMilli()
	f.list(entry)
	var sent []int
	for len(fetches) > 0 {
		actions := f.core.Handle(f.now, scheduler.NewFetchEnded(fetches[0], time.Minute))
		sent, fetches = append(sent, sendsOf(actions)), fetches[1:]
		for _, action := range actions {
			if fetch, ok := action.(scheduler.Fetch); ok {
				fetches = append(fetches, fetch)
			}
		}
	}
	if diff := cmp.Diff([]int{0, 0, 1, 0}, sent); diff != "" {
		t.Errorf("sent when the adapters arrive at the earlier start, and at the later one (-want +got):\n%s", diff)
	}
}

// TestStartingLobbyIsCautious guards against a lobby that takes others' shares before it
// knows them.
func TestStartingLobbyIsCautious(t *testing.T) {
	f := newFixture()
	f.core.Handle(f.now, scheduler.NewConfigurationChanged(deployment.NewConfiguration(deployment.Config{
		Routes:   []deployment.RouteConfig{{Name: "long", Host: "h", Prefix: "/long/", Timeout: time.Minute, MaxAttempts: 1, Shares: []deployment.ShareConfig{{Service: "plain", Weight: 1}}}},
		Services: []deployment.ServiceConfig{{Name: "plain", MaxConnections: 10, ColdStart: 3 * time.Second, ColdRate: 13}},
	})))
	f.list(coldServer("p", 0, 0))
	if sent := sendsOf(f.arrive(httpmeta.RequestConfig{Path: "/long/a"})); sent != 0 {
		t.Errorf("%d requests sent before the list of lobbies is known", sent)
	}
}

// TestDomainThatReturnsColdIsNotOverrun guards against the load of all callers on the
// backend servers of a failure domain that returns to service, which hold the only copies.
func TestDomainThatReturnsColdIsNotOverrun(t *testing.T) {
	const servers, rate, bound = 6, 13, 24
	for name, lobbies := range map[string]int{"one lobby": 1, "8 lobbies": 8, "25 lobbies": 25} {
		t.Run(name, func(t *testing.T) {
			var all []string
			for i := range lobbies {
				all = append(all, fmt.Sprintf("10.0.0.%d:7000", i))
			}
			var entries []deployment.BackendConfig
			for i := range servers {
				entries = append(entries, coldServer(fmt.Sprint("p", i), 0, 3*time.Second))
			}
			var fleet []*fixture
			for _, self := range all {
				f := newColdLobby(self, all, coldServer("q", time.Hour, 0))
				f.list(entries...)
				fleet = append(fleet, f)
			}
			arrivals := make(map[string][]time.Duration)
			total := 0
			for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
				for _, f := range fleet {
					f.now = noon.Add(at)
					actions := f.core.Tick(f.now)
					for range 1 + 40/lobbies {
						actions = append(actions, f.arrive(httpmeta.RequestConfig{Path: "/long/a"})...)
					}
					for _, action := range actions {
						if send, ok := action.(scheduler.Send); ok {
							total++
							arrivals[send.Forwarding().Backend()] = append(arrivals[send.Forwarding().Backend()], at)
							f.core.Handle(f.now, scheduler.NewSendEnded(send.Number(), scheduler.Complete, 200))
						}
					}
				}
			}
			for id, times := range arrivals {
				for i := range times {
					if i+bound < len(times) && times[i+bound]-times[i] < time.Second {
						t.Errorf("more than %d requests reach %s in the second from %v on", bound, id, times[i])
						break
					}
				}
			}
			if least := servers * rate * 3 / 2; total < least {
				t.Errorf("%d requests sent while cold, want %d at least", total, least)
			}
		})
	}
}

// TestTurnsGoToThoseThatWait guards against requests that arrive at the right moment and
// take the turns of those that were told to wait.
func TestTurnsGoToThoseThatWait(t *testing.T) {
	f := newColdFixture(coldServer("q", time.Hour, 0))
	f.list(coldServer("p", 0, 0))
	f.arrive(httpmeta.RequestConfig{Path: "/long/a"})
	f.arrive(httpmeta.RequestConfig{Path: "/long/a"})
	f.now = f.now.Add(90 * time.Millisecond)
	checkActions(t, "a request that has just arrived", nil, f.arrive(httpmeta.RequestConfig{Path: "/long/a"}))
	var sent []uint64
	for _, action := range f.core.Tick(f.now) {
		if send, ok := action.(scheduler.Send); ok {
			sent = append(sent, send.Number())
		}
	}
	if diff := cmp.Diff([]uint64{2}, sent); diff != "" {
		t.Errorf("sent at the next look at the queue (-want +got):\n%s", diff)
	}
}

// TestConfigurationAfterListMakesNoServerCold guards against a restarted lobby that takes
// backend servers which run for long for cold ones, since it has read their list before
// the configuration and can't rely on their start times.
func TestConfigurationAfterListMakesNoServerCold(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration // of the backend server by this lobby's time of day
		born bool          // the entry states its start time
	}{
		"no start time":               {},
		"clock of this lobby is late": {age: -time.Minute, born: true},
		"runs for long":               {age: time.Hour, born: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			entry := coldServer("p", tc.age, 0)
			if !tc.born {
				entry.StartTime = 0
			}
			f.list(entry)
			f.now = f.now.Add(time.Second)
			f.core.Handle(f.now, scheduler.NewConfigurationChanged(deployment.NewConfiguration(deployment.Config{
				Version:  2,
				Routes:   []deployment.RouteConfig{{Name: "long", Host: "h", Prefix: "/long/", Timeout: time.Minute, MaxAttempts: 1, Open: true, Shares: []deployment.ShareConfig{{Service: "plain", Weight: 1}}}},
				Services: []deployment.ServiceConfig{{Name: "plain", MaxConnections: 10, ColdStart: 3 * time.Second, ColdRate: 13}},
			})))
			checkActions(t, "request", []string{"send p"}, f.arrive(httpmeta.RequestConfig{Path: "/long/a"}))
		})
	}
}

// TestDeferredRequestKeepsItsTurn guards against turns that are lost to requests which no
// connection was free for in time, and against two requests in one turn.
func TestDeferredRequestKeepsItsTurn(t *testing.T) {
	f := newColdFixture(coldServer("q", time.Hour, 0))
	f.list(coldServer("p", 0, 0))
	for _, action := range f.arrive(httpmeta.RequestConfig{Path: "/long/a"}) {
		if send, ok := action.(scheduler.Send); ok && send.SendBefore().IsZero() {
			t.Error("the request to a cold backend server may be sent at any time")
		}
	}
	f.now = f.now.Add(20 * time.Millisecond)
	checkActions(t, "deferred", []string{"send p"}, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Deferred, 0)))
	checkActions(t, "another request", nil, f.arrive(httpmeta.RequestConfig{Path: "/long/a"}))
	f.now = f.now.Add(100 * time.Millisecond)
	checkActions(t, "next turn", []string{"send p"}, f.core.Tick(f.now))
	checkActions(t, "the first one is deferred after that", nil, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Deferred, 0)))
}

// TestWaitingRequestsAreTakenBackFromColdServer guards against requests that were sent to
// a warm backend server, wait for a connection and reach it when it has become cold.
func TestWaitingRequestsAreTakenBackFromColdServer(t *testing.T) {
	f := newColdFixture(coldServer("p", time.Hour, 0))
	for _, action := range f.arrive(httpmeta.RequestConfig{Path: "/long/a"}) {
		if send, ok := action.(scheduler.Send); ok && !send.SendBefore().IsZero() {
			t.Error("the time in which to send to a warm backend server is limited")
		}
	}
	var returned []string
	look := func() {
		for _, action := range f.core.Tick(f.now) {
			if r, ok := action.(scheduler.ReturnWaiting); ok {
				returned = append(returned, r.Backend())
			}
		}
	}
	look()
	f.list(coldServer("p", time.Hour, 2*time.Second))
	look()
	look()
	if diff := cmp.Diff([]string{"p"}, returned); diff != "" {
		t.Errorf("taken back from (-want +got):\n%s", diff)
	}
}

// TestColdServersAtHomeDecide guards against requests that queue for cold backend servers in
// their home regions, or are asked to return too early, since a warm one in another region
// could run them.
func TestColdServersAtHomeDecide(t *testing.T) {
	decisions := func(backends ...deployment.BackendConfig) []string {
		f := newColdFixture(coldServer("q", time.Hour, 0))
		f.core.Handle(f.now, scheduler.NewConfigurationChanged(coldConfiguration(2, []string{"north"})))
		f.list(backends...)
		f.core.Tick(f.now)
		var lines []string
		for range 100 {
			actions := f.arrive(httpmeta.RequestConfig{Path: "/short/a"})
			lines = append(lines, describe(actions)...)
			for _, action := range actions {
				if refuse, ok := action.(scheduler.Refuse); ok {
					lines = append(lines, refuse.RetryAfter().String())
				}
			}
		}
		return lines
	}
	atHome, elsewhere := coldServer("p1", 0, 3*time.Second), in("d2", coldServer("p2", time.Hour, 0))
	want := decisions(atHome)
	if len(want) < 100 {
		t.Errorf("decided at once: %q, want most refused", want)
	}
	if diff := cmp.Diff(want, decisions(atHome, elsewhere)); diff != "" {
		t.Errorf("decisions with a warm backend server in another region (-without +with):\n%s", diff)
	}
}

// BenchmarkTickWithColdServers measures a tick while requests wait for their turns at cold
// backend servers.
func BenchmarkTickWithColdServers(b *testing.B) {
	for _, servers := range []int{50, 600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := newColdFixture(coldServer("q", time.Hour, 0))
			f.limiter.remaining = 1 << 30
			var list []deployment.BackendConfig
			for i := range servers {
				list = append(list, coldServer(fmt.Sprint("p", i), 0, 0))
			}
			f.list(list...)
			for range 6000 {
				f.arrive(httpmeta.RequestConfig{Path: "/long/a"})
			}
			for b.Loop() {
				f.core.Tick(f.now)
			}
		})
	}
}
