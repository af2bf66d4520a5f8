package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/testkit"
)

const crashMarker = "poisoned prompt"

// crashExitCode is the exit code of an engine that crashed on crashMarker.
const crashExitCode = 3

// startCrashingEngine starts or restarts an engine that crashes on crashMarker.
func (f *fleet) startCrashingEngine(name, address string) {
	f.start(name, "sesamewell-standin", "engine", "--listen", address, "--name", name, "--step", "5ms", "--preload", "--crash-on", crashMarker)
}

// addCrashingEngine starts an engine that crashes on crashMarker and its side,
// and adds both to the inventory.
func (f *fleet) addCrashingEngine(name string) {
	address := testkit.FreeAddress(f.t)
	f.startCrashingEngine(name, address)
	f.declareModel()
	fmt.Fprintf(&f.inventory, "[backend %s]\nkind = engine\nstatic = yes\nmemory = 80GiB\nslots = 4\n", name)
	f.addSide("side-"+name, name, address, 4)
}

// restartCrashed restarts those engines that have crashed and returns their
// number.
func (f *fleet) restartCrashed(engines ...string) int {
	f.t.Helper()
	crashed := 0
	for _, name := range engines {
		select {
		case <-f.processes[name].exited:
			crashed++
			if diff := cmp.Diff(crashExitCode, f.processes[name].exitCode); diff != "" {
				f.t.Errorf("exit code of %s (-want +got):\n%s\n%s", name, diff, f.processes[name].log)
			}
			f.startCrashingEngine(name, f.backendAddresses[name])
			f.awaitOK(name, "http://"+f.backendAddresses[name]+"/received")
		default:
		}
	}
	return crashed
}

func TestCrashingRequestQuarantinedOnAllEntries(t *testing.T) {
	f := newFleet(t)
	f.addCrashingEngine("engine-1")
	f.addCrashingEngine("engine-2")
	f.addEntry("entry-1", "")
	f.addEntry("entry-2", "")
	f.apply()
	crashing := requestConfig{
		path: "/v1/chat/completions", key: tenantKey,
		body: strings.Replace(chatBody(4, true), "hello", crashMarker, 1),
	}
	const maxSends = 6
	crashes, sends, refused := 0, 0, 0
	for refused < len(f.entryAddresses) && sends < maxSends {
		got := f.call(sends%len(f.entryAddresses), crashing)
		sends++
		crashes += f.restartCrashed("engine-1", "engine-2")
		if got.status == http.StatusUnprocessableEntity && got.header.Get(httpserver.OutcomeHeader) == httpserver.NotRun {
			refused++
		}
		for entry := range f.entryAddresses {
			if err := checkChat(f.call(entry, chatRequest(otherTenantKey, 5)), 5); err != nil {
				t.Errorf("other tenant's request at entry %d after send %d: %v", entry, sends, err)
			}
		}
	}
	t.Logf("%d engine crashes in %d sends", crashes, sends)
	if before := sends - refused; crashes < 2 || crashes > 2*before {
		t.Errorf("%d engine crashes in %d sends before the quarantine", crashes, before)
	}
	for entry := range f.entryAddresses {
		got := f.call(entry, crashing)
		want := []any{http.StatusUnprocessableEntity, httpserver.NotRun, true}
		if diff := cmp.Diff(want, []any{got.status, got.header.Get(httpserver.OutcomeHeader), strings.Contains(got.body, `"request_quarantined"`)}); diff != "" {
			t.Errorf("crashing request at entry %d (-want +got):\n%s\n%s", entry, diff, got.body)
		}
	}
	if diff := cmp.Diff(0, f.restartCrashed("engine-1", "engine-2")); diff != "" {
		t.Errorf("engine crashes after the quarantine (-want +got):\n%s", diff)
	}
}
