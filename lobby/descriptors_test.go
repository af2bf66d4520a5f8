package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLobbyServesWithAllDescriptorsInUse keeps more connections of callers open than a
// lobby has descriptors. Without a limit it closed all of them, those with requests too,
// and served nobody any more, since its event loop could not be started again.
func TestLobbyServesWithAllDescriptorsInUse(t *testing.T) {
	const descriptors, callers = 256, 400
	type outcome struct {
		Answered, SteadyFailures, Ready int
	}
	store := newStore(t, platformConfig, map[string]string{"i-1": listEntry(newBackend(t)), "i-2": listEntry(newBackend(t))})
	p := startProcess(t, store, descriptors, testGrace)
	steady, err := dialCaller(p.address)
	if err != nil {
		t.Fatal(err)
	}
	var got outcome
	for n := range callers {
		c, err := dialCaller(p.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.conn.Close() })
		if status, _, err := c.send(fmt.Sprint("new-", n), "/a/ok"); err == nil && status == http.StatusOK {
			got.Answered++
		}
		if status, _, err := steady.send(fmt.Sprint("steady-", n), "/a/ok"); err != nil || status != http.StatusOK {
			got.SteadyFailures++
		}
		time.Sleep(5 * time.Millisecond) // the connections that were opened first become idle
	}
	if response, err := http.Get("http://" + p.probe + "/sesamewell/ready"); err == nil {
		_ = response.Body.Close()
		got.Ready = response.StatusCode
	}
	if diff := cmp.Diff(outcome{Answered: callers, Ready: http.StatusOK}, got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if !p.log.contains("event=connections ") {
		t.Error("no line with event=connections")
	}
}
