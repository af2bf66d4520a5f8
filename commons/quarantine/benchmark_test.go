package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/quarantine"
)

// fullCore returns a core with one quarantined request among as many suspects as it
// remembers.
func fullCore() *quarantine.Core {
	c := quarantine.New(quarantine.Config{Self: "x"})
	threeCrashes(c, request(1))
	for n := range 1000 {
		r := httpmeta.NewRequest(httpmeta.RequestConfig{Fingerprint: httpmeta.Fingerprint{2, byte(n), byte(n >> 8)}})
		c.Crashed(noon.Add(2*time.Second), quarantine.CrashConfig{Request: r, Backend: "z"})
	}
	return c
}

func BenchmarkAdmit(b *testing.B) {
	c := fullCore()
	r := request(2, "template", "subject", "own")
	for b.Loop() {
		c.Admit(noon, 1, r)
	}
}

func BenchmarkCrashed(b *testing.B) {
	c := fullCore()
	r := request(3, "template", "subject", "own")
	for n := 0; b.Loop(); n++ {
		crashAt(c, 3*time.Second, r, fmt.Sprint("b", n))
	}
}

func BenchmarkAnswering(b *testing.B) {
	c := fullCore()
	r := request(2, "template", "subject", "own")
	for b.Loop() {
		c.Answering(r, noon)
	}
}

// longPrompt returns a request whose prompt has many parts that no other one has.
func longPrompt(content, parts int) *httpmeta.Request {
	ids := make([]string, 0, parts+1)
	for n := range parts + 1 {
		ids = append(ids, fmt.Sprintf("%x", content*parts+n))
	}
	return request(byte(content), ids...)
}

// BenchmarkCrashedLongPrompt records the crash of a backend server under one request, as a
// lobby does for each that ran there.
func BenchmarkCrashedLongPrompt(b *testing.B) {
	for _, parts := range []int{130, 1300, 13000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			c := fullCore()
			r := longPrompt(7, parts)
			for n := 0; b.Loop(); n++ {
				crashAt(c, 3*time.Second, r, fmt.Sprint("b", n))
			}
		})
	}
}

// BenchmarkMustWait asks whether a request with doubtful parts has to wait while 320 others
// run that share none of them.
func BenchmarkMustWait(b *testing.B) {
	for _, parts := range []int{13, 130, 1300} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			c, r, other := crashedCore(parts), longPrompt(0, parts), longPrompt(99, parts)
			for b.Loop() {
				c.MustWait(noon.Add(time.Second), r, func(yield func(*httpmeta.Request) bool) {
					for n := 0; n < 320 && yield(other); n++ {
					}
				})
			}
		})
	}
}

// TestLongPromptsTakeLittleWork guards against work that grows with the product of the parts
// of prompts and what is remembered, or what runs. It counts allocations in place of time.
func TestLongPromptsTakeLittleWork(t *testing.T) {
	const rounds, running = 3, 320
	crash := func(c *quarantine.Core, at int, r *httpmeta.Request) {
		crashAt(c, time.Duration(3+at)*time.Second, r, fmt.Sprint("b", at))
	}
	other := longPrompt(99, 1300)
	wait := func(c *quarantine.Core, _ int, r *httpmeta.Request) {
		c.MustWait(noon.Add(10*time.Second), r, func(yield func(*httpmeta.Request) bool) {
			for n := 0; n < running && yield(other); n++ {
			}
		})
	}
	cases := map[string]struct {
		parts int
		core  *quarantine.Core
		work  func(c *quarantine.Core, at int, r *httpmeta.Request)
	}{
		"a crash, 130 parts":   {parts: 130, core: fullCore(), work: crash},
		"a crash, 1300 parts":  {parts: 1300, core: fullCore(), work: crash},
		"a crash, 13000 parts": {parts: 13000, core: fullCore(), work: crash},
		"a wait, 130 parts":    {parts: 130, core: crashedCore(130), work: wait},
		"a wait, 1300 parts":   {parts: 1300, core: crashedCore(1300), work: wait},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var requests []*httpmeta.Request
			for n := range rounds + 1 {
				requests = append(requests, longPrompt(n, tc.parts))
			}
			round := -1
			if allocs := testing.AllocsPerRun(rounds, func() { round++; tc.work(tc.core, round, requests[round]) }); allocs > 500 {
				t.Errorf("%.0f allocations, want at most 500", allocs)
			}
		})
	}
}

// crashedCore returns a core that knows the crash of one request with a long prompt for each
// round of a test.
func crashedCore(parts int) *quarantine.Core {
	c := quarantine.New(quarantine.Config{Self: "x"})
	for n := range 4 {
		crashAt(c, 0, longPrompt(n, parts), "b")
	}
	return c
}
