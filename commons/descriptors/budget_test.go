package descriptors_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/descriptors"
)

func TestBudgetLeavesDescriptorsForTheRest(t *testing.T) {
	type limits struct{ Limit, MaxConnections, MaxRequests int }
	cases := map[string]struct {
		processLimit int
		want         limits
	}{
		"large":     {processLimit: 4200, want: limits{Limit: 3483, MaxConnections: 3547, MaxRequests: 1741}},
		"usual":     {processLimit: 1024, want: limits{Limit: 704, MaxConnections: 768, MaxRequests: 352}},
		"small":     {processLimit: 256, want: limits{Limit: 128, MaxConnections: 160, MaxRequests: 64}},
		"very few":  {processLimit: 20, want: limits{Limit: 10, MaxConnections: 12, MaxRequests: 5}},
		"unlimited": {processLimit: 1 << 24, want: limits{Limit: 14679872, MaxConnections: 14679936, MaxRequests: 7339936}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := descriptors.NewBudget(tc.processLimit)
			got := limits{Limit: b.Limit(now), MaxConnections: b.MaxConnections(now), MaxRequests: b.MaxRequests(now)}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("limits (-want +got):\n%s", diff)
			}
		})
	}
}

func TestExhaustedBudgetIsLowerForATime(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		exhausted []int // connections open each time, a second apart
		after     time.Duration
		want      int
	}{
		"never":                    {want: 704},
		"once":                     {exhausted: []int{320}, after: 2 * time.Second, want: 299},
		"twice":                    {exhausted: []int{320, 160}, after: 2 * time.Second, want: 149},
		"again with more open":     {exhausted: []int{160, 320}, after: 2 * time.Second, want: 149},
		"with hardly any open":     {exhausted: []int{2}, after: 2 * time.Second, want: 4},
		"with more than the limit": {exhausted: []int{9000}, after: 2 * time.Second, want: 704},
		"long ago":                 {exhausted: []int{320}, after: time.Hour, want: 704},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := descriptors.NewBudget(1024)
			for i, open := range tc.exhausted {
				b.Exhausted(start.Add(time.Duration(i)*time.Second), open)
			}
			if diff := cmp.Diff(tc.want, b.Limit(start.Add(tc.after))); diff != "" {
				t.Errorf("limit (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRanOut(t *testing.T) {
	cases := map[string]struct {
		err  error
		want bool
	}{
		"too many files of the process": {err: &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, want: true},
		"too many files of the host":    {err: syscall.ENFILE, want: true},
		"refused":                       {err: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}},
		"none":                          {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, descriptors.RanOut(tc.err)); diff != "" {
				t.Errorf("ran out (-want +got):\n%s", diff)
			}
		})
	}
}

func TestProcessLimit(t *testing.T) {
	limit, err := descriptors.ProcessLimit()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(true, limit > 0); diff != "" {
		t.Errorf("limit above zero (-want +got):\n%s", diff)
	}
}
