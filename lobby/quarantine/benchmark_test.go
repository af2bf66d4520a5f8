package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/quarantine"
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
