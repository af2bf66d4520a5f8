package dispatcher

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/protocol"
)

func submitOf(tenant, id string, change func(config *protocol.SubmitConfig)) protocol.Submit {
	config := protocol.SubmitConfig{Attempt: id, Tenant: tenant, Idempotent: true, Tokens: 100, Remaining: time.Hour}
	if change != nil {
		change(&config)
	}
	return protocol.NewSubmit(config)
}

func withUrgency(config *protocol.SubmitConfig) { config.Urgent = true }

func withRemaining(remaining time.Duration) func(config *protocol.SubmitConfig) {
	return func(config *protocol.SubmitConfig) { config.Remaining = remaining }
}

// runToCompletion ends each attempt after 100 tokens of its answer until none runs.
func (h *harness) runToCompletion() {
	for ended := 0; ended < len(h.started); ended++ {
		h.handle(NewChunkReceived(h.started[ended], make([]byte, 100*bytesPerToken)))
		h.handle(NewAttemptEnded(h.started[ended], "", true))
	}
}

func TestQueueOrder(t *testing.T) {
	cases := map[string]struct {
		submits []protocol.Submit
		want    []string
	}{
		"urgent first":                               {submits: []protocol.Submit{submitOf("t", "a", nil), submitOf("t", "u", withUrgency)}, want: []string{"u", "a"}},
		"earliest deadline first":                    {submits: []protocol.Submit{submitOf("t", "a", nil), submitOf("t", "b", withRemaining(time.Minute))}, want: []string{"b", "a"}},
		"regular near its deadline counts as urgent": {submits: []protocol.Submit{submitOf("t", "u", withUrgency), submitOf("t", "b", withRemaining(time.Second))}, want: []string{"b", "u"}},
		"tenants alternate": {
			submits: []protocol.Submit{submitOf("flood", "f1", nil), submitOf("flood", "f2", nil), submitOf("flood", "f3", nil), submitOf("small", "s1", nil), submitOf("small", "s2", nil)},
			want:    []string{"f1", "s1", "f2", "s2", "f3"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(func(config *CoreConfig) { config.QueueLimit, config.MaxBuffered = 10, 1<<20 })
			h.submit(batch(submitOf("first", "first", nil)))
			h.submit(batch(tc.submits...))
			h.runToCompletion()
			if diff := cmp.Diff(tc.want, h.started[1:]); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFullQueueEvictsFromLongestBacklog(t *testing.T) {
	cases := map[string]struct {
		queued  []protocol.Submit
		submit  protocol.Submit
		code    string
		evicted []string
	}{
		"same tenant":                         {queued: []protocol.Submit{submitOf("t", "a", nil), submitOf("t", "b", nil)}, submit: submitOf("t", "n", nil), code: protocol.CodeQueueFull},
		"same tenant, urgent":                 {queued: []protocol.Submit{submitOf("t", "a", nil), submitOf("t", "b", nil)}, submit: submitOf("t", "n", withUrgency), evicted: []string{"b"}},
		"tenant without queued attempts":      {queued: []protocol.Submit{submitOf("t", "a", nil), submitOf("t", "b", withUrgency)}, submit: submitOf("s", "n", nil), evicted: []string{"a"}},
		"tenant with as many queued attempts": {queued: []protocol.Submit{submitOf("t", "a", nil), submitOf("s", "b", nil)}, submit: submitOf("s", "n", nil), code: protocol.CodeQueueFull},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(nil)
			h.submit(batch(submitOf("first", "first", nil)))
			h.submit(batch(tc.queued...))
			codes := h.submit(batch(tc.submit))
			if diff := cmp.Diff([]string{tc.code}, codes); diff != "" {
				t.Errorf("codes (-want +got):\n%s", diff)
			}
			var evicted []string
			for _, page := range h.read(t, protocol.ReadConfig{}).Pages() {
				if page.MayHaveRun() || page.Code() != protocol.CodeQueueFull {
					t.Errorf("evicted with code %q, ran %v", page.Code(), page.MayHaveRun())
				}
				evicted = append(evicted, page.Attempt())
			}
			if diff := cmp.Diff(tc.evicted, evicted); diff != "" {
				t.Errorf("evicted (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRefusalRetryAfterEstimate(t *testing.T) {
	h := newHarness(nil)
	h.submit(batch(submitOf("t", "a", nil)))
	h.now = h.now.Add(10 * time.Second)
	h.handle(NewAttemptEnded("a", "", true))
	h.submit(batch(submitOf("t", "b", nil), submitOf("t", "c", nil), submitOf("t", "d", nil)))
	reply := &replyRecorder{}
	h.handle(NewBatchReceived(protocol.NewBatch(batch(submitOf("t", "e", nil), submitOf("t", "f", withRemaining(15*time.Second)))), reply))
	got := make(map[string]string)
	for _, receipt := range reply.items[0].(protocol.Receipts).Receipts() {
		got[receipt.Attempt()] = fmt.Sprint(receipt.Code(), " ", receipt.RetryAfter())
	}
	want := map[string]string{"e": protocol.CodeQueueFull + " 30s", "f": protocol.CodeWouldExpire + " 30s"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// residentModels is a Residency with a fixed set of resident models.
type residentModels map[string]bool

func (r residentModels) Resident(model string) bool { return r[model] }

func TestProbe(t *testing.T) {
	h := newHarness(func(config *CoreConfig) {
		config.PrefixBlocks, config.Residency = 8, residentModels{"here": true}
	})
	run := submitOf("t", "a", func(config *protocol.SubmitConfig) { config.Model, config.PrefixHashes = "here", []uint64{1, 2} })
	absent := submitOf("t", "b", func(config *protocol.SubmitConfig) { config.Model = "away" })
	if diff := cmp.Diff([]string{"", protocol.CodeNotResident}, h.submit(batch(run, absent))); diff != "" {
		t.Errorf("codes (-want +got):\n%s", diff)
	}
	h.handle(NewAttemptEnded("a", "", true))
	reply := &replyRecorder{}
	queries := []protocol.Query{
		protocol.NewQuery(protocol.QueryConfig{Request: "r1", Model: "here", PrefixHashes: []uint64{1, 2, 3}}),
		protocol.NewQuery(protocol.QueryConfig{Request: "r2", Model: "away", PrefixHashes: []uint64{9}}),
	}
	h.handle(NewProbeRequested(protocol.NewProbe(protocol.ProbeConfig{Queries: queries}), reply))
	got := reply.items[0].(protocol.Report)
	var estimates []protocol.EstimateConfig
	for _, e := range got.Estimates() {
		estimates = append(estimates, protocol.EstimateConfig{Request: e.Request(), Resident: e.Resident(), MatchedBlocks: e.MatchedBlocks(), FirstToken: e.FirstToken()})
	}
	want := []protocol.EstimateConfig{{Request: "r1", Resident: true, MatchedBlocks: 2}, {Request: "r2"}}
	if diff := cmp.Diff(want, estimates); diff != "" {
		t.Errorf("estimates (-want +got):\n%s", diff)
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	index := newPrefixIndex(4)
	for block := range uint64(100) {
		index.add([]uint64{block})
	}
	if diff := cmp.Diff([]int{1, 0}, []int{index.match([]uint64{99}), index.match([]uint64{1})}); diff != "" {
		t.Errorf("matches of the newest and the oldest block (-want +got):\n%s", diff)
	}
	if recorded := len(index.current) + len(index.previous); recorded > 8 {
		t.Errorf("%d blocks recorded, want 8 at most", recorded)
	}
}

// TestBackloggedTenantsGetEqualService bounds the difference between the tokens that
// two tenants are served while both have queued attempts. The bound is twice the
// tokens of the largest batch, as proven in the paper that queue cites.
func TestBackloggedTenantsGetEqualService(t *testing.T) {
	const largest = 500 // maximum number of tokens of one attempt
	tenants := []string{"x", "y", "z"}
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(func(config *CoreConfig) {
			config.QueueLimit, config.Concurrency, config.MaxBuffered = 1000, rapid.IntRange(1, 4).Draw(rt, "slots"), 1<<20
		})
		sent := make(map[string]protocol.Submit)
		for i := range rapid.IntRange(10, 100).Draw(rt, "attempts") {
			submit := submitOf(rapid.SampledFrom(tenants).Draw(rt, "tenant"), fmt.Sprint(i), func(config *protocol.SubmitConfig) {
				config.Stream, config.Tokens = true, rapid.Int64Range(1, largest).Draw(rt, "tokens")
			})
			sent[submit.Attempt()] = submit
			h.submit(batch(submit))
		}
		served := make(map[string]int64)
		bound := int64(2 * largest * h.core.config.Concurrency)
		for ended := 0; h.core.queue.allTenantsWait(tenants); ended++ {
			if gap := served["x"] - served["y"]; gap > bound || gap < -bound {
				rt.Fatalf("tenants x and y differ by %d tokens, want %d at most", gap, bound)
			}
			submit := sent[h.started[ended]]
			served[submit.Tenant()] += submit.Tokens()
			h.handle(NewChunkReceived(submit.Attempt(), bytes.Repeat(eventDelimiter, int(submit.Tokens()))))
			h.handle(NewAttemptEnded(submit.Attempt(), "", true))
		}
	})
}

// allTenantsWait reports whether every tenant has queued attempts.
func (q *queue) allTenantsWait(tenants []string) bool {
	return !slices.ContainsFunc(tenants, func(tenant string) bool {
		t, ok := q.tenants[tenant]
		return !ok || t.length() == 0
	})
}
