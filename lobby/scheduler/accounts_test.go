package scheduler_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// TestAccountsOfRequestsAddUp drives the core through random orders of arrivals, results that
// may be late, doubled or of sends that are not under way, gone callers, adapters, refusals with
// a time, lists, starts, evacuations and a stop. Places at backend servers and in the
// queue are those of the open requests at any time, and none is left at the end.
func TestAccountsOfRequestsAddUp(t *testing.T) {
	results := []scheduler.Result{scheduler.Complete, scheduler.Unsent, scheduler.Deferred, scheduler.Rejected, scheduler.ModelMissing, scheduler.Replaced, scheduler.Lost, scheduler.BackendError, scheduler.Unconfirmed, scheduler.Truncated}
	servers := func(t *rapid.T) (list []deployment.BackendConfig) {
		for _, backend := range []deployment.BackendConfig{plainServer("p1"), engineServer("e1"), engineServer("e2", "a1")} {
			state := rapid.IntRange(0, 7).Draw(t, backend.ID)
			backend.StartTime, backend.Leaving, backend.Slots = int64(state/6), state == 1, 3
			if state > 0 {
				list = append(list, backend)
			}
		}
		return list
	}
	const steps = 60
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var fetches []scheduler.Fetch
		handle := func(actions []scheduler.Action) {
			f.noteOrigins(actions)
			for _, action := range actions {
				if fetch, ok := action.(scheduler.Fetch); ok {
					fetches = append(fetches, fetch)
				}
			}
			counted, expected, sound := f.core.CountedAccounts()
			if diff := cmp.Diff(expected, counted); diff != "" || !sound {
				t.Fatalf("accounts, none below zero: %t (-want +got):\n%s", sound, diff)
			}
		}
		tell := func(message scheduler.Message) { handle(f.core.Handle(f.now, message)) }
		request := func() uint64 { return rapid.Uint64Range(1, max(f.number, 1)).Draw(t, "request") }
		handle(f.list(plainServer("p1"), engineServer("e1"), engineServer("e2", "a1")))
		for range steps {
			switch rapid.IntRange(0, 15).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				config := httpmeta.RequestConfig{Path: rapid.SampledFrom([]string{"/safe/a", "/twice/a", "/stream/a", "/resumable/a"}).Draw(t, "path"), APIKey: "k2"}
				if config.Path == "/stream/a" || config.Path == "/resumable/a" {
					config.Model, config.PromptTokens = "m", rapid.Int64Range(0, 9000).Draw(t, "prompt")
					config.Adapter = rapid.SampledFrom([]string{"", "a1", "a2"}).Draw(t, "adapter")
				}
				handle(f.arrive(config))
			case 5, 6, 7:
				number := request()
				tell(scheduler.NewSendEnded(number, rapid.SampledFrom(results).Draw(t, "result"), rapid.SampledFrom([]int{0, 200, 503}).Draw(t, "status")))
			case 8:
				tell(scheduler.NewStreamStarted(request()))
			case 9:
				tell(scheduler.NewAbandoned(request()))
			case 10, 11:
				if len(fetches) > 0 {
					tell(scheduler.NewFetchEnded(rapid.SampledFrom(fetches).Draw(t, "fetch"), time.Duration(rapid.IntRange(0, 3).Draw(t, "lease"))*time.Second))
				}
			case 12:
				handle(f.list(servers(t)...))
			case 13:
				if origin, ok := f.origins[request()]; ok {
					tell(scheduler.NewBackendRefusing(origin, time.Second))
				}
			case 14:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				handle(f.core.Tick(f.now))
			case 15:
				switch rapid.IntRange(0, 9).Draw(t, "change") {
				case 0:
					tell(scheduler.NewDrain(f.now))
				case 1, 2:
					handle(f.evacuate("d1"))
				default:
					handle(f.evacuate())
				}
			}
		}
		for number := range f.number {
			tell(scheduler.NewAbandoned(number + 1))
		}
		counted, _, _ := f.core.CountedAccounts()
		if diff := cmp.Diff(scheduler.Accounts{}, counted); diff != "" {
			t.Fatalf("accounts at the end (-want +got):\n%s", diff)
		}
	})
}
