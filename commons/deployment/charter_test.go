package deployment_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
)

func TestRouteForReturnsLongestPrefixOfHost(t *testing.T) {
	c := deployment.NewConfiguration(deployment.Config{Routes: []deployment.RouteConfig{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/a/b/c/"},
	}})
	cases := map[string]struct{ host, path, want string }{
		"short":        {"h", "/a/x", "short"},
		"long":         {"h", "/a/b/x", "long"},
		"other host":   {"h", "/a/b/c/x", "long"},
		"the prefix":   {"h", "/a/b/", "long"},
		"without end":  {"h", "/a/b", "short"},
		"no host":      {"j", "/a/x", ""},
		"no prefix":    {"h", "/", ""},
		"not the case": {"h", "/A/x", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			route, _ := c.RouteFor(tc.host, tc.path)
			if diff := cmp.Diff(tc.want, route.Name()); diff != "" {
				t.Errorf("route (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	c := deployment.NewConfiguration(deployment.Config{Routes: []deployment.RouteConfig{{Host: "h", Prefix: "/", Shares: []deployment.ShareConfig{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}}})
	route, _ := c.RouteFor("h", "/")
	counts := make(map[string]int)
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, counts); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

func TestTenantCost(t *testing.T) {
	cases := map[string]struct {
		tenant         deployment.TenantConfig
		prompt, output int64
		want           float64
	}{
		"tokens":      {deployment.TenantConfig{Name: "t", Keys: []string{"k"}, CountsTokens: true, DefaultTokens: 200}, 1460, 80, 1540},
		"plain":       {deployment.TenantConfig{Name: "t", Keys: []string{"k"}, CountsTokens: true, DefaultTokens: 200}, 0, 0, 200},
		"by requests": {deployment.TenantConfig{Name: "t", Keys: []string{"k"}}, 1460, 80, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tenant, ok := deployment.NewConfiguration(deployment.Config{Tenants: []deployment.TenantConfig{tc.tenant}}).TenantByKey("k")
			if diff := cmp.Diff(tc.want, tenant.Cost(tc.prompt, tc.output)); !ok || diff != "" {
				t.Errorf("held %v (-want +got):\n%s", ok, diff)
			}
		})
	}
}
