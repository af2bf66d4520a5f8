package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/scheduler"
)

// queryFor describes a request as an operator does.
func queryFor(config httpmeta.RequestConfig) scheduler.Query {
	return scheduler.NewQuery(scheduler.QueryConfig{
		Host: "h", Path: config.Path, Customer: "t", Model: config.Model, Adapter: config.Adapter, PromptTokens: config.PromptTokens, Parts: config.Parts,
	})
}

// TestExplainNamesTheRule guards against exclusions that an operator can't tell apart.
func TestExplainNamesTheRule(t *testing.T) {
	leaving, empty, full := engineServer("e1"), emptyEngine("e1"), engineServer("e1")
	leaving.Leaving, full.Slots = true, 1
	stream := httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}
	long := httpmeta.RequestConfig{Path: "/stream/a", Model: "m", PromptTokens: 5000}
	held := func(f *fixture) {
		f.arrive(stream)
		f.refuse(1, time.Second)
	}
	ended := func(ended scheduler.SendEnded) func(f *fixture) {
		return func(f *fixture) {
			f.arrive(stream)
			f.core.Handle(f.now, ended)
		}
	}
	cases := map[string]struct {
		server deployment.BackendConfig
		before func(f *fixture)
		want   scheduler.Rule
	}{
		"candidate":         {server: engineServer("e1")},
		"leaving":           {server: leaving, want: "leaving"},
		"model not loaded":  {server: empty, want: "model_not_loaded"},
		"no slot":           {server: full, before: func(f *fixture) { f.arrive(stream) }, want: "no_slot"},
		"prefill pending":   {server: engineServer("e1"), before: func(f *fixture) { f.arrive(long) }, want: "prefill_pending"},
		"held":              {server: engineServer("e1"), before: held, want: "held"},
		"rejecting":         {server: engineServer("e1"), before: ended(scheduler.NewSendEnded(1, scheduler.Rejected, 503)), want: "rejecting"},
		"model missing":     {server: engineServer("e1"), before: ended(scheduler.NewSendEnded(1, scheduler.ModelMissing, 421)), want: "model_missing"},
		"another one there": {server: engineServer("e1"), before: ended(scheduler.NewSendEnded(1, scheduler.Replaced, 421)), want: "replaced"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(tc.server)
			if tc.before != nil {
				tc.before(f)
			}
			explanation := f.core.Explain(f.now, queryFor(httpmeta.RequestConfig{Path: "/stream/a", Model: "m", PromptTokens: 1000})).Config()
			if len(explanation.Candidates) != 1 {
				t.Fatalf("%d reports", len(explanation.Candidates))
			}
			if diff := cmp.Diff(tc.want, explanation.Candidates[0].Config().Excluded); diff != "" {
				t.Errorf("rule (-want +got):\n%s", diff)
			}
			if _, chosen := explanation.Choices["engine"]; chosen != (tc.want == "") {
				t.Errorf("chosen %v", chosen)
			}
		})
	}
}

// TestExplainNamesTheRulesOfTheQueue guards against an explanation that shows a candidate
// which requests do not get, since they wait for this lobby's share or a reservation.
func TestExplainNamesTheRulesOfTheQueue(t *testing.T) {
	cases := map[string]struct {
		prepare func() *fixture
		path    string
		want    scheduler.Rule
	}{
		"share used": {path: "/long/a", want: "share_used", prepare: func() *fixture {
			f := newFixture(plainServer("p1"))
			f.core.Handle(f.now, scheduler.NewLobbyCountChanged(12))
			f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Loads: []protocol.BackendLoadConfig{{Backend: "p1", Open: 6}}})))
			f.arrive(httpmeta.RequestConfig{Path: "/long/a"})
			return f
		}},
		"share left": {path: "/long/a", prepare: func() *fixture {
			f := newFixture(plainServer("p1"))
			f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000"})))
			return f
		}},
		"reserved": {path: "/gaps/x", want: "reserved", prepare: func() *fixture {
			f := newContention(engineServer("e1"))
			f.ask("a", "/gaps/x", 2000, 10)
			f.ask("c", "/gaps/x", 12000, 10)
			for range 10 { // shorter ones pass the long prompt over
				number, _ := f.ask("b", "/gaps/x", 500, 10)
				f.core.Handle(f.now, scheduler.NewStreamStarted(number))
			}
			return f
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := tc.prepare()
			explanation := f.core.Explain(f.now, scheduler.NewQuery(scheduler.QueryConfig{Host: "h", Path: tc.path, Model: "m"})).Config()
			if len(explanation.Candidates) != 1 {
				t.Fatalf("%d reports", len(explanation.Candidates))
			}
			if diff := cmp.Diff(tc.want, explanation.Candidates[0].Config().Excluded); diff != "" {
				t.Errorf("rule (-want +got):\n%s", diff)
			}
			if len(explanation.Choices) > 0 != (tc.want == "") {
				t.Errorf("choices %v", explanation.Choices)
			}
		})
	}
}

// TestExplainOfUnservedQueries guards against queries that end the process or get a
// choice that a request would not get.
func TestExplainOfUnservedQueries(t *testing.T) {
	cases := map[string]struct {
		query    scheduler.QueryConfig
		draining bool
		fault    string
		refused  scheduler.Cause
	}{
		"no such route":    {query: scheduler.QueryConfig{Route: "x"}, fault: "no route has this name"},
		"no such path":     {query: scheduler.QueryConfig{Host: "h", Path: "/x"}, fault: "no route matches host and path"},
		"no such customer": {query: scheduler.QueryConfig{Route: "stream", Customer: "x"}, fault: "no customer has this name"},
		"draining":         {query: scheduler.QueryConfig{Route: "stream", Customer: "t"}, draining: true, refused: "leaving"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1"))
			if tc.draining {
				f.core.Handle(f.now, scheduler.NewDrain(f.now))
				f.now = f.now.Add(5 * time.Second)
			}
			got := f.core.Explain(f.now, scheduler.NewQuery(tc.query)).Config()
			if diff := cmp.Diff([]string{tc.fault, string(tc.refused)}, []string{got.Fault, string(got.Refused)}); diff != "" || len(got.Choices) > 0 {
				t.Errorf("fault and refusal, choices %v (-want +got):\n%s", got.Choices, diff)
			}
		})
	}
}

// TestExplainChangesNothing guards against an explanation that differs from the decision
// that follows it, or that changes a later one.
func TestExplainChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remote := engineServer("e2")
		remote.Domain = "d2"
		plain, asked := newFixture(engineServer("e1", "a1"), remote, engineServer("e3")), newFixture(engineServer("e1", "a1"), remote, engineServer("e3"))
		both := func(message scheduler.Message) {
			if diff := cmp.Diff(describe(plain.core.Handle(plain.now, message)), describe(asked.core.Handle(asked.now, message))); diff != "" {
				t.Fatalf("actions without and with questions (-without +with):\n%s", diff)
			}
		}
		var running []uint64
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			plain.now = plain.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			asked.now = plain.now
			request := httpmeta.RequestConfig{Path: "/resumable/a", Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), PromptTokens: 900, Parts: []httpmeta.Part{
				httpmeta.NewPart(httpmeta.PartConfig{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"), Tokens: 800}),
			}}
			explanation := asked.core.Explain(asked.now, queryFor(request)).Config()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				both(scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Serial: int64(i + 1), Loads: []protocol.BackendLoadConfig{{Backend: "e1", Open: rapid.IntRange(0, 64).Draw(t, "open")}}})))
			case 1:
				if len(running) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
				number := running[at]
				running = slices.Delete(running, at, at+1)
				both(scheduler.NewStreamStarted(number))
				both(scheduler.NewSendEnded(number, scheduler.Complete, 200).WithEvents(20))
			default:
				want, got := describe(plain.arrive(request)), describe(asked.arrive(request))
				if diff := cmp.Diff(want, got); diff != "" {
					t.Fatalf("actions without and with questions (-without +with):\n%s", diff)
				}
				choice, explained := explanation.Choices["engine"]
				if sent := len(got) > 0 && got[0] == "send "+choice; explained != sent {
					t.Fatalf("explained %q, decided %v", choice, got)
				}
				if explained {
					running = append(running, asked.number)
				}
			}
		}
	})
}
