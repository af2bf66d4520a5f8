package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// BenchmarkCrashesUnderLongPrompts lets a quarter of 16 engines end under 160 requests whose
// prompts have many parts, while as many wait. It reports the longest time for which one
// message or tick keeps the scheduler, and the time from the first crash until all are handled.
func BenchmarkCrashesUnderLongPrompts(b *testing.B) {
	for _, parts := range []int{13, 130, 1300, 13000} {
		for _, path := range []string{"/stream/", "/resumable/"} {
			b.Run(fmt.Sprint(path, parts), func(b *testing.B) {
				var longest, total time.Duration
				for round := 0; b.Loop(); round++ {
					f := newFixture()
					f.limiter.remaining = 1 << 30
					var servers []string
					for n := range 16 {
						servers = append(servers, fmt.Sprint("e", n))
					}
					var configs []deployment.BackendConfig
					for _, id := range servers {
						configs = append(configs, engineServer(id))
					}
					f.list(configs...)
					at := make(map[string][]uint64)
					for n := range 320 {
						config := httpmeta.RequestConfig{Path: path, Model: "m", PromptTokens: int64(parts), MaxOutputTokens: 60, Fingerprint: httpmeta.Fingerprint{byte(n), byte(n >> 8)}}
						for part := range parts {
							config.Parts = append(config.Parts, httpmeta.NewPart(httpmeta.PartConfig{ID: fmt.Sprintf("%x", (round*320+n)*parts+part), Tokens: 1}))
						}
						for _, action := range f.arrive(config) {
							if send, ok := action.(scheduler.Send); ok {
								at[send.Forwarding().Backend()] = append(at[send.Forwarding().Backend()], send.Number())
							}
						}
					}
					timed := func(step func()) {
						began := time.Now()
						step()
						took := time.Since(began)
						longest, total = max(longest, took), total+took
					}
					for _, server := range servers[:4] {
						for _, number := range at[server] {
							timed(func() {
								f.core.Handle(f.now, scheduler.NewSendEnded(number, scheduler.Lost, 0).WithDisconnect())
							})
						}
					}
					f.now = f.now.Add(50 * time.Millisecond)
					timed(func() { f.core.Tick(f.now) })
				}
				b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
				b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "all-ms")
			})
		}
	}
}
