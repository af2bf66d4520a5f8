package tracing_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/tracing"
)

func TestSpansOfTwoProcessesFormOneTrace(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := tracing.New(tracing.Config{Instance: "entry-1", Capacity: 4, Sampling: 100})
	side := tracing.New(tracing.Config{Instance: "side-1", Capacity: 4, Sampling: 100})
	root := entry.Start(start, "", "request")
	child := side.Start(start.Add(time.Second), root.Traceparent(), "attempt")
	child.AddEvent(start.Add(2*time.Second), "dispatched")
	child.End(start.Add(3*time.Second), "")
	root.End(start.Add(4*time.Second), "cut")
	parents, children := entry.Find(root.TraceID()), side.Find(root.TraceID())
	if len(parents) != 1 || len(children) != 1 {
		t.Fatalf("spans: %d at the entry, %d at the side; want one each", len(parents), len(children))
	}
	if diff := cmp.Diff(parents[0].Span(), children[0].Parent()); diff != "" {
		t.Errorf("parent (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("cut", parents[0].Failure()); diff != "" {
		t.Errorf("failure (-want +got):\n%s", diff)
	}
}

func BenchmarkSpan(b *testing.B) {
	cases := map[string]int{"on": 100, "off": 0}
	for name, sampling := range cases {
		b.Run(name, func(b *testing.B) {
			tracer := tracing.New(tracing.Config{Instance: "i", Capacity: 4096, Sampling: sampling})
			root := tracer.Start(time.Unix(0, 0), "", "root")
			parent := root.Traceparent()
			b.ReportAllocs()
			for b.Loop() {
				span := tracer.Start(time.Unix(1, 0), parent, "hop")
				span.SetAttribute("request", "id")
				_ = span.Traceparent()
				span.AddEvent(time.Unix(2, 0), "dispatched")
				span.End(time.Unix(3, 0), "")
			}
		})
	}
}

func TestBufferKeepsNewestSpans(t *testing.T) {
	cases := map[string]struct {
		sampling int
		spans    int
		want     int
	}{
		"fewer than the capacity": {sampling: 100, spans: 2, want: 2},
		"more than the capacity":  {sampling: 100, spans: 9, want: 3},
		"not sampled":             {sampling: 0, spans: 9, want: 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tracer := tracing.New(tracing.Config{Instance: "i", Capacity: 3, Sampling: tc.sampling})
			root := tracer.Start(time.Unix(0, 0), "", "root")
			for range tc.spans {
				tracer.Start(time.Unix(1, 0), root.Traceparent(), "child").End(time.Unix(2, 0), "")
			}
			if diff := cmp.Diff(tc.want, len(tracer.Find(root.TraceID()))); diff != "" {
				t.Errorf("spans (-want +got):\n%s", diff)
			}
		})
	}
}
