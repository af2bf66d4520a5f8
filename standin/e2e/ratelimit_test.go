package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/testkit"
)

const (
	limitedKey   = "proof-frugal-key"
	limitedRate  = 1
	limitedBurst = 2000
	limitedCalls = 40 // concurrent calls at each entry; together they exceed the burst

	// Concurrent calls; enough that some do not go to the engine that is preferred
	// for their prompt.
	listedCalls  = 48
	listedTokens = 50
)

// addLimitedTenant adds a tenant with a small burst to the inventory.
func (f *fleet) addLimitedTenant() {
	fmt.Fprintf(&f.inventory, "[tenant frugal]\nrate = %d\nburst = %d\n[key frugal]\ntenant = frugal\nsha256 = %s\n", limitedRate, limitedBurst, fleetstate.HashKey(limitedKey))
}

// callAll sends the given number of concurrent calls to each of the entries and
// returns the answers.
func (f *fleet) callAll(calls int, call requestConfig, entries ...int) []answer {
	answers := make([]answer, calls*len(entries))
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i] = f.call(entries[i%len(entries)], call) })
	}
	group.Wait()
	return answers
}

func TestBurstLimitHoldsWhenEntryKilled(t *testing.T) {
	const tokens = 20
	cases := map[string]struct {
		killed  string
		restart bool
	}{
		"one entry":              {killed: "entry-1"},
		"other entry":            {killed: "entry-2"},
		"one entry, restarted":   {killed: "entry-1", restart: true},
		"other entry, restarted": {killed: "entry-2", restart: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.addLimitedTenant()
			f.addEngine("engine-1", 2*limitedCalls, fastStep)
			f.addEntry("entry-1", "")
			f.addEntry("entry-2", "")
			start := time.Now()
			f.apply()
			call := chatRequest(limitedKey, tokens)
			charge := len(call.body)/4 + tokens
			f.callAll(limitedCalls, call, 0, 1)
			f.processes[tc.killed].signal(t, syscall.SIGKILL)
			<-f.processes[tc.killed].exited
			if tc.restart {
				f.start(tc.killed, "sesamewell-entry", filepath.Join(f.dir, tc.killed+".ini"))
				f.awaitOK(tc.killed, "http://"+f.operatorAddresses[tc.killed]+"/readyz")
			}
			answers := f.callAll(limitedCalls, call, 0, 1)
			used := f.received("engine-1").Runs * charge
			limit := limitedBurst + limitedRate*int(time.Since(start)/time.Second+1)
			if used > limit {
				t.Errorf("the tenant ran %d tokens; rate and burst allow %d", used, limit)
			}
			if used < limitedBurst/4 {
				t.Errorf("the tenant ran only %d tokens of %d", used, limitedBurst)
			}
			checkRefusals(t, answers)
		})
	}
}

// checkRefusals checks the form of the answers that are refused for the tenant's
// rate. At least one must be.
func checkRefusals(t *testing.T, answers []answer) {
	t.Helper()
	refused := 0
	for _, got := range answers {
		if got.status != http.StatusTooManyRequests {
			continue
		}
		refused++
		if diff := cmp.Diff(httpserver.NotRun, got.header.Get(httpserver.OutcomeHeader)); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
		if seconds, err := strconv.Atoi(got.header.Get("Retry-After")); err != nil || seconds < 1 {
			t.Errorf("Retry-After = %q, want a number of seconds", got.header.Get("Retry-After"))
		}
		if !strings.Contains(got.body, `"code":"rate_limit_exceeded"`) {
			t.Errorf("body %q is not the API's error form", got.body)
		}
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
}

func TestUnusedTokensReturned(t *testing.T) {
	f := newFleet(t)
	f.addLimitedTenant()
	f.addEngine("engine-1", 16, fastStep)
	f.addEntry("entry-1", "")
	f.apply()
	// Each call reserves more than a third of the burst. The last calls are
	// admitted only if the tokens that earlier calls did not use are returned.
	call := requestConfig{path: "/v1/completions", key: limitedKey, body: `{"model":"trail-writer","n":40,"max_tokens":18,"prompt":"x"}`}
	for i := range 6 {
		if got := f.call(0, call); got.status != http.StatusOK {
			t.Errorf("call %d: status %d: %s", i, got.status, got.body)
		}
	}
}

// listedFleet is a fleet whose entry reads the platform's list of instances.
type listedFleet struct {
	*fleet
	listAddress string
}

func newListedFleet(t *testing.T, lag time.Duration) *listedFleet {
	t.Helper()
	f := &listedFleet{fleet: newFleet(t), listAddress: testkit.FreeAddress(t)}
	f.start("list", "sesamewell-standin", "list", "--listen", f.listAddress, "--lag", lag.String())
	f.addEngine("engine-1", 16, fastStep)
	f.addEngine("engine-2", 16, fastStep)
	f.addEntry("entry-1", "")
	// Restart the entry with the list's address in its settings.
	f.processes["entry-1"].signal(t, syscall.SIGKILL)
	<-f.processes["entry-1"].exited
	path := filepath.Join(f.dir, "entry-1.ini")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	settings := strings.Replace(string(text), "[platform]\n", "[platform]\nlist = "+f.listAddress+"\n", 1)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	f.start("entry-1", "sesamewell-entry", path)
	return f
}

// setInstanceStates replaces the platform's list of instances.
func (f *listedFleet) setInstanceStates(states map[string]string) {
	f.t.Helper()
	type instance struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	var instances []instance
	for name, state := range states {
		instances = append(instances, instance{Name: name, State: state})
	}
	body, err := json.Marshal(instances)
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.Post("http://"+f.listAddress+"/", "application/json", strings.NewReader(string(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// awaitNoRequests sends batches of calls until the engine gets none of a batch.
// All calls must succeed.
func (f *listedFleet) awaitNoRequests(engine string) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		before := f.received(engine).Runs
		for _, got := range f.callAll(listedCalls, chatRequest(tenantKey, listedTokens), 0) {
			if err := checkChat(got, listedTokens); err != nil {
				f.t.Fatalf("%v\n%s", err, f.processes["entry-1"].log)
			}
		}
		if f.received(engine).Runs == before {
			return
		}
	}
	f.t.Fatalf("%s still gets new requests", engine)
}

func TestLeavingSideGetsNoNewRequests(t *testing.T) {
	f := newListedFleet(t, 300*time.Millisecond)
	live := map[string]string{"entry-1": "live", "side-engine-1": "live", "side-engine-2": "live"}
	f.awaitOK("list", "http://"+f.listAddress+"/")
	f.setInstanceStates(live)
	f.apply()
	// The side whose engine gets more requests is the one to leave.
	f.callAll(listedCalls, chatRequest(tenantKey, listedTokens), 0)
	engine := "engine-1"
	if f.received("engine-1").Runs < f.received("engine-2").Runs {
		engine = "engine-2"
	}
	live["side-"+engine] = "leaving"
	f.setInstanceStates(live)
	f.awaitNoRequests(engine)
	// A leaving side gets no requests after a crash and restart either.
	f.processes["side-"+engine].signal(t, syscall.SIGKILL)
	<-f.processes["side-"+engine].exited
	f.startSide("side-" + engine)
	f.awaitOK("side-"+engine, "http://"+f.operatorAddresses["side-"+engine]+"/readyz")
	before := f.received(engine).Runs
	for _, got := range f.callAll(listedCalls, chatRequest(tenantKey, listedTokens), 0) {
		if err := checkChat(got, listedTokens); err != nil {
			t.Error(err)
		}
	}
	if diff := cmp.Diff(before, f.received(engine).Runs); diff != "" {
		t.Errorf("requests at the leaving backend server (-want +got):\n%s", diff)
	}
	// It gets requests again when it is live and the other side is leaving.
	for name := range live {
		if strings.HasPrefix(name, "side-") {
			live[name] = "leaving"
		}
	}
	live["side-"+engine] = "live"
	f.setInstanceStates(live)
	f.awaitRequests(engine)
}

// awaitRequests sends calls until the engine gets a request. Each call has a
// different prompt, since calls with like prompts are routed to the engine that has
// run them before.
func (f *listedFleet) awaitRequests(engine string) {
	f.t.Helper()
	before := f.received(engine).Runs
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		var group sync.WaitGroup
		for i := range 20 {
			call := chatRequest(tenantKey, 2)
			call.body = strings.Replace(call.body, "hello", fmt.Sprintf("%d at %s", i, time.Now()), 1)
			group.Go(func() { f.call(0, call) })
		}
		group.Wait()
		if f.received(engine).Runs > before {
			return
		}
	}
	f.t.Fatalf("%s gets no new requests", engine)
}
