package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/commons/supervisor"
	"sesamewell.example/lobby/resumption"
	"sesamewell.example/lobby/scheduler"
)

// smallSlots is the number of slots of a small engine. Urgent requests may use all of them,
// those to /bulk/ half.
const smallSlots = 4

func smallEngine(id string) deployment.BackendConfig {
	config := engineServer(id)
	config.Slots = smallSlots
	return config
}

// newContention returns a fixture whose customers a to e have equal quotas, and f four
// times as much. Requests to /urgent/ are to begin within 1 s, those to /bulk/ within 6 s.
func newContention(backends ...deployment.BackendConfig) *fixture {
	f := newFixture()
	streams := func(name string, objective time.Duration, priority int) deployment.RouteConfig {
		return deployment.RouteConfig{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: deployment.Stream, Timeout: 20 * time.Second, LatencyObjective: objective, Priority: priority,
			MaxAttempts: 2, Resumable: true, Shares: []deployment.ShareConfig{{Service: "engine", Weight: 1}},
		}
	}
	gaps := streams("gaps", time.Second, 0)
	gaps.GapObjective = 300 * time.Millisecond
	var tenants []deployment.TenantConfig
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		tenants = append(tenants, deployment.TenantConfig{Name: name, Keys: []string{name}, Rate: 10, Burst: 10})
	}
	tenants = append(tenants, deployment.TenantConfig{Name: "f", Keys: []string{"f"}, Rate: 40, Burst: 40})
	f.core.Handle(f.now, scheduler.NewConfigurationChanged(deployment.NewConfiguration(deployment.Config{
		Version:  2,
		Routes:   []deployment.RouteConfig{streams("urgent", time.Second, 0), streams("bulk", 6*time.Second, 1), gaps},
		Services: []deployment.ServiceConfig{{Name: "engine", MaxConnections: 1000, Engine: engineConfig()}},
		Tenants:  tenants,
	})))
	f.limiter.remaining = 1 << 30
	f.list(backends...)
	return f
}

// ask lets a customer's request arrive and returns its number and the actions.
func (f *fixture) ask(customer, path string, prompt, output int64) (uint64, []scheduler.Action) {
	actions := f.arrive(httpmeta.RequestConfig{Path: path, Model: "m", APIKey: customer, PromptTokens: prompt, MaxOutputTokens: output})
	return f.number, actions
}

// sends returns the numbers of the requests that actions send.
func sends(actions []scheduler.Action) []uint64 {
	var numbers []uint64
	for _, action := range actions {
		if send, ok := action.(scheduler.Send); ok {
			numbers = append(numbers, send.Number())
		}
	}
	return numbers
}

// TestFreedSlotGoesToTheNextInTheQueue fills an engine, queues requests, and frees one slot
// after the other.
func TestFreedSlotGoesToTheNextInTheQueue(t *testing.T) {
	type arrival struct {
		customer, path string
		output         int64
		before         time.Duration // time by which it arrives before the first slot is freed
	}
	cases := map[string]struct {
		queue []arrival
		want  []int // indexes into queue
	}{
		"in the order of arrival":       {queue: []arrival{{customer: "a", path: "/urgent/x"}, {customer: "b", path: "/urgent/x"}}, want: []int{0, 1}},
		"urgent first":                  {queue: []arrival{{customer: "a", path: "/bulk/x"}, {customer: "b", path: "/urgent/x"}}, want: []int{1, 0}},
		"customers take turns":          {queue: []arrival{{customer: "a", path: "/urgent/x"}, {customer: "a", path: "/urgent/x"}, {customer: "a", path: "/urgent/x"}, {customer: "b", path: "/urgent/x"}}, want: []int{0, 3, 1, 2}},
		"by work":                       {queue: []arrival{{customer: "a", path: "/urgent/x", output: 300}, {customer: "a", path: "/urgent/x", output: 300}, {customer: "b", path: "/urgent/x", output: 100}, {customer: "b", path: "/urgent/x", output: 100}}, want: []int{0, 2, 3, 1}},
		"a larger quota, a larger part": {queue: []arrival{{customer: "f", path: "/urgent/x"}, {customer: "f", path: "/urgent/x"}, {customer: "f", path: "/urgent/x"}, {customer: "a", path: "/urgent/x"}, {customer: "a", path: "/urgent/x"}}, want: []int{0, 3, 1, 2, 4}},
		"what can still be in time":     {queue: []arrival{{customer: "a", path: "/urgent/x", before: 1200 * time.Millisecond}, {customer: "b", path: "/urgent/x"}, {customer: "c", path: "/urgent/x"}}, want: []int{1, 2, 0}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newContention(smallEngine("e1"))
			var running []uint64
			for range smallSlots {
				number, _ := f.ask("e", "/urgent/x", 100, 100)
				running = append(running, number)
				f.core.Handle(f.now, scheduler.NewStreamStarted(number))
			}
			index := make(map[uint64]int)
			end := f.now.Add(2 * time.Second)
			for i, a := range tc.queue {
				f.now = end.Add(-a.before)
				number, actions := f.ask(a.customer, a.path, 100, max(a.output, 100))
				checkActions(t, "arrival while the engine is full", nil, actions)
				index[number] = i
			}
			f.now = end
			var got []int
			for len(running) > 0 {
				for _, number := range sends(f.core.Handle(f.now, scheduler.NewSendEnded(running[0], scheduler.Complete, 200))) {
					got = append(got, index[number])
					running = append(running, number)
					f.core.Handle(f.now, scheduler.NewStreamStarted(number))
				}
				running = running[1:]
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestArrivalDoesNotOvertakeTheQueue guards against new requests that take the capacity
// which other lobbies have freed, ahead of those that wait for it.
func TestArrivalDoesNotOvertakeTheQueue(t *testing.T) {
	f := newContention(smallEngine("e1"))
	peerOpen := func(serial int64, open int) {
		f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{
			Sender: "10.0.0.9:7000", Serial: serial, Loads: []protocol.BackendLoadConfig{{Backend: "e1", Open: open}},
		})))
	}
	peerOpen(1, smallSlots)
	first, _ := f.ask("a", "/urgent/x", 100, 100)
	f.now = f.now.Add(10 * time.Millisecond)
	peerOpen(2, smallSlots-1)
	second, actions := f.ask("b", "/urgent/x", 100, 100)
	if diff := cmp.Diff([]uint64{first}, sends(actions)); diff != "" {
		t.Errorf("sent when request %d arrives (-want +got):\n%s", second, diff)
	}
}

// TestLongPromptIsNotPassedOverForever guards against a prompt that never fits because
// shorter ones keep the engine busy with prefill.
func TestLongPromptIsNotPassedOverForever(t *testing.T) {
	f := newContention(engineServer("e1"))
	first, _ := f.ask("a", "/gaps/x", 1500, 10)
	second, _ := f.ask("b", "/gaps/x", 1500, 10)
	long, actions := f.ask("c", "/gaps/x", 12000, 10)
	checkActions(t, "long prompt beside others", nil, actions)
	pending := []uint64{first, second}
	for range 100 {
		for range 4 { // shorter ones never cease
			_, actions := f.ask("d", "/gaps/x", 1500, 10)
			pending = append(pending, sends(actions)...)
		}
		f.now = f.now.Add(5 * time.Millisecond)
		started := f.core.Handle(f.now, scheduler.NewStreamStarted(pending[0]))
		ended := f.core.Handle(f.now, scheduler.NewSendEnded(pending[0], scheduler.Complete, 200))
		pending = append(pending[1:], sends(append(started, ended...))...)
		for _, number := range pending {
			if number == long {
				return
			}
		}
		if len(pending) == 0 {
			t.Fatal("the engine is idle while requests wait")
		}
	}
	t.Error("the long prompt was passed over 100 times")
}

// TestRetryWithoutBudgetLeavesTheSlotToOthers guards against a freed slot that stays empty
// because the first in the queue is a retry for which there is no budget.
func TestRetryWithoutBudgetLeavesTheSlotToOthers(t *testing.T) {
	f := newContention(smallEngine("e1"), smallEngine("e2"))
	running := make(map[string][]uint64) // by backend server
	for range 2 * smallSlots {
		number, actions := f.ask("a", "/urgent/x", 100, 100)
		backend := actions[0].(scheduler.Send).Forwarding().Backend()
		running[backend] = append(running[backend], number)
		f.core.Handle(f.now, scheduler.NewStreamStarted(number))
	}
	for _, number := range running["e1"] { // more than the budget allows to be sent again
		f.core.Handle(f.now, scheduler.NewSendEnded(number, scheduler.Rejected, 503))
	}
	waiting, _ := f.ask("b", "/bulk/x", 100, 100)
	for _, number := range running["e2"] {
		for _, sent := range sends(f.core.Handle(f.now, scheduler.NewSendEnded(number, scheduler.Complete, 200))) {
			if sent == waiting {
				return
			}
		}
	}
	t.Error("a request that needs no budget was not sent")
}

// TestResumedStreamThatIsInTimePrecedesOthers guards against a stream whose pause becomes
// too long because it waits behind requests that have more time.
func TestResumedStreamThatIsInTimePrecedesOthers(t *testing.T) {
	f := newContention(smallEngine("e1"), smallEngine("e2"))
	var running []uint64
	for range 2 * smallSlots {
		number, _ := f.ask("a", "/gaps/x", 100, 100)
		running = append(running, number)
		f.core.Handle(f.now, scheduler.NewStreamStarted(number))
	}
	f.ask("b", "/gaps/x", 100, 100)
	f.now = f.now.Add(5 * time.Millisecond)
	f.core.Handle(f.now, scheduler.NewBackendLeaving(f.origins[running[0]]))
	f.core.Handle(f.now, scheduler.NewSendEnded(running[0], scheduler.Truncated, 0))
	var got []uint64
	for _, number := range running[1:] {
		got = append(got, sends(f.core.Handle(f.now, scheduler.NewSendEnded(number, scheduler.Complete, 200)))...)
	}
	if len(got) == 0 || got[0] != running[0] {
		t.Errorf("sent %v, want the resumed stream %d first", got, running[0])
	}
}

// TestQueuedBehindTooMuchWorkIsRefusedAtOnce guards against callers that wait in vain: the
// forecast of one customer's backlog refuses that customer, and others wait for their turn.
func TestQueuedBehindTooMuchWorkIsRefusedAtOnce(t *testing.T) {
	f := newContention(smallEngine("e1"))
	var running []uint64
	refused := 0
	for range 60 { // for 3 s a slot is freed ten times a second, and customer a asks forty times
		for range 2 {
			_, actions := f.ask("a", "/urgent/x", 100, 100)
			running = append(running, sends(actions)...)
			for _, action := range actions {
				if refuse, ok := action.(scheduler.Refuse); ok {
					refused++
					if refuse.RetryAfter() < 2*time.Second {
						t.Errorf("told to come back after %v", refuse.RetryAfter())
					}
				}
			}
		}
		f.now = f.now.Add(50 * time.Millisecond)
		f.core.Tick(f.now)
		if f.now.Sub(noon)%(100*time.Millisecond) == 0 {
			running = append(running[1:], sends(f.core.Handle(f.now, scheduler.NewSendEnded(running[0], scheduler.Complete, 200)))...)
		}
	}
	if refused == 0 {
		t.Error("no request of the customer with the backlog was refused at once")
	}
	_, actions := f.ask("b", "/urgent/x", 100, 100)
	checkActions(t, "another customer", nil, actions)
}

// TestEveryQueuedRequestEnds draws load, failures and changes of servers, and checks that
// slots are never exceeded, that no request waits beyond its deadline, and that none
// waits while the engine has room for it.
func TestEveryQueuedRequestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newContention(smallEngine("e1"), smallEngine("e2"))
		open := make(map[uint64]string) // backend server by number; "" while it waits
		execute := func(actions []scheduler.Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case scheduler.Send:
					open[a.Number()] = a.Forwarding().Backend()
				case scheduler.Refuse:
					delete(open, a.Number())
				}
			}
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			number := uint64(rapid.IntRange(1, int(f.number)+1).Draw(t, "request"))
			backend, known := open[number]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				open[f.number+1] = ""
				_, actions := f.ask(rapid.SampledFrom([]string{"a", "b", "f"}).Draw(t, "customer"), rapid.SampledFrom([]string{"/urgent/x", "/bulk/x", "/gaps/x"}).Draw(t, "path"), int64(rapid.IntRange(0, 9000).Draw(t, "prompt")), 50)
				execute(actions)
			case 2:
				if known && backend != "" {
					execute(f.core.Handle(f.now, scheduler.NewStreamStarted(number)))
				}
			case 3:
				if known && backend != "" {
					delete(open, number)
					execute(f.core.Handle(f.now, scheduler.NewSendEnded(number, scheduler.Complete, 200)))
				}
			case 4:
				if known && backend != "" {
					open[number] = ""
					execute(f.core.Handle(f.now, scheduler.NewSendEnded(number, rapid.SampledFrom([]scheduler.Result{scheduler.Rejected, scheduler.Unsent}).Draw(t, "result"), 0)))
				}
			case 5:
				if known {
					delete(open, number)
					execute(f.core.Handle(f.now, scheduler.NewAbandoned(number)))
				}
			case 6:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond)
				execute(f.core.Tick(f.now))
			}
			used := make(map[string]int)
			for _, backend := range open {
				used[backend]++
			}
			if used["e1"] > smallSlots || used["e2"] > smallSlots {
				t.Fatalf("more requests than slots: %v", used)
			}
		}
		f.now = f.now.Add(30 * time.Second)
		execute(f.core.Tick(f.now))
		if diff := cmp.Diff(0, f.core.Open()); diff != "" {
			t.Fatalf("requests open beyond their time limit (-want +got):\n%s", diff)
		}
	})
}

// newCrowdedCore returns a core with 46 full engines, and 1,000 requests in its queue from
// 50 customers for 12 models.
func newCrowdedCore(b *testing.B) *scheduler.Core {
	b.Helper()
	engine := engineConfig()
	engine.Models = nil
	var tenants []deployment.TenantConfig
	for i := range 50 {
		tenants = append(tenants, deployment.TenantConfig{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("k", i)}})
	}
	for i := range 12 {
		engine.Models = append(engine.Models, deployment.ModelConfig{Name: fmt.Sprint("m", i), Memory: 70})
	}
	core := scheduler.NewCore(scheduler.CoreConfig{
		Domain: "d1", MinLobbies: 1, Stop: supervisor.NewStopSchedule(8 * time.Second), Limiter: &fakeLimiter{remaining: 1 << 30}, Streams: resumption.New(), Quarantine: quarantine.New(quarantine.Config{}), Random: rand.New(rand.NewPCG(1, 1)),
	})
	core.Handle(noon, scheduler.NewConfigurationChanged(deployment.NewConfiguration(deployment.Config{
		Version: 1,
		Routes: []deployment.RouteConfig{{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: deployment.Stream, Timeout: time.Hour, LatencyObjective: 20 * time.Minute, GapObjective: 300 * time.Millisecond, Shares: []deployment.ShareConfig{{Service: "engine", Weight: 1}},
		}},
		Services: []deployment.ServiceConfig{{Name: "engine", MaxConnections: 1000, Engine: engine}}, Tenants: tenants,
	})))
	var list []deployment.Backend
	var loads []protocol.BackendLoadConfig
	for i := range 46 {
		id := fmt.Sprint("e", i)
		list = append(list, deployment.NewBackend(deployment.BackendConfig{
			ID: id, Service: "engine", Address: "10.0.0.2:80", Domain: "d1", Slots: 48,
			Holdings: []deployment.HoldingConfig{{Model: fmt.Sprint("m", i%12)}, {Model: fmt.Sprint("m", (i+5)%12)}},
		}))
		loads = append(loads, protocol.BackendLoadConfig{Backend: id, Open: 47})
	}
	core.Handle(noon, scheduler.NewBackendsChanged(noon, list))
	core.Handle(noon, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Loads: loads})))
	for number := range uint64(1046) {
		core.Handle(noon, scheduler.NewArrived(number+1, crowdedRequest(number+1)))
	}
	return core
}

func crowdedRequest(number uint64) *httpmeta.Request {
	return httpmeta.NewRequest(httpmeta.RequestConfig{
		ID: fmt.Sprint("r", number), Host: "h", Path: "/stream/a", APIKey: fmt.Sprint("k", number%50), Model: fmt.Sprint("m", number%12), Arrived: noon, PromptTokens: 1460, MaxOutputTokens: 57,
		Parts: []httpmeta.Part{httpmeta.NewPart(httpmeta.PartConfig{ID: fmt.Sprint("p", number%100), Tokens: 1000}), httpmeta.NewPart(httpmeta.PartConfig{ID: fmt.Sprint("q", number), Tokens: 460})},
	})
}

// BenchmarkTickWithFullQueue measures a tick in which no queued request can start.
func BenchmarkTickWithFullQueue(b *testing.B) {
	core := newCrowdedCore(b)
	for b.Loop() {
		core.Tick(noon.Add(10 * time.Millisecond))
	}
}

// BenchmarkFreedSlot measures the end of a request, whose slot goes to a queued one, and
// the arrival of another.
func BenchmarkFreedSlot(b *testing.B) {
	core := newCrowdedCore(b)
	now := noon.Add(10 * time.Millisecond)
	running := uint64(1)
	for round := uint64(10); b.Loop(); round++ {
		next := sends(core.Handle(now, scheduler.NewSendEnded(running, scheduler.Complete, 200)))
		if len(next) != 1 {
			b.Fatalf("%d requests sent to one freed slot", len(next))
		}
		running = next[0]
		core.Handle(now, scheduler.NewStreamStarted(running))
		number := running%600 + 600*round // of the same model and customer
		core.Handle(now, scheduler.NewArrived(number, crowdedRequest(number)))
	}
}

// TestQueueLoadsByPriority guards against gauges that leave requests out.
func TestQueueLoadsByPriority(t *testing.T) {
	f := newContention(smallEngine("e1"))
	for range smallSlots {
		f.ask("a", "/urgent/x", 100, 10)
	}
	f.ask("a", "/urgent/x", 100, 10)
	f.now = f.now.Add(1500 * time.Millisecond)
	f.ask("b", "/urgent/x", 100, 20)
	f.ask("c", "/bulk/x", 100, 10)
	f.core.Tick(f.now)
	got := make(map[string]string)
	for _, l := range f.core.QueueLoads() {
		got[fmt.Sprintf("priority %d, late %t", l.Priority(), l.Late())] = fmt.Sprintf("%d requests, work %v", l.Requests(), l.Work())
	}
	want := map[string]string{"priority 0, late false": "1 requests, work 300", "priority 1, late false": "1 requests, work 200", "priority 0, late true": "1 requests, work 200"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
}

// TestStatedTokensDoNotOverflow guards against a caller that states more tokens than sums
// can hold: its pending prefill would count as less than none, and its work as little.
func TestStatedTokensDoNotOverflow(t *testing.T) {
	cases := map[string]struct{ prompt, output int64 }{
		"prompt":                {prompt: math.MaxInt64},
		"prompt, beyond a time": {prompt: 1 << 52},
		"prompt and output":     {prompt: math.MaxInt64, output: math.MaxInt64},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newContention(engineServer("e1"))
			f.ask("a", "/gaps/x", tc.prompt, tc.output)
			_, actions := f.ask("b", "/gaps/x", 1500, 10)
			checkActions(t, "beside so much prefill", nil, actions)
			f.ask("a", "/gaps/x", tc.prompt, tc.output)
			for _, l := range f.core.QueueLoads() {
				if want := 1e7; l.Work() < want {
					t.Errorf("%v work waits, want %v at least", l.Work(), want)
				}
			}
		})
	}
}

// crowdWithRetries lets an engine reject more requests of customer a than the budget allows
// to be sent again, while another one of four slots is full. It returns the requests that
// run there.
func crowdWithRetries(f *fixture) (running []uint64) {
	var rejected []uint64
	for range crowdedSlots + smallSlots {
		number, actions := f.ask("a", "/bulk/x", 100, 100)
		for _, action := range actions {
			if send, ok := action.(scheduler.Send); ok && send.Forwarding().Backend() == "e1" {
				rejected = append(rejected, number)
			} else if ok {
				running = append(running, number)
			}
		}
		f.core.Handle(f.now, scheduler.NewStreamStarted(number))
	}
	for _, number := range rejected {
		running = append(running, sends(f.core.Handle(f.now, scheduler.NewSendEnded(number, scheduler.Rejected, 503)))...)
	}
	return running
}

// crowdedSlots is the number of slots of the engine that rejects.
const crowdedSlots = 40

func crowdedEngine(id string) deployment.BackendConfig {
	config := engineServer(id)
	config.Slots = crowdedSlots
	return config
}

// TestManyRetriesWithoutBudgetLeaveTheSlotToOthers guards against a freed slot that stays
// empty because more retries than are tried precede a request that needs no budget.
func TestManyRetriesWithoutBudgetLeaveTheSlotToOthers(t *testing.T) {
	f := newContention(crowdedEngine("e1"), smallEngine("e2"))
	running := crowdWithRetries(f)
	waiting, _ := f.ask("a", "/bulk/x", 100, 100)
	for len(running) > 0 {
		next := sends(f.core.Handle(f.now, scheduler.NewSendEnded(running[0], scheduler.Complete, 200)))
		if slices.Contains(next, waiting) {
			return
		}
		running = append(running[1:], next...)
	}
	t.Error("a request that needs no budget was not sent")
}

// TestArrivalIsNotRefusedBesideAFreeSlot guards against a refusal by the forecast although
// a slot is free, because what waits cannot take it.
func TestArrivalIsNotRefusedBesideAFreeSlot(t *testing.T) {
	f := newContention(crowdedEngine("e1"), smallEngine("e2"))
	crowdWithRetries(f)
	f.list(crowdedEngine("e1"), smallEngine("e2"), crowdedEngine("e3"))
	for range 30 { // retries wait for the budget
		f.now = f.now.Add(50 * time.Millisecond)
		f.core.Tick(f.now)
	}
	number, actions := f.ask("a", "/bulk/x", 100, 100)
	if diff := cmp.Diff([]uint64{number}, sends(actions)); diff != "" {
		t.Errorf("sent beside free slots (-want +got):\n%s\n%v", diff, describe(actions))
	}
}

// TestModelsOfAPlainServiceShareAQueue guards against a customer that gets more of a service
// without an engine by naming models, which mean nothing there.
func TestModelsOfAPlainServiceShareAQueue(t *testing.T) {
	f := newFixture(plainServer("p1"))
	f.limiter.remaining = 1 << 30
	configuration := plainLoad(12, 60*time.Millisecond, 30*time.Second, time.Minute, 1).configuration
	configuration.Tenants = append(configuration.Tenants, deployment.TenantConfig{Name: "b", Keys: []string{"b"}})
	f.core.Handle(f.now, scheduler.NewConfigurationChanged(deployment.NewConfiguration(configuration)))
	f.core.Handle(f.now, scheduler.NewLobbyCountChanged(12))
	f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Loads: []protocol.BackendLoadConfig{{Backend: "p1", Open: 6}}})))
	customers := make(map[uint64]string)
	ask := func(customer, model string) []scheduler.Action {
		customers[f.number+1] = customer
		return f.arrive(httpmeta.RequestConfig{Path: "/once/x", APIKey: customer, Model: model})
	}
	running := sends(ask("a", ""))
	for i := range 10 {
		ask("a", fmt.Sprint("m", i))
	}
	for range 4 {
		ask("b", "")
	}
	served := make(map[string]int)
	for range 8 {
		next := sends(f.core.Handle(f.now, scheduler.NewSendEnded(running[0], scheduler.Complete, 200)))
		for _, number := range next {
			served[customers[number]]++
		}
		running = append(running[1:], next...)
	}
	if diff := cmp.Diff(map[string]int{"a": 4, "b": 4}, served); diff != "" {
		t.Errorf("served (-want +got):\n%s", diff)
	}
}
