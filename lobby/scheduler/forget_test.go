package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/scheduler"
)

// TestNamesOfEarlierVersionsAreForgotten guards against memory that grows with each version of
// the configuration that has other names, and with each backend server that leaves.
func TestNamesOfEarlierVersionsAreForgotten(t *testing.T) {
	// named returns a configuration whose names end with a number.
	named := func(n int, rename func(config *deployment.Config, suffix string)) *deployment.Configuration {
		config := fixtureConfiguration().Config()
		config.Version = int64(n + 2)
		rename(&config, fmt.Sprint("-", n))
		return deployment.NewConfiguration(config)
	}
	const names = 9 // that are kept of one version
	cases := map[string]struct {
		rename func(config *deployment.Config, suffix string)
		want   int
	}{
		"same names": {rename: func(*deployment.Config, string) {}, want: names},
		"routes": {rename: func(config *deployment.Config, suffix string) {
			for i := range config.Routes {
				config.Routes[i].Name += suffix
			}
		}, want: names},
		"services": {rename: func(config *deployment.Config, suffix string) {
			for i := range config.Services {
				config.Services[i].Name += suffix
			}
			for i := range config.Routes {
				config.Routes[i].Shares = []deployment.ShareConfig{{Service: config.Routes[i].Shares[0].Service + suffix, Weight: 1}}
			}
		}, want: names},
		"tenants": {rename: func(config *deployment.Config, suffix string) {
			config.Tenants = []deployment.TenantConfig{{Name: "t" + suffix, Keys: []string{"k"}}}
		}, want: names},
		"models": {rename: func(config *deployment.Config, suffix string) {
			engine := *engineConfig()
			engine.Models = append(engine.Models, deployment.ModelConfig{Name: "new" + suffix, Memory: 70})
			config.Services[1].Engine = &engine
		}, want: names + 1}, // the backend server held the model before at the last change
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			for n := range 50 {
				configuration := named(n, tc.rename)
				f.core.Handle(f.now, scheduler.NewConfigurationChanged(configuration))
				services := configuration.Config().Services
				plain, engine := plainServer("p1"), engineServer("e1")
				plain.Service, engine.Service = services[0].Name, services[1].Name
				models := services[1].Engine.Models
				newest := models[len(models)-1].Name
				engine.Holdings = append(engine.Holdings, deployment.HoldingConfig{Model: newest})
				f.list(plain, engine)
				for _, request := range []httpmeta.RequestConfig{{Path: "/safe/a"}, {Path: "/stream/a", Model: newest, PromptTokens: 1000}} {
					request.APIKey, request.Timeout = "k", time.Second
					f.arrive(request)
					f.core.Handle(f.now, scheduler.NewStreamStarted(f.number))
					f.core.Handle(f.now, scheduler.NewSendEnded(f.number, scheduler.Complete, 200))
				}
				f.now = f.now.Add(time.Second)
				f.core.Tick(f.now)
			}
			if diff := cmp.Diff(tc.want, f.core.Names()); diff != "" {
				t.Errorf("names that are kept (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBackendServersThatLeaveAreForgotten guards against memory that grows with each backend
// server that leaves.
func TestBackendServersThatLeaveAreForgotten(t *testing.T) {
	f := newFixture(engineServer("e1"))
	for n := range 6000 {
		f.core.Handle(f.now, scheduler.NewDigestReceived(protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Serial: int64(n + 1), Leaving: map[string]int64{fmt.Sprint("gone-", n): int64(n)}})))
	}
	if diff := cmp.Diff(4096, f.core.Names()); diff != "" {
		t.Errorf("names that are kept (-want +got):\n%s", diff)
	}
	left := engineServer("gone-5999")
	left.StartTime = 5999
	f.list(left, engineServer("e1"))
	checkActions(t, "request", []string{"send e1"}, f.arrive(httpmeta.RequestConfig{Path: "/stream/a", Model: "m"}))
}
