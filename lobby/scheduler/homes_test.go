package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// domainRegions are the regions of the failure domains in these tests; d4 has none.
var domainRegions = map[string]string{"d1": "north", "d2": "south", "d3": "east"}

// newHomedFixture returns a fixture whose stream, safe and twice routes and whose tenant
// may only run in the given regions.
func newHomedFixture(route, tenant []string, backends ...deployment.BackendConfig) *fixture {
	f := newFixture()
	f.config.Regions = domainRegions
	f.core = scheduler.NewCore(f.config)
	f.core.Handle(f.now, scheduler.NewConfigurationChanged(homedConfiguration(1, route, tenant)))
	f.list(backends...)
	return f
}

func homedConfiguration(version int64, route, tenant []string) *deployment.Configuration {
	plain, engine := []deployment.ShareConfig{{Service: "plain", Weight: 1}}, []deployment.ShareConfig{{Service: "engine", Weight: 1}}
	return deployment.NewConfiguration(deployment.Config{
		Version: version,
		Routes: []deployment.RouteConfig{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: deployment.Safe, Timeout: time.Second, MaxAttempts: 3, Homes: route, Shares: plain},
			{Name: "twice", Host: "h", Prefix: "/twice/", Kind: deployment.Unsafe, Timeout: time.Second, MaxAttempts: 3, Homes: route, Shares: plain},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: deployment.Stream, Timeout: 15 * time.Second, LatencyObjective: time.Second, MaxAttempts: 3, Resumable: true, Homes: route, Shares: engine},
		},
		Services: []deployment.ServiceConfig{{Name: "plain", MaxConnections: 10}, {Name: "engine", MaxConnections: 10, Engine: engineConfig()}},
		Tenants:  []deployment.TenantConfig{{Name: "t", Keys: []string{"k"}, Homes: tenant}},
	})
}

// TestRequestsRunInTheirHomeRegions guards against a request whose body leaves the regions
// that its route and its customer allow, and against one that waits for a backend server
// that it may not use.
func TestRequestsRunInTheirHomeRegions(t *testing.T) {
	everywhere := []deployment.BackendConfig{plainServer("p1"), in("d2", plainServer("p2")), in("d3", plainServer("p3")), in("d4", plainServer("p4"))}
	cases := map[string]struct {
		route, tenant []string
		servers       []deployment.BackendConfig
		path          string
		want          []string
	}{
		"no restriction":                    {servers: everywhere[3:], path: "/safe/a", want: []string{"send p4"}},
		"empty lists":                       {route: []string{}, tenant: []string{}, servers: everywhere[3:], path: "/safe/a", want: []string{"send p4"}},
		"of the route":                      {route: []string{"south"}, servers: everywhere, path: "/safe/a", want: []string{"send p2"}},
		"of the customer":                   {tenant: []string{"east"}, servers: everywhere, path: "/safe/a", want: []string{"send p3"}},
		"that both name":                    {route: []string{"south", "east"}, tenant: []string{"north", "east"}, servers: everywhere, path: "/safe/a", want: []string{"send p3"}},
		"that no region satisfies":          {route: []string{"south"}, tenant: []string{"north"}, servers: everywhere, path: "/safe/a", want: []string{"refuse 503 no_home"}},
		"unknown region":                    {route: []string{"west"}, servers: everywhere, path: "/safe/a", want: []string{"refuse 503 no_home"}},
		"region without a name":             {route: []string{""}, servers: everywhere, path: "/safe/a", want: []string{"refuse 503 no_home"}},
		"region with a separator":           {route: []string{"x\nnorth\ny"}, servers: everywhere, path: "/safe/a", want: []string{"refuse 503 no_home"}},
		"part of the name of a region":      {route: []string{"nor", "th"}, servers: everywhere, path: "/safe/a", want: []string{"refuse 503 no_home"}},
		"no server of the service there":    {route: []string{"south"}, servers: []deployment.BackendConfig{plainServer("p1"), in("d2", engineServer("e2"))}, path: "/safe/a", want: []string{"refuse 503 no_home"}},
		"no server of the service at all":   {route: []string{"south"}, path: "/safe/a", want: []string{"refuse 503 no_home"}},
		"engine":                            {route: []string{"south"}, servers: []deployment.BackendConfig{engineServer("e1"), in("d2", engineServer("e2"))}, path: "/stream/a", want: []string{"send e2"}},
		"model is loaded elsewhere":         {route: []string{"south"}, servers: []deployment.BackendConfig{engineServer("e1"), in("d2", emptyEngine("e2", "m"))}, path: "/stream/a", want: nil},
		"model cannot be had there in time": {route: []string{"south"}, servers: []deployment.BackendConfig{engineServer("e1", "m"), in("d2", emptyEngine("e2"))}, path: "/stream/a", want: []string{"refuse 503 no_backend"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHomedFixture(tc.route, tc.tenant, tc.servers...)
			model := ""
			if tc.path == "/stream/a" {
				model = "m"
			}
			checkActions(t, "request", tc.want, f.arrive(httpmeta.RequestConfig{Path: tc.path, Model: model}))
		})
	}
}

// TestRefusalWithoutHomeCostsNoQuota guards against a customer who pays for a request that
// could not run anywhere.
func TestRefusalWithoutHomeCostsNoQuota(t *testing.T) {
	f := newHomedFixture([]string{"west"}, nil, plainServer("p1"))
	f.arrive(httpmeta.RequestConfig{Path: "/safe/a"})
	if f.limiter.refunded != 1 {
		t.Errorf("refunded %d times, want once", f.limiter.refunded)
	}
}

// TestHomesTakeEffectWithTheConfiguration guards against requests that are sent under
// regions which the configuration in force does not allow any more.
func TestHomesTakeEffectWithTheConfiguration(t *testing.T) {
	f := newHomedFixture([]string{"north"}, nil, plainServer("p1"), in("d2", plainServer("p2")))
	checkActions(t, "version 1", []string{"send p1"}, f.arrive(httpmeta.RequestConfig{Path: "/safe/a"}))
	f.core.Handle(f.now, scheduler.NewConfigurationChanged(homedConfiguration(2, []string{"south"}, nil)))
	checkActions(t, "version 2", []string{"send p2"}, f.arrive(httpmeta.RequestConfig{Path: "/safe/a"}))
	checkActions(t, "retry of a request of version 1", []string{"refuse 502 answer_lost"}, f.core.Handle(f.now, scheduler.NewSendEnded(1, scheduler.Lost, 0)))
	f.core.Handle(f.now, scheduler.NewConfigurationChanged(homedConfiguration(3, nil, nil)))
	checkActions(t, "version 3, retry of a request of version 2", []string{"refuse 502 answer_lost"}, f.core.Handle(f.now, scheduler.NewSendEnded(2, scheduler.Lost, 0)))
}

// TestHomesChangeWhileRequestsWait guards against a request that a new configuration
// restricts while it waits and that is then looked for among the wrong ones, which stops the
// scheduler, and against one that is sent outside its new regions.
func TestHomesChangeWhileRequestsWait(t *testing.T) {
	elsewhere := in("d3", emptyEngine("e3", "m"))
	cases := map[string]struct {
		route []string
		then  func(f *fixture) []scheduler.Action
		want  []string
	}{
		"its region gets the model": {
			route: []string{"south"},
			then: func(f *fixture) []scheduler.Action {
				return f.list(engineServer("e1"), in("d2", engineServer("e2")), elsewhere)
			},
			want: []string{"send e2"},
		},
		"only another region gets the model": {
			route: []string{"south"},
			then: func(f *fixture) []scheduler.Action {
				return f.list(engineServer("e1"), in("d2", emptyEngine("e2", "m")), elsewhere)
			},
		},
		"its new region has no backend server": {
			route: []string{"west"},
			then:  func(f *fixture) []scheduler.Action { return f.core.Tick(f.now) },
			want:  []string{"refuse 503 no_home"},
		},
		"its caller leaves": {
			route: []string{"south"},
			then: func(f *fixture) []scheduler.Action {
				f.core.Handle(f.now, scheduler.NewAbandoned(1))
				return f.list(engineServer("e1"), in("d2", engineServer("e2")), elsewhere)
			},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHomedFixture(nil, nil, elsewhere)
			checkActions(t, "request", nil, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
			f.core.Handle(f.now, scheduler.NewConfigurationChanged(homedConfiguration(2, tc.route, nil)))
			checkActions(t, "afterwards", tc.want, tc.then(f))
		})
	}
}

// TestHomesChangeReturnsWhatWaits guards against a request that waits for a connection to a
// backend server and is sent there although a new configuration forbids it.
func TestHomesChangeReturnsWhatWaits(t *testing.T) {
	cases := map[string]struct {
		route []string
		want  []string // backend servers whose waiting requests are returned
	}{
		"its region is left":      {route: []string{"south"}, want: []string{"p1"}},
		"its region is named now": {route: []string{"north"}},
		"no restriction":          {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHomedFixture(nil, nil, plainServer("p1"))
			checkActions(t, "request", []string{"send p1"}, f.arrive(httpmeta.RequestConfig{Path: "/twice/a"}))
			f.list(plainServer("p1"), in("d2", plainServer("p2")))
			var returned []string
			for _, action := range f.core.Handle(f.now, scheduler.NewConfigurationChanged(homedConfiguration(2, tc.route, nil))) {
				if a, ok := action.(scheduler.ReturnWaiting); ok {
					returned = append(returned, a.Backend())
				}
			}
			if diff := cmp.Diff(tc.want, returned); diff != "" {
				t.Errorf("returned (-want +got):\n%s", diff)
			}
		})
	}
}

// TestExplainNamesNoHome guards against a query that is said to wait though the request would
// be refused.
func TestExplainNamesNoHome(t *testing.T) {
	cases := map[string]struct {
		route []string
		want  scheduler.Cause
	}{
		"any region":                {},
		"region of a server":        {route: []string{"south"}},
		"region without servers":    {route: []string{"east"}, want: "no_home"},
		"region that is not known":  {route: []string{"west"}, want: "no_home"},
		"one region with a server":  {route: []string{"west", "south"}},
		"region without its server": {route: []string{"north"}, want: "no_home"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHomedFixture(tc.route, nil, plainServer("p1"), in("d2", engineServer("e2")))
			got := f.core.Explain(f.now, scheduler.NewQuery(scheduler.QueryConfig{Route: "stream", Customer: "t", Model: "m"})).Config()
			if diff := cmp.Diff(tc.want, got.Refused); diff != "" || len(got.Candidates) != 1 {
				t.Errorf("refusal, %d candidates (-want +got):\n%s", len(got.Candidates), diff)
			}
		})
	}
}

// TestHomesAndEvacuations guards against a request that leaves its region since the
// failure domains there are evacuated, and against one that waits for them.
func TestHomesAndEvacuations(t *testing.T) {
	f := newHomedFixture([]string{"south"}, nil, plainServer("p1"), in("d2", plainServer("p2")))
	f.evacuate("d2")
	checkActions(t, "request", []string{"refuse 503 no_backend"}, f.arrive(httpmeta.RequestConfig{Path: "/safe/a"}))
}

// TestDigestsCarryDemandInHomeRegions guards against a planner that does not learn in which
// regions a model is needed, also by requests that were refused for want of it.
func TestDigestsCarryDemandInHomeRegions(t *testing.T) {
	cases := map[string]struct {
		route, tenant []string
		servers       []deployment.BackendConfig
		want          []string // regions, none without demand in home regions
	}{
		"open request":          {route: []string{"south", "east"}, servers: []deployment.BackendConfig{in("d2", engineServer("e2"))}, want: []string{"east", "south"}},
		"refused request":       {route: []string{"south"}, servers: []deployment.BackendConfig{engineServer("e1"), in("d2", emptyEngine("e2"))}, want: []string{"south"}},
		"without home regions":  {servers: []deployment.BackendConfig{engineServer("e1")}},
		"without common region": {route: []string{"south"}, tenant: []string{"east"}, servers: []deployment.BackendConfig{engineServer("e1")}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHomedFixture(tc.route, tc.tenant, tc.servers...)
			f.core.Tick(f.now)
			f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"})
			f.now = f.now.Add(500 * time.Millisecond)
			var got []string
			for _, action := range f.core.Tick(f.now) {
				broadcast, ok := action.(scheduler.Broadcast)
				if !ok {
					continue
				}
				for _, demand := range broadcast.HomeDemand() {
					got = append(got, demand.Regions...)
					if demand.Model != "m" || demand.Engines <= 0 {
						t.Errorf("demand %+v", demand)
					}
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("regions with demand (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNothingLeavesItsHomeRegions guards against any path to a backend server outside the
// regions that a request may run in, whatever arrives, ends and is listed.
func TestNothingLeavesItsHomeRegions(t *testing.T) {
	regions := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"north", "south", "east"}), rapid.ID[string])
	rapid.Check(t, func(t *rapid.T) {
		route, tenant := regions.Draw(t, "route"), regions.Draw(t, "tenant")
		f := newHomedFixture(route, tenant)
		servers := make(map[string]deployment.BackendConfig)
		for _, domain := range []string{"d1", "d2", "d3", "d4"} {
			servers["p"+domain], servers["e"+domain] = in(domain, plainServer("p"+domain)), in(domain, engineServer("e"+domain))
		}
		version := int64(1)
		rules := make(map[uint64][][]string) // by request, the lists of regions that it is subject to
		allowed := func(number uint64, id string) bool {
			region := domainRegions[servers[id].Domain]
			return !slices.ContainsFunc(rules[number], func(list []string) bool { return len(list) > 0 && !slices.Contains(list, region) })
		}
		var running []uint64
		sentTo := make(map[uint64]string) // backend server of each send
		var fetches []scheduler.Fetch
		check := func(actions []scheduler.Action) {
			renewed := "" // backend server at which a lease is renewed for the request that is sent next
			inUse := func(id string) bool {
				return slices.ContainsFunc(running, func(number uint64) bool { return sentTo[number] == id })
			}
			for _, action := range actions {
				switch a := action.(type) {
				case scheduler.Send:
					if !allowed(a.Number(), a.Forwarding().Backend()) {
						t.Fatalf("sent to %s", a.Forwarding().Backend())
					}
					if renewed != "" && renewed != a.Forwarding().Backend() && !inUse(renewed) {
						t.Fatalf("sent to %s, lease renewed at %s", a.Forwarding().Backend(), renewed)
					}
					renewed = ""
					running = append(running, a.Number())
					sentTo[a.Number()] = a.Forwarding().Backend()
				case scheduler.Fetch:
					if a.Number() == 0 {
						renewed = a.Backend()
					} else if !allowed(a.Number(), a.Backend()) {
						t.Fatalf("adapter requested from %s", a.Backend())
					}
					fetches = append(fetches, a)
				}
			}
			if renewed != "" && !inUse(renewed) {
				t.Fatalf("lease renewed at %s without a request", renewed)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				var listed []deployment.BackendConfig
				for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"pd1", "pd2", "pd3", "pd4", "ed1", "ed2", "ed3", "ed4"}), rapid.ID[string]).Draw(t, "servers") {
					listed = append(listed, servers[id])
				}
				check(f.list(listed...))
			},
			"arrival": func(t *rapid.T) {
				config := httpmeta.RequestConfig{Path: rapid.SampledFrom([]string{"/safe/a", "/twice/a", "/stream/a"}).Draw(t, "path")}
				if config.Path == "/stream/a" {
					config.Model, config.Adapter = "m", rapid.SampledFrom([]string{"", "a1"}).Draw(t, "adapter")
				}
				rules[f.number+1] = [][]string{route, tenant}
				check(f.arrive(config))
			},
			"configuration": func(t *rapid.T) {
				version++
				route, tenant = regions.Draw(t, "route"), regions.Draw(t, "tenant")
				for number := range rules {
					rules[number] = append(rules[number], route, tenant)
				}
				check(f.core.Handle(f.now, scheduler.NewConfigurationChanged(homedConfiguration(version, route, tenant))))
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				number := running[0]
				running = running[1:]
				result := rapid.SampledFrom([]scheduler.Result{scheduler.Complete, scheduler.Unsent, scheduler.Rejected, scheduler.ModelMissing, scheduler.Lost, scheduler.Truncated}).Draw(t, "result")
				check(f.core.Handle(f.now, scheduler.NewSendEnded(number, result, 0)))
			},
			"adapter": func(t *rapid.T) {
				if len(fetches) == 0 {
					t.Skip("no adapter is requested")
				}
				fetch := fetches[0]
				fetches = fetches[1:]
				check(f.core.Handle(f.now, scheduler.NewFetchEnded(fetch, time.Duration(rapid.IntRange(0, 3).Draw(t, "lease"))*time.Second)))
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				check(f.core.Tick(f.now))
			},
		})
	})
}

// TestQueuedRequestsObeyNewHomes guards against a queue that loses its requests, or a
// process that ends, when a configuration changes the regions of requests that wait.
func TestQueuedRequestsObeyNewHomes(t *testing.T) {
	north, south := emptyEngine("e1", "m"), in("d2", emptyEngine("e2", "m"))
	cases := map[string]struct {
		homes []string
		then  func(f *fixture) []scheduler.Action
		want  []string
	}{
		"sent in the new region": {homes: []string{"south"}, then: func(f *fixture) []scheduler.Action {
			return f.list(engineServer("e1"), in("d2", engineServer("e2")))
		}, want: []string{"send e2"}},
		"not sent in the old one": {homes: []string{"south"}, then: func(f *fixture) []scheduler.Action {
			return f.list(engineServer("e1"), south)
		}},
		"abandoned": {homes: []string{"south"}, then: func(f *fixture) []scheduler.Action {
			return append(f.core.Handle(f.now, scheduler.NewAbandoned(1)), f.list(engineServer("e1"), in("d2", engineServer("e2")))...)
		}},
		"no server there": {homes: []string{"west"}, then: func(f *fixture) []scheduler.Action {
			return f.core.Tick(f.now)
		}, want: []string{"refuse 503 no_home"}},
		"unchanged": {then: func(f *fixture) []scheduler.Action {
			return f.list(engineServer("e1"), south)
		}, want: []string{"send e1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newHomedFixture(nil, nil, north, south)
			checkActions(t, "arrival", nil, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
			f.core.Handle(f.now, scheduler.NewConfigurationChanged(homedConfiguration(2, tc.homes, nil)))
			checkActions(t, "afterwards", tc.want, tc.then(f))
			f.core.Tick(f.now)
		})
	}
}
