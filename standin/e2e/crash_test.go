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

// crashExit is the exit code of an engine that crashed on the marker.
const crashExitCode = 3

// startCrashing starts, or starts again, an engine that crashes on the marker.
func (f *fleet) startCrashingEngine(name, address string) {
	f.start(name, "sesamewell-standin", "engine", "--listen", address, "--name", name, "--step", "5ms", "--preload", "--crash-on", crashMarker)
}

// addCrashing adds such an engine with its side.
func (f *fleet) addCrashingEngine(name string) {
	address := testkit.FreeAddress(f.t)
	f.startCrashingEngine(name, address)
	f.declareModel()
	fmt.Fprintf(&f.inventory, "[backend %s]\nkind = engine\nstatic = yes\nmemory = 80GiB\nslots = 4\n", name)
	f.addSide("side-"+name, name, address, 4)
}

// revive starts the engines that have crashed again and returns their number.
func (f *fleet) restartCrashed(engines ...string) int {
	f.t.Helper()
	dead := 0
	for _, name := range engines {
		select {
		case <-f.processes[name].exited:
			dead++
			if diff := cmp.Diff(crashExitCode, f.processes[name].exitCode); diff != "" {
				f.t.Errorf("exit code of %s (-want +got):\n%s\n%s", name, diff, f.processes[name].log)
			}
			f.startCrashingEngine(name, f.backendAddresses[name])
			f.awaitOK(name, "http://"+f.backendAddresses[name]+"/received")
		default:
		}
	}
	return dead
}

func TestCrashingRequestQuarantinedOnAllEntries(t *testing.T) {
	f := newFleet(t)
	f.addCrashingEngine("engine-1")
	f.addCrashingEngine("engine-2")
	f.addEntry("entry-1", "")
	f.addEntry("entry-2", "")
	f.apply()
	marked := requestConfig{
		path: "/v1/chat/completions", key: tenantKey,
		body: strings.Replace(chatBody(4, true), "hello", crashMarker, 1),
	}
	const maxSendings = 6
	deaths, sendings, refused := 0, 0, 0
	for refused < len(f.entryAddresses) && sendings < maxSendings {
		got := f.call(sendings%len(f.entryAddresses), marked)
		sendings++
		deaths += f.restartCrashed("engine-1", "engine-2")
		if got.status == http.StatusUnprocessableEntity && got.header.Get(httpserver.OutcomeHeader) == httpserver.NotRun {
			refused++
		}
		for entry := range f.entryAddresses {
			if err := checkChat(f.call(entry, chatRequest(otherTenantKey, 5)), 5); err != nil {
				t.Errorf("bystander at entry %d after sending %d: %v", entry, sendings, err)
			}
		}
	}
	t.Logf("%d engine deaths in %d sendings", deaths, sendings)
	if before := sendings - refused; deaths < 2 || deaths > 2*before {
		t.Errorf("%d engine deaths in %d sendings before the quarantine", deaths, before)
	}
	for entry := range f.entryAddresses {
		got := f.call(entry, marked)
		want := []any{http.StatusUnprocessableEntity, httpserver.NotRun, true}
		if diff := cmp.Diff(want, []any{got.status, got.header.Get(httpserver.OutcomeHeader), strings.Contains(got.body, `"request_quarantined"`)}); diff != "" {
			t.Errorf("marked request at entry %d (-want +got):\n%s\n%s", entry, diff, got.body)
		}
	}
	if diff := cmp.Diff(0, f.restartCrashed("engine-1", "engine-2")); diff != "" {
		t.Errorf("engine deaths after the quarantine (-want +got):\n%s", diff)
	}
}
