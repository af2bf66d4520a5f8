package scheduler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// evacuate puts the evacuation of the given failure domains, and of no others, in force.
func (f *fixture) evacuate(domains ...string) []scheduler.Action {
	offsets := make(map[string]int64)
	for i, domain := range domains {
		offsets[domain] = int64(i)
	}
	evacuations := deployment.NewEvacuations(deployment.EvacuationsConfig{Through: 9, Offsets: offsets})
	return f.core.Handle(f.now, scheduler.NewEvacuationsChanged(scheduler.EvacuationsChangedConfig{Evacuations: evacuations, Begun: domains, Source: "store"}))
}

// in returns a backend server in another failure domain.
func in(domain string, config deployment.BackendConfig) deployment.BackendConfig {
	config.Domain = domain
	return config
}

// TestEvacuatedServersGetNoNewRequests guards against a request, a retry or a resumed
// stream that reaches a backend server in an evacuated failure domain.
func TestEvacuatedServersGetNoNewRequests(t *testing.T) {
	cases := map[string]struct {
		servers   []deployment.BackendConfig
		evacuated []string
		path      string
		end       *scheduler.SendEnded // end of a send to e2 or p2 that was under way, if any
		want      []string
	}{
		"a plain service":             {servers: []deployment.BackendConfig{plainServer("p1"), in("d2", plainServer("p2"))}, evacuated: []string{"d1"}, path: "/safe/a", want: []string{"send p2"}},
		"an engine":                   {servers: []deployment.BackendConfig{engineServer("e1"), in("d2", engineServer("e2"))}, evacuated: []string{"d1"}, path: "/stream/a", want: []string{"send e2"}},
		"several domains":             {servers: []deployment.BackendConfig{plainServer("p1"), in("d2", plainServer("p2")), in("d3", plainServer("p3"))}, evacuated: []string{"d1", "d2"}, path: "/safe/a", want: []string{"send p3"}},
		"domain without servers":      {servers: []deployment.BackendConfig{plainServer("p1")}, evacuated: []string{"nowhere"}, path: "/safe/a", want: []string{"send p1"}},
		"nothing else is left":        {servers: []deployment.BackendConfig{plainServer("p1")}, evacuated: []string{"d1"}, path: "/safe/a", want: []string{"refuse 503 no_backend"}},
		"no engine is left":           {servers: []deployment.BackendConfig{engineServer("e1")}, evacuated: []string{"d1"}, path: "/stream/a", want: []string{"refuse 503 no_backend"}},
		"the rest leaves":             {servers: []deployment.BackendConfig{plainServer("p1"), in("d2", leavingServer("p2"))}, evacuated: []string{"d1"}, path: "/safe/a", want: []string{"refuse 503 no_backend"}},
		"model is loaded there only":  {servers: []deployment.BackendConfig{engineServer("e1"), in("d2", emptyEngine("e2", "m"))}, evacuated: []string{"d1"}, path: "/resumable/a", want: nil},
		"model cannot be had in time": {servers: []deployment.BackendConfig{engineServer("e1"), in("d2", emptyEngine("e2"))}, evacuated: []string{"d1"}, path: "/stream/a", want: []string{"refuse 503 no_backend"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(tc.servers...)
			f.evacuate(tc.evacuated...)
			checkActions(t, "request", tc.want, f.arrive(httpmeta.RequestConfig{Path: tc.path, Model: modelFor(tc.servers[0])}))
			f.list(tc.servers...)
			checkActions(t, "request after another list", tc.want, f.arrive(httpmeta.RequestConfig{Path: tc.path, Model: modelFor(tc.servers[0])}))
		})
	}
}

func leavingServer(id string) deployment.BackendConfig {
	config := plainServer(id)
	config.Leaving = true
	return config
}

// modelFor returns the model of requests to a backend server, none if it is no engine.
func modelFor(config deployment.BackendConfig) string {
	if config.Service == "plain" {
		return ""
	}
	return "m"
}

// TestRetriesAvoidEvacuatedServers guards against a retry or a resumed stream that goes to
// a failure domain that was evacuated while the first attempt ran.
func TestRetriesAvoidEvacuatedServers(t *testing.T) {
	cases := map[string]struct {
		path   string
		model  string
		result scheduler.Result
		status int
		want   []string
	}{
		"stream resumed":             {path: "/resumable/a", model: "m", result: scheduler.Truncated, want: []string{"send e3"}},
		"model missing":              {path: "/resumable/a", model: "m", result: scheduler.ModelMissing, status: 421, want: []string{"send e3"}},
		"rejected":                   {path: "/safe/a", result: scheduler.Rejected, status: 503, want: []string{"send p3"}},
		"lost":                       {path: "/safe/a", result: scheduler.Lost, want: []string{"send p3"}},
		"error of a backend server":  {path: "/safe/a", result: scheduler.BackendError, status: 500, want: []string{"send p3"}},
		"unsent":                     {path: "/unsafe/a", result: scheduler.Unsent, want: []string{"send p3"}},
		"replaced":                   {path: "/unsafe/a", result: scheduler.Replaced, status: 421, want: []string{"send p3"}},
		"completed in spite of that": {path: "/unsafe/a", result: scheduler.Complete, status: 200, want: nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(plainServer("p1"), in("d2", plainServer("p2")), in("d3", plainServer("p3")), engineServer("e1"), in("d2", engineServer("e2")), in("d3", engineServer("e3")))
			f.arrive(httpmeta.RequestConfig{Path: tc.path, Model: tc.model})
			if tc.result == scheduler.Truncated {
				f.core.Handle(f.now, scheduler.NewStreamStarted(1))
			}
			f.evacuate("d1", "d2")
			checkActions(t, "end of the first send", tc.want, f.core.Handle(f.now, scheduler.NewSendEnded(1, tc.result, tc.status)))
		})
	}
}

// TestEvacuationReturnsWhatWaits guards against requests that wait for a connection or for
// an adapter at an evacuated backend server and are sent there afterwards, and against
// interrupting those that run.
func TestEvacuationReturnsWhatWaits(t *testing.T) {
	t.Run("connections", func(t *testing.T) {
		f := newFixture(plainServer("p1"), in("d2", plainServer("p2")))
		f.arrive(httpmeta.RequestConfig{Path: "/unsafe/a"})
		actions := f.evacuate("d1")
		checkActions(t, "evacuation", nil, actions)
		if !slices.ContainsFunc(actions, func(a scheduler.Action) bool {
			returned, ok := a.(scheduler.ReturnWaiting)
			return ok && returned.Backend() == "p1"
		}) {
			t.Error("requests that wait for a connection are not returned")
		}
		for range 3 {
			checkActions(t, "request returned unsent", []string{"send p2"}, f.core.Handle(f.now, scheduler.NewSendEnded(f.number, scheduler.Unsent, 0)))
			f.core.Handle(f.now, scheduler.NewSendEnded(f.number, scheduler.Complete, 200))
			f.evacuate()
			f.evacuate("d2")
			f.arrive(httpmeta.RequestConfig{Path: "/unsafe/a"})
			f.evacuate("d1")
		}
	})
	t.Run("adapter", func(t *testing.T) {
		f := newFixture(engineServer("e1"), in("d2", engineServer("e2")))
		checkActions(t, "request", []string{"fetch e1 m/a1"}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Adapter: "a1"}))
		checkActions(t, "evacuation", []string{"fetch e2 m/a1"}, f.evacuate("d1"))
		fetched := func(id string) []scheduler.Action {
			fetch := scheduler.NewFetch(scheduler.FetchConfig{Number: 1, Backend: id, Model: "m", Adapter: "a1", At: f.now})
			return f.core.Handle(f.now, scheduler.NewFetchEnded(fetch, 3*time.Second))
		}
		checkActions(t, "adapter loaded by the evacuated server", nil, fetched("e1"))
		checkActions(t, "adapter loaded by the other", []string{"send e2"}, fetched("e2"))
	})
	t.Run("adapter, nothing else left", func(t *testing.T) {
		f := newFixture(engineServer("e1"))
		f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", Adapter: "a1"})
		checkActions(t, "evacuation", []string{"refuse 503 no_backend"}, f.evacuate("d1"))
	})
	t.Run("queue", func(t *testing.T) {
		f := newFixture(engineServer("e1"))
		for range 70 {
			f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})
		}
		refused := 0
		for _, action := range f.evacuate("d1") {
			if _, ok := action.(scheduler.Refuse); ok {
				refused++
			}
		}
		if diff := cmp.Diff(70-64, refused); diff != "" {
			t.Errorf("queued requests refused at once (-want +got):\n%s", diff)
		}
	})
}

// TestReturnToService guards against backend servers that stay out of routing after the
// evacuation has ended.
func TestReturnToService(t *testing.T) {
	f := newFixture(engineServer("e1"))
	f.evacuate("d1")
	checkActions(t, "during the evacuation", []string{"refuse 503 no_backend"}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
	f.now = f.now.Add(time.Second)
	checkActions(t, "end", nil, f.core.Handle(f.now, scheduler.NewEvacuationsChanged(scheduler.EvacuationsChangedConfig{Ended: []string{"d1"}})))
	checkActions(t, "afterwards", []string{"send e1"}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
}

// TestEvacuationKnownBeforeTheList guards against a lobby that starts during an evacuation
// and sends requests there as soon as it has the list of backend servers.
func TestEvacuationKnownBeforeTheList(t *testing.T) {
	f := newFixture()
	f.evacuate("d1")
	f.list(plainServer("p1"), in("d2", plainServer("p2")))
	checkActions(t, "request", []string{"send p2"}, f.arrive(httpmeta.RequestConfig{Path: "/safe/a"}))
	restarted := plainServer("p1")
	restarted.StartTime = 7
	f.list(restarted, in("d2", plainServer("p2")))
	checkActions(t, "request after a restart of the server", []string{"send p2"}, f.arrive(httpmeta.RequestConfig{Path: "/safe/a"}))
}

// TestNothingIsSentToEvacuatedServers guards against any path to a backend server in an
// evacuated failure domain, whatever arrives, ends, is listed, requested and rescinded in
// whichever order.
func TestNothingIsSentToEvacuatedServers(t *testing.T) {
	domains := []string{"d1", "d2", "d3"}
	rapid.Check(t, func(t *rapid.T) {
		servers := make(map[string]deployment.BackendConfig)
		for i, domain := range domains {
			servers[fmt.Sprint("p", i)] = in(domain, plainServer(fmt.Sprint("p", i)))
			servers[fmt.Sprint("e", i)] = in(domain, engineServer(fmt.Sprint("e", i)))
		}
		f := newFixture()
		evacuated := make(map[string]bool)
		var running []uint64
		var fetches []scheduler.Fetch
		check := func(actions []scheduler.Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case scheduler.Send:
					if id := a.Forwarding().Backend(); evacuated[servers[id].Domain] {
						t.Fatalf("request %d sent to %s in the evacuated domain %s", a.Number(), id, servers[id].Domain)
					}
					running = append(running, a.Number())
				case scheduler.Fetch:
					if id := a.Backend(); evacuated[servers[id].Domain] {
						t.Fatalf("adapter requested from %s in the evacuated domain %s", id, servers[id].Domain)
					}
					fetches = append(fetches, a)
				}
			}
		}
		list := func(t *rapid.T) {
			var listed []deployment.BackendConfig
			for _, id := range []string{"p0", "p1", "p2", "e0", "e1", "e2"} {
				if rapid.IntRange(0, 4).Draw(t, id) > 0 {
					listed = append(listed, servers[id])
				}
			}
			check(f.list(listed...))
		}
		t.Repeat(map[string]func(*rapid.T){
			"evacuations": func(t *rapid.T) {
				next := rapid.SliceOfDistinct(rapid.SampledFrom(domains), rapid.ID[string]).Draw(t, "domains")
				clear(evacuated)
				for _, domain := range next {
					evacuated[domain] = true
				}
				check(f.evacuate(next...))
			},
			"list": list,
			"arrival": func(t *rapid.T) {
				config := httpmeta.RequestConfig{Path: rapid.SampledFrom([]string{"/safe/a", "/unsafe/a", "/twice/a", "/stream/a", "/resumable/a"}).Draw(t, "path")}
				if config.Path == "/stream/a" || config.Path == "/resumable/a" {
					config.Model, config.Adapter = "m", rapid.SampledFrom([]string{"", "a1", "a2"}).Draw(t, "adapter")
				}
				check(f.arrive(config))
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "request")
				number := running[i]
				running = slices.Delete(running, i, i+1)
				result := rapid.SampledFrom([]scheduler.Result{scheduler.Complete, scheduler.Unsent, scheduler.Rejected, scheduler.ModelMissing, scheduler.Replaced, scheduler.Lost, scheduler.Truncated}).Draw(t, "result")
				check(f.core.Handle(f.now, scheduler.NewSendEnded(number, result, 0)))
			},
			"adapter": func(t *rapid.T) {
				if len(fetches) == 0 {
					t.Skip("no adapter is requested")
				}
				i := rapid.IntRange(0, len(fetches)-1).Draw(t, "fetch")
				fetch := fetches[i]
				fetches = slices.Delete(fetches, i, i+1)
				lease := time.Duration(rapid.IntRange(0, 3).Draw(t, "lease")) * time.Second
				check(f.core.Handle(f.now, scheduler.NewFetchEnded(fetch, lease)))
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				check(f.core.Tick(f.now))
			},
		})
	})
}

// evacuationLine is what a line of the log says of an evacuation.
type evacuationLine struct {
	Domain, State, Source string
	Backends              int
}

// TestEvacuationIsLogged guards against evacuations that leave no trace, and against more
// than one line for a domain that no backend server belongs to.
func TestEvacuationIsLogged(t *testing.T) {
	var written bytes.Buffer
	log := logrus.New()
	log.SetOutput(&written)
	log.SetFormatter(&logrus.JSONFormatter{})
	f := newFixture()
	s := scheduler.New(scheduler.Config{Core: f.config, Capacity: 8, Log: logrus.NewEntry(log), Proxy: discard{}})
	handle := func(message scheduler.Message) {
		t.Helper()
		if err := s.Handle(f.now, message); err != nil {
			t.Fatal(err)
		}
	}
	begun := scheduler.EvacuationsChangedConfig{Begun: []string{"d1", "nowhere"}, Source: "store", Evacuations: deployment.NewEvacuations(deployment.EvacuationsConfig{Offsets: map[string]int64{"d1": 1, "nowhere": 2}})}
	handle(scheduler.NewEvacuationsChanged(begun))
	list := []deployment.Backend{deployment.NewBackend(plainServer("p1")), deployment.NewBackend(plainServer("p2"))}
	handle(scheduler.NewBackendsChanged(noon, list))
	handle(scheduler.NewBackendsChanged(noon, list))
	handle(scheduler.NewEvacuationsChanged(scheduler.EvacuationsChangedConfig{Ended: []string{"d1"}, Source: "lobby"}))
	var got []evacuationLine
	for line := range strings.Lines(written.String()) {
		var decoded evacuationLine
		if err := json.Unmarshal([]byte(line), &decoded); err != nil {
			t.Fatal(err)
		}
		got = append(got, decoded)
	}
	want := []evacuationLine{
		{Domain: "d1", State: "requested", Source: "store", Backends: 2},
		{Domain: "nowhere", State: "requested", Source: "store"},
		{Domain: "d1", State: "ended", Source: "lobby", Backends: 2},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// discard is a proxy that takes all actions.
type discard struct{}

func (discard) Put(any) error { return nil }
