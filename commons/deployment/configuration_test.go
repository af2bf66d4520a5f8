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
		"short prefix":                {"h", "/a/x", "short"},
		"long prefix":                 {"h", "/a/b/x", "long"},
		"longer prefix of other host": {"h", "/a/b/c/x", "long"},
		"path equals prefix":          {"h", "/a/b/", "long"},
		"prefix without final slash":  {"h", "/a/b", "short"},
		"unknown host":                {"j", "/a/x", ""},
		"no matching prefix":          {"h", "/", ""},
		"prefix in other case":        {"h", "/A/x", ""},
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
		"counts tokens":    {deployment.TenantConfig{Name: "t", Keys: []string{"k"}, CountsTokens: true, DefaultTokens: 200}, 1460, 80, 1540},
		"states no tokens": {deployment.TenantConfig{Name: "t", Keys: []string{"k"}, CountsTokens: true, DefaultTokens: 200}, 0, 0, 200},
		"counts requests":  {deployment.TenantConfig{Name: "t", Keys: []string{"k"}}, 1460, 80, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tenant, ok := deployment.NewConfiguration(deployment.Config{Tenants: []deployment.TenantConfig{tc.tenant}}).TenantByKey("k")
			if diff := cmp.Diff(tc.want, tenant.Cost(tc.prompt, tc.output)); !ok || diff != "" {
				t.Errorf("key known %v, cost (-want +got):\n%s", ok, diff)
			}
		})
	}
}
