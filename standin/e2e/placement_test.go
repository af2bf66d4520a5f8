package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/testkit"
)

// Settings that make placement fast enough for tests, and memory sizes.
const (
	fastOrderSettings   = "[orders]\nlongest-delay = 2s\nreport = 100ms\nretry = 1s\nsettle = 200ms\nsend-limit = 500ms\n"
	fastPlannerSettings = "[planner]\nperiod = 200ms\nidle = 500ms\nretry = 1s\n"
	engineMemory        = 10 << 30 // bytes
	modelMemory         = 4 << 30  // bytes
)

// engineState is the part of an engine's state that the tests read.
type engineState struct {
	Fence    int64 `json:"fence"`
	PeakUsed int64 `json:"most"`
	Refused  int   `json:"refused"`
	Holdings []struct {
		Name  string `json:"name"`
		Phase string `json:"phase"`
	} `json:"holdings"`
}

// residentNames returns the models in memory, and for each whether it is ready for
// requests.
func (s engineState) residentNames() map[string]bool {
	names := make(map[string]bool)
	for _, h := range s.Holdings {
		names[h.Name] = h.Phase == "resident"
	}
	return names
}

// addPlacedEngine starts an engine that loads models only by order, and its side,
// and adds both to the inventory.
func (f *fleet) addPlacedEngine(name string, fencing bool, store string) {
	address := testkit.FreeAddress(f.t)
	args := []string{"engine", "--listen", address, "--name", name, "--step", fastStep.String(), "--memory", fmt.Sprint(engineMemory), "--store", store}
	fencingSetting := "no"
	if fencing {
		args, fencingSetting = append(args, "--fencing"), "yes"
	}
	f.start(name, "sesamewell-standin", args...)
	f.declareModel()
	fmt.Fprintf(&f.inventory, "[backend %s]\nkind = engine\nmemory = %d\nslots = 16\nfencing = %s\n", name, engineMemory, fencingSetting)
	f.addSideWithSettings("side-"+name, name, address, 16, fastOrderSettings)
}

// addModel adds a model of modelMemory bytes to the inventory.
func (f *fleet) addModel(name string) {
	fmt.Fprintf(&f.inventory, "[model %s]\nmemory = %d\n", name, modelMemory)
}

// addStore starts the weight store, adds its limits to the inventory and returns
// its address.
func (f *fleet) addStore() string {
	address := testkit.FreeAddress(f.t)
	f.start("store", "sesamewell-standin", "store", "--listen", address, "--rate", "20", "--length", "300ms")
	f.inventory.WriteString("[store weights]\nrate = 20\nloads = 11\nadapters = 90\n")
	return address
}

// awaitAnswers waits until each model answers a request.
func (f *fleet) awaitAnswers(models ...string) {
	f.t.Helper()
	for _, model := range models {
		call := requestConfig{path: "/v1/completions", key: tenantKey, body: fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":2}`, model)}
		var got answer
		for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
			if got = f.call(0, call); got.status == http.StatusOK || time.Now().After(deadline) {
				break
			}
		}
		if got.status != http.StatusOK {
			f.t.Fatalf("model %s: status %d: %s\n%s\n%s", model, got.status, got.body, f.processes["side-engine-1"].log, f.processes["entry-1"].log)
		}
	}
}

func (f *fleet) engineState(name string) engineState {
	f.t.Helper()
	var state engineState
	f.getJSON(f.backendAddresses[name], "/orders/state", &state)
	return state
}

// TestKilledSideDoesNotOvercommitMemory guards against loads beyond an engine's
// memory when a side is killed while some of its orders are yet to be executed late
// or a second time.
func TestKilledSideDoesNotOvercommitMemory(t *testing.T) {
	cases := map[string]struct{ fencing bool }{
		"engine checks fencing numbers":  {fencing: true},
		"engine ignores fencing numbers": {fencing: false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			store := f.addStore()
			for _, model := range []string{"evening-a", "evening-b"} {
				f.addModel(model)
			}
			f.addPlacedEngine("engine-1", tc.fencing, store)
			f.addEntry("entry-1", fastPlannerSettings)
			f.apply()
			f.awaitAnswers("trail-writer", "evening-a", "evening-b")

			changed := strings.NewReplacer("[model evening-a]", "[model morning-a]", "[model evening-b]", "[model morning-b]").Replace(f.inventory.String())
			f.inventory.Reset()
			f.inventory.WriteString(changed)
			f.post(f.backendAddresses["engine-1"], "/orders/faults", `{"late":2,"double":2,"after":1500}`)
			f.apply()
			f.awaitState("engine-1", func(s engineState) bool { return len(s.Holdings) < 3 })
			f.processes["side-engine-1"].signal(t, syscall.SIGKILL)
			f.processes["side-engine-1"].wait(t)
			f.startSide("side-engine-1")
			f.awaitAnswers("trail-writer", "morning-a", "morning-b")

			state := f.engineState("engine-1")
			if state.PeakUsed > engineMemory {
				t.Errorf("the engine held %d bytes at once, of %d", state.PeakUsed, int64(engineMemory))
			}
			want := map[string]bool{"trail-writer": true, "morning-a": true, "morning-b": true}
			if diff := cmp.Diff(want, state.residentNames()); diff != "" {
				t.Errorf("resident (-want +got):\n%s", diff)
			}
		})
	}
}

// awaitState waits until reached returns true for the engine's state.
func (f *fleet) awaitState(engine string, reached func(engineState) bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if reached(f.engineState(engine)) {
			return
		}
	}
	f.t.Fatalf("%s did not reach the expected state\n%s", engine, f.processes["side-"+engine].log)
}

func (f *fleet) post(address, path, body string) {
	f.t.Helper()
	response, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusOK {
		f.t.Fatalf("POST %s: status %d, %v", path, response.StatusCode, err)
	}
}
