package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/inifile"
)

// crashingBackend is a fake model engine that ends its connection under each request, as if
// it had crashed, and counts them.
type crashingBackend struct{ crashes *atomic.Int64 }

func (b crashingBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	b.crashes.Add(1)
}

// TestCrashingRequestIsHeldBackByTheNextProcess guards against a lobby that forgets, when it
// ends, which request crashes backend servers, while no other one is there to tell it.
func TestCrashingRequestIsHeldBackByTheNextProcess(t *testing.T) {
	var crashes atomic.Int64
	backends := make(map[string]string)
	for n := range 6 {
		backends[fmt.Sprint("i-", n)] = listEntry(newScriptedBackend(t, crashingBackend{&crashes}.serve))
	}
	store, storeAddress := newOperatorStore(t, platformConfig, backends)
	store.shared.Store(true)
	start := func(ctx context.Context) (*inifile.Values, *logBuffer) {
		settings := parseLobbySettings(t, storeAddress)
		return settings, runLobbyUntil(ctx, t, settings)
	}
	ctx, cancel := context.WithCancel(t.Context())
	settings, log := start(ctx)
	for n := 0; !log.contains("event=quarantined"); n++ {
		if n == 40 {
			t.Fatalf("not quarantined after %d crashes", crashes.Load())
		}
		sendRequest(t, settings.Address("porch", "listen"), fmt.Sprint("r-", n), "/a/ok", "m")
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond) // until the last crash is saved
	if !strings.Contains(store.newest("keyed.suspects"), `"key"`) {
		t.Error("nothing was saved")
	}
	cancel()
	before := crashes.Load()
	settings, log = start(t.Context())
	awaitLine(t, log, "event=suspects_recalled")
	if status := sendRequest(t, settings.Address("porch", "listen"), "r-after", "/a/ok", "m"); status == http.StatusOK {
		t.Errorf("status %d", status)
	}
	if diff := cmp.Diff(before, crashes.Load()); diff != "" {
		t.Errorf("requests that reached backend servers (-want +got):\n%s", diff)
	}
}
