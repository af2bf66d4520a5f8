package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
)

// TestModelsAreLoadedInHomeRegions guards against requests with home regions, or streams of one
// software version, that are refused for good since all copies of their model are elsewhere, and
// against copies there that are evicted and loaded again and again.
func TestModelsAreLoadedInHomeRegions(t *testing.T) {
	cases := map[string]struct {
		demand   protocol.HomeDemandConfig
		others   float64 // demand for each model on e2 by other requests
		alone    bool    // e2 has the only copies of its models
		evacuate string
		want     bool // a copy of the model on e2, in the region south and of the version v2
	}{
		"no copy at home":               {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"south"}, Engines: 0.1}, want: true},
		"no copy, others in demand":     {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"south"}, Engines: 0.1}, others: 0.2, want: true},
		"no copy, others have no other": {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"south"}, Engines: 0.1}, others: 0.2, alone: true, want: true},
		"copy in one of the regions":    {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"north", "south"}, Engines: 0.1}},
		"hardly any demand":             {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"south"}, Engines: 0.001}},
		"no copy at the version":        {demand: protocol.HomeDemandConfig{Model: "a", Version: "v2", Engines: 0.1}, others: 0.2, want: true},
		"copy at the version":           {demand: protocol.HomeDemandConfig{Model: "a", Version: "v1", Engines: 0.1}, others: 0.2},
		"no copy at home, of v2":        {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"south"}, Version: "v2", Engines: 0.1}, want: true},
		"no backend server of v1 there": {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"south"}, Version: "v1", Engines: 0.1}},
		"unknown region":                {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"west"}, Engines: 0.1}},
		"unknown model":                 {demand: protocol.HomeDemandConfig{Model: "x", Regions: []string{"south"}, Engines: 0.1}},
		"home is evacuated":             {demand: protocol.HomeDemandConfig{Model: "a", Regions: []string{"south"}, Engines: 0.1}, evacuate: "d2"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(map[string][]string{"e1": {"a", "b", "c"}, "e2": {"d", "e", "f"}, "e3": {"d", "e", "f"}})
			if tc.alone {
				delete(f.loaded, "e3")
			}
			f.domains = map[string]string{"e1": "d1", "e2": "d2", "e3": "d3"}
			f.versions = map[string]string{"e1": "v1", "e2": "v2", "e3": "v1"}
			f.demand = map[string]float64{tc.demand.Model: tc.demand.Engines, "d": tc.others, "e": tc.others, "f": tc.others}
			f.homeDemand = []protocol.HomeDemandConfig{tc.demand}
			f.evacuate(tc.evacuate)
			f.advance(20 * time.Second)
			if diff := cmp.Diff(tc.want, slices.Contains(f.loaded["e2"], "a")); diff != "" {
				t.Errorf("copy at home (-want +got):\n%s; loaded %v", diff, f.loaded)
			}
			loads := f.loads
			f.advance(30 * time.Second)
			if diff := cmp.Diff(loads, f.loads); diff != "" {
				t.Errorf("loads under constant demand (-want +got):\n%s", diff)
			}
		})
	}
}
