package placement_test

import (
	"fmt"
	"testing"
	"time"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/placement"
)

// BenchmarkDecide measures one decision of the planner at the size of the target, 600
// engines and 1,600 models, and at smaller ones. The demand for a tenth of the models
// moves between two decisions.
func BenchmarkDecide(b *testing.B) {
	cases := map[string]struct{ engines, models int }{
		"18 engines, 31 models":     {18, 31},
		"117 engines, 213 models":   {117, 213},
		"600 engines, 1,600 models": {600, 1600},
	}
	for name, tc := range cases {
		b.Run(name, func(b *testing.B) {
			core := placement.NewCore(placement.CoreConfig{Self: self, PeerTimeout: time.Hour, LoadRateFactor: 1})
			engine := &deployment.EngineConfig{Slots: 16, Memory: 230, AdapterSlots: 8, LoadsPerSec: float64(tc.engines) / 8}
			for i := range tc.models {
				engine.Models = append(engine.Models, deployment.ModelConfig{Name: fmt.Sprintf("m%04d", i), Memory: 70, LoadTime: 4 * time.Second, Adapters: 3, AdapterSize: 0.5})
			}
			core.SetConfiguration(deployment.NewConfiguration(deployment.Config{Services: []deployment.ServiceConfig{{Name: "s", Engine: engine}}}))
			var list []deployment.Backend
			for i := range tc.engines {
				config := deployment.BackendConfig{ID: fmt.Sprintf("e%03d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 16}
				for k := range 3 {
					config.Holdings = append(config.Holdings, deployment.HoldingConfig{Model: engine.Models[(3*i+k)%tc.models].Name})
				}
				list = append(list, deployment.NewBackend(config))
			}
			core.SetBackends(list)
			now, round := noon, 0
			for b.Loop() {
				demand := make(map[string]float64)
				for i, model := range engine.Models {
					demand[model.Name] = 0.3 * float64(tc.engines) / float64(i+10)
					if (i+round)%10 == 0 {
						demand[model.Name] *= 3
					}
				}
				core.UpdatePeer(now, protocol.NewDigest(protocol.DigestConfig{Sender: self, Demand: demand}))
				core.Decide(now)
				now, round = now.Add(250*time.Millisecond), round+1
			}
		})
	}
}
