package memory_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"sesamewell.example/commons/memory"
)

const (
	limit = 90 << 20
	large = 4 << 20
	small = 16 << 10
)

func TestBudgetIsFairOverCustomers(t *testing.T) {
	type request struct {
		customer string
		bytes    int64
		times    int
	}
	cases := map[string]struct {
		requests []request
		want     []int // admitted of each
	}{
		"one with large bodies":                {requests: []request{{"hot", large, 100}}, want: []int{15}},
		"small ones of the same customer":      {requests: []request{{"hot", large, 100}, {"hot", small, 100}}, want: []int{15, 100}},
		"small ones of others":                 {requests: []request{{"hot", large, 100}, {"a", small, 100}, {"b", small, 100}}, want: []int{15, 100, 100}},
		"large ones of others":                 {requests: []request{{"hot", large, 100}, {"a", large, 2}, {"b", large, 1}}, want: []int{15, 2, 1}},
		"two with large bodies":                {requests: []request{{"a", large, 8}, {"b", large, 100}}, want: []int{8, 10}},
		"larger than the budget":               {requests: []request{{"a", limit + 1, 1}}, want: []int{0}},
		"small ones beyond the limit":          {requests: []request{{"a", small, 10000}}, want: []int{8640}},
		"none for large ones after small ones": {requests: []request{{"a", small, 5700}, {"b", large, 1}}, want: []int{5700, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := memory.NewBudgetOf(limit)
			got := make([]int, len(tc.requests))
			for i, r := range tc.requests {
				for range r.times {
					if b.Admit(r.customer, r.bytes) {
						got[i]++
					}
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("admitted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBudgetHoldsWhatWasCharged charges and releases in any order. What is admitted never
// exceeds the limit, and what is given back is free again.
func TestBudgetHoldsWhatWasCharged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := memory.NewBudgetOf(limit)
		type charge struct {
			customer string
			bytes    int64
		}
		var open []charge
		var total, forced int64
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			c := charge{rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "customer"), rapid.Int64Range(1, 2*large).Draw(t, "bytes")}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if overrun := b.Charge(c.customer, c.bytes); overrun != (total+c.bytes > limit+limit/4) {
					t.Fatalf("overrun %t with %d bytes", overrun, total+c.bytes)
				}
				forced += c.bytes
			case 1:
				if len(open) == 0 {
					continue
				}
				last := open[len(open)-1]
				open = open[:len(open)-1]
				b.Release(last.customer, last.bytes)
				total -= last.bytes
				continue
			default:
				if !b.Admit(c.customer, c.bytes) {
					continue
				}
				if c.bytes > small*4 && total+c.bytes > limit || total+c.bytes > limit+limit/2 {
					t.Fatalf("admitted up to %d bytes", total+c.bytes)
				}
			}
			open, total = append(open, c), total+c.bytes
		}
		if b.Total() != total {
			t.Fatalf("total %d, want %d", b.Total(), total)
		}
		for _, c := range open {
			b.Release(c.customer, c.bytes)
		}
		if b.Total() != 0 || !b.Admit("a", limit*2/3) {
			t.Fatalf("%d bytes are left after all were given back", b.Total())
		}
	})
}

// TestNoAccountIsBelowZero gives back bytes that were not charged. They made room for others,
// without a trace.
func TestNoAccountIsBelowZero(t *testing.T) {
	cases := map[string]struct {
		release int64 // by customer a, who was charged with ten
		want    int64 // held in all; customer b was charged with five
		faults  int
	}{
		"less than charged":   {release: 4, want: 11},
		"all":                 {release: 10, want: 5},
		"more than charged":   {release: 11, want: 5, faults: 1},
		"more than all hold":  {release: 100, want: 5, faults: 1},
		"nothing was charged": {release: 0, want: 15},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			log := logrus.New()
			log.SetOutput(&out)
			b := memory.NewBudgetOf(limit)
			b.Export(logrus.NewEntry(log))
			b.Charge("a", 10)
			b.Charge("b", 5)
			b.Release("a", tc.release)
			got := []int64{b.Total(), int64(strings.Count(out.String(), "level=error"))}
			if diff := cmp.Diff([]int64{tc.want, int64(tc.faults)}, got); diff != "" {
				t.Errorf("bytes held and errors in the log (-want +got):\n%s", diff)
			}
		})
	}
}
