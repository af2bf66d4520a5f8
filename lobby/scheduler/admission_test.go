package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/scheduler"
)

// TestMadeUpModelsAreOneDemand guards against memory and digests that grow with the names that
// callers make up: each was kept for some seconds, however many there were.
func TestMadeUpModelsAreOneDemand(t *testing.T) {
	held := engineServer("e1")
	held.Holdings = append(held.Holdings, deployment.HoldingConfig{Model: "dropped"})
	cases := map[string]struct {
		model func(n int) string
		want  []string // models with a demand
		sent  int
	}{
		"made up":              {model: func(n int) string { return strings.Repeat("x", 100) + fmt.Sprint(n) }, want: []string{httpmeta.UnknownModel}},
		"made up, adapter":     {model: func(n int) string { return fmt.Sprint("x", n, "/a1") }, want: []string{httpmeta.UnknownModel}},
		"configured":           {model: func(int) string { return "n" }, want: []string{"n"}},
		"held, not configured": {model: func(int) string { return "dropped" }, want: []string{"dropped"}, sent: 20},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(held)
			sent := 0
			for n := range 20 {
				model, adapter, _ := strings.Cut(tc.model(n), "/")
				for _, action := range f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: model, Adapter: adapter}) {
					if _, ok := action.(scheduler.Send); ok {
						sent++
					}
				}
			}
			demand := make(map[string]bool)
			for range 20 {
				f.now = f.now.Add(100 * time.Millisecond)
				for _, action := range f.core.Tick(f.now) {
					if broadcast, ok := action.(scheduler.Broadcast); ok {
						for model := range broadcast.Demand() {
							demand[model] = true
						}
					}
				}
			}
			if diff := cmp.Diff([]any{tc.want, tc.sent}, []any{slices.Sorted(maps.Keys(demand)), sent}); diff != "" {
				t.Errorf("models with a demand, requests sent (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMadeUpAdaptersAreNotFetched guards against orders for adapters whose names callers make up:
// a keeper would order its engine to load each, and unload others for them.
func TestMadeUpAdaptersAreNotFetched(t *testing.T) {
	cases := map[string]struct {
		model, adapter string
		want           []string // decisions on the request
	}{
		"configured":               {model: "m", adapter: "a9", want: []string{"fetch e1 m/a9"}},
		"held, not configured":     {model: "m", adapter: "own", want: []string{"fetch e1 m/own"}},
		"number beyond the last":   {model: "m", adapter: "a10"},
		"number before the first":  {model: "m", adapter: "a0"},
		"number in another form":   {model: "m", adapter: "a09"},
		"made up":                  {model: "m", adapter: "x1"},
		"made up, of large number": {model: "m", adapter: "a99999999999999999999"},
		"model without adapters":   {model: "n", adapter: "a1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(engineServer("e1", "own"))
			checkActions(t, "request", tc.want, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: tc.model, Adapter: tc.adapter}))
		})
	}
}
