package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/lobby/resumption"
)

// TestStartRateCountsSlotsAtHome guards against callers with home regions that are asked to
// return at the rate of slots which they cannot use.
func TestStartRateCountsSlotsAtHome(t *testing.T) {
	c := NewCore(CoreConfig{Streams: resumption.New(), Regions: map[string]string{"d1": "north", "d2": "south"}})
	c.configuration = deployment.NewConfiguration(deployment.Config{})
	for domain, slots := range map[string]int{"d1": 2, "d2": 6} {
		s := newServer(deployment.NewBackend(deployment.BackendConfig{ID: domain, Service: "plain", Domain: domain, Slots: slots}))
		s.listed = true
		c.byService["plain"] = append(c.byService["plain"], s)
	}
	rate := func(regions ...string) float64 {
		req := &openRequest{request: httpmeta.NewRequest(httpmeta.RequestConfig{}), service: "plain", homes: homes{}.and(regions)}
		return c.startRate(coldNoon, req)
	}
	all := rate()
	if diff := cmp.Diff([]float64{all / 4, all * 3 / 4}, []float64{rate("north"), rate("south")}); diff != "" {
		t.Errorf("rates in one of two regions (-want +got):\n%s", diff)
	}
}
