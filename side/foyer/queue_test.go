package foyer

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/notice"
)

func of(tenant, id string, change func(config *notice.SubmitConfig)) notice.Submit {
	config := notice.SubmitConfig{Attempt: id, Tenant: tenant, Idempotent: true, Tokens: 100, Remaining: time.Hour}
	if change != nil {
		change(&config)
	}
	return notice.NewSubmit(config)
}

func isUrgent(config *notice.SubmitConfig) { config.Urgent = true }

func within(remaining time.Duration) func(config *notice.SubmitConfig) {
	return func(config *notice.SubmitConfig) { config.Remaining = remaining }
}

// finishAll ends the running attempt, after 100 tokens, until nothing runs.
func (b *bench) finishAll() {
	for ended := 0; ended < len(b.runs); ended++ {
		b.handle(NewPiece(b.runs[ended], make([]byte, 100*bytesPerToken)))
		b.handle(NewEnded(b.runs[ended], "", true))
	}
}

func TestOrderOfWaitingAttempts(t *testing.T) {
	cases := map[string]struct {
		submits []notice.Submit
		want    []string
	}{
		"urgent first":              {submits: []notice.Submit{of("t", "a", nil), of("t", "u", isUrgent)}, want: []string{"u", "a"}},
		"least slack first":         {submits: []notice.Submit{of("t", "a", nil), of("t", "b", within(time.Minute))}, want: []string{"b", "a"}},
		"no slack counts as urgent": {submits: []notice.Submit{of("t", "u", isUrgent), of("t", "b", within(time.Second))}, want: []string{"b", "u"}},
		"tenants take turns": {
			submits: []notice.Submit{of("flood", "f1", nil), of("flood", "f2", nil), of("flood", "f3", nil), of("small", "s1", nil), of("small", "s2", nil)},
			want:    []string{"f1", "s1", "f2", "s2", "f3"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(func(config *CoreConfig) { config.Queue, config.MaxBuffered = 10, 1<<20 })
			b.submit(batch(of("first", "first", nil)))
			b.submit(batch(tc.submits...))
			b.finishAll()
			if diff := cmp.Diff(tc.want, b.runs[1:]); diff != "" {
				t.Errorf("runs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFullQueueMakesRoomForTheWeaklyServed(t *testing.T) {
	cases := map[string]struct {
		waiting  []notice.Submit
		newcomer notice.Submit
		code     string
		dropped  []string
	}{
		"of the same tenant":       {waiting: []notice.Submit{of("t", "a", nil), of("t", "b", nil)}, newcomer: of("t", "n", nil), code: notice.CodeQueueFull},
		"urgent of the same":       {waiting: []notice.Submit{of("t", "a", nil), of("t", "b", nil)}, newcomer: of("t", "n", isUrgent), dropped: []string{"b"}},
		"of a tenant without any":  {waiting: []notice.Submit{of("t", "a", nil), of("t", "b", isUrgent)}, newcomer: of("s", "n", nil), dropped: []string{"a"}},
		"of a tenant with as many": {waiting: []notice.Submit{of("t", "a", nil), of("s", "b", nil)}, newcomer: of("s", "n", nil), code: notice.CodeQueueFull},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(nil)
			b.submit(batch(of("first", "first", nil)))
			b.submit(batch(tc.waiting...))
			codes := b.submit(batch(tc.newcomer))
			if diff := cmp.Diff([]string{tc.code}, codes); diff != "" {
				t.Errorf("codes (-want +got):\n%s", diff)
			}
			var dropped []string
			for _, page := range b.read(t, notice.ReadConfig{}).Pages() {
				if page.Ran() || page.Code() != notice.CodeQueueFull {
					t.Errorf("dropped with code %q, ran %v", page.Code(), page.Ran())
				}
				dropped = append(dropped, page.Attempt())
			}
			if diff := cmp.Diff(tc.dropped, dropped); diff != "" {
				t.Errorf("dropped (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRefusalEstimatesWhenASlotFrees(t *testing.T) {
	b := newBench(nil)
	b.submit(batch(of("t", "a", nil)))
	b.now = b.now.Add(10 * time.Second)
	b.handle(NewEnded("a", "", true))
	b.submit(batch(of("t", "b", nil), of("t", "c", nil), of("t", "d", nil)))
	reply := &sink{}
	b.handle(NewBatchArrived(notice.NewBatch(batch(of("t", "e", nil), of("t", "f", within(15*time.Second)))), reply))
	got := make(map[string]string)
	for _, receipt := range reply.items[0].(notice.Receipts).Receipts() {
		got[receipt.Attempt()] = fmt.Sprint(receipt.Code(), " ", receipt.RetryAfter())
	}
	want := map[string]string{"e": notice.CodeQueueFull + " 30s", "f": notice.CodeOverloaded + " 30s"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// residents is a Residency that holds the models it lists.
type residents map[string]bool

func (r residents) Resident(model string) bool { return r[model] }

func TestProbe(t *testing.T) {
	b := newBench(func(config *CoreConfig) {
		config.Prefixes, config.Residency = 8, residents{"here": true}
	})
	run := of("t", "a", func(config *notice.SubmitConfig) { config.Model, config.Prefix = "here", []uint64{1, 2} })
	away := of("t", "b", func(config *notice.SubmitConfig) { config.Model = "away" })
	if diff := cmp.Diff([]string{"", notice.CodeNotResident}, b.submit(batch(run, away))); diff != "" {
		t.Errorf("codes (-want +got):\n%s", diff)
	}
	b.handle(NewEnded("a", "", true))
	reply := &sink{}
	queries := []notice.Query{
		notice.NewQuery(notice.QueryConfig{Request: "r1", Model: "here", Prefix: []uint64{1, 2, 3}}),
		notice.NewQuery(notice.QueryConfig{Request: "r2", Model: "away", Prefix: []uint64{9}}),
	}
	b.handle(NewProbeArrived(notice.NewProbe(notice.ProbeConfig{Queries: queries}), reply))
	got := reply.items[0].(notice.Report)
	var estimates []notice.EstimateConfig
	for _, e := range got.Estimates() {
		estimates = append(estimates, notice.EstimateConfig{Request: e.Request(), Resident: e.Resident(), Matched: e.Matched(), FirstToken: e.FirstToken()})
	}
	want := []notice.EstimateConfig{{Request: "r1", Resident: true, Matched: 2}, {Request: "r2"}}
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
		t.Errorf("matches of the youngest and the oldest (-want +got):\n%s", diff)
	}
	if held := len(index.young) + len(index.old); held > 8 {
		t.Errorf("%d blocks held, want 8 at most", held)
	}
}

// TestBackloggedTenantsAreServedAlike bounds the difference of what two
// tenants are served while both have work waiting: twice the tokens of the
// largest batch, as the paper proves.
func TestBackloggedTenantsAreServedAlike(t *testing.T) {
	const largest = 500 // tokens of one attempt
	tenants := []string{"x", "y", "z"}
	rapid.Check(t, func(rt *rapid.T) {
		b := newBench(func(config *CoreConfig) {
			config.Queue, config.Concurrency, config.MaxBuffered = 1000, rapid.IntRange(1, 4).Draw(rt, "slots"), 1<<20
		})
		sent := make(map[string]notice.Submit)
		for i := range rapid.IntRange(10, 100).Draw(rt, "attempts") {
			submit := of(rapid.SampledFrom(tenants).Draw(rt, "tenant"), fmt.Sprint(i), func(config *notice.SubmitConfig) {
				config.Stream, config.Tokens = true, rapid.Int64Range(1, largest).Draw(rt, "tokens")
			})
			sent[submit.Attempt()] = submit
			b.submit(batch(submit))
		}
		served := make(map[string]int64)
		bound := int64(2 * largest * b.core.config.Concurrency)
		for ended := 0; b.core.queue.allWait(tenants); ended++ {
			if gap := served["x"] - served["y"]; gap > bound || gap < -bound {
				rt.Fatalf("tenants x and y differ by %d tokens, want %d at most", gap, bound)
			}
			submit := sent[b.runs[ended]]
			served[submit.Tenant()] += submit.Tokens()
			b.handle(NewPiece(submit.Attempt(), bytes.Repeat(eventEnd, int(submit.Tokens()))))
			b.handle(NewEnded(submit.Attempt(), "", true))
		}
	})
}

// allWait reports whether every tenant has something waiting.
func (q *queue) allWait(tenants []string) bool {
	return !slices.ContainsFunc(tenants, func(tenant string) bool {
		b, ok := q.tenants[tenant]
		return !ok || b.waiting() == 0
	})
}
