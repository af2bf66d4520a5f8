package charter_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/charter"
)

func TestRouteIsTheLongestPrefixOfItsHost(t *testing.T) {
	c := charter.New(charter.Config{Routes: []charter.RouteConfig{
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
			route, _ := c.Route(tc.host, tc.path)
			if diff := cmp.Diff(tc.want, route.Name()); diff != "" {
				t.Errorf("route (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSharesOfARoute(t *testing.T) {
	c := charter.New(charter.Config{Routes: []charter.RouteConfig{{Host: "h", Prefix: "/", Shares: []charter.ShareConfig{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}}})
	route, _ := c.Route("h", "/")
	counts := make(map[string]int)
	for i := range 1000 {
		counts[route.Service(float64(i)/1000)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, counts); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

func TestCostOfARequest(t *testing.T) {
	cases := map[string]struct {
		tenant         charter.TenantConfig
		prompt, output int64
		want           float64
	}{
		"tokens":      {charter.TenantConfig{Name: "t", Keys: []string{"k"}, Tokens: true, Plain: 200}, 1460, 80, 1540},
		"plain":       {charter.TenantConfig{Name: "t", Keys: []string{"k"}, Tokens: true, Plain: 200}, 0, 0, 200},
		"by requests": {charter.TenantConfig{Name: "t", Keys: []string{"k"}}, 1460, 80, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tenant, ok := charter.New(charter.Config{Tenants: []charter.TenantConfig{tc.tenant}}).Holder("k")
			if diff := cmp.Diff(tc.want, tenant.Cost(tc.prompt, tc.output)); !ok || diff != "" {
				t.Errorf("held %v (-want +got):\n%s", ok, diff)
			}
		})
	}
}
