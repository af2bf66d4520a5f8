package auth_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/entry/auth"
)

func newInventory(t *testing.T, key, tenant string) *fleetstate.Inventory {
	t.Helper()
	text := fmt.Sprintf(`[tenant lantern]
rate = 10
burst = 10
[tenant visitors]
rate = 10
burst = 10
[key k]
tenant = %s
sha256 = %s
[route chat]
path = /v1
[route hours]
path = /hours
open = yes
tenant = visitors
`, tenant, fleetstate.HashKey(key))
	parsed, err := fleetstate.ParseInventory("inv.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestAuthenticate(t *testing.T) {
	cases := map[string]struct {
		path   string
		header string
		tenant string
		want   error
	}{
		"known key":               {path: "/v1/models", header: "Bearer secret", tenant: "lantern"},
		"scheme in lower case":    {path: "/v1/models", header: "bearer secret", tenant: "lantern"},
		"no key":                  {path: "/v1/models", want: auth.ErrMissingKey},
		"other scheme":            {path: "/v1/models", header: "Basic secret", want: auth.ErrMissingKey},
		"unknown key":             {path: "/v1/models", header: "Bearer guess", want: auth.ErrUnknownKey},
		"open route":              {path: "/hours", tenant: "visitors"},
		"open route, known key":   {path: "/hours", header: "Bearer secret", tenant: "lantern"},
		"open route, unknown key": {path: "/hours", header: "Bearer guess", want: auth.ErrUnknownKey},
	}
	current := newInventory(t, "secret", "lantern")
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			route, ok := current.RouteFor(tc.path)
			if !ok {
				t.Fatalf("no route for %s", tc.path)
			}
			principal, err := auth.Authenticate(current, route, tc.header)
			if !errors.Is(err, tc.want) {
				t.Errorf("error = %v, want %v", err, tc.want)
			}
			if diff := cmp.Diff(tc.tenant, principal.Tenant()); diff != "" {
				t.Errorf("tenant (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPrincipalIsValidWhileItsKeyIs(t *testing.T) {
	cases := map[string]struct {
		later *fleetstate.Inventory
		want  bool
	}{
		"unchanged":               {later: newInventory(t, "secret", "lantern"), want: true},
		"withdrawn":               {later: newInventory(t, "other", "lantern"), want: false},
		"moved to another tenant": {later: newInventory(t, "secret", "visitors"), want: false},
	}
	original := newInventory(t, "secret", "lantern")
	route, _ := original.RouteFor("/v1")
	principal, err := auth.Authenticate(original, route, "Bearer secret")
	if err != nil {
		t.Fatal(err)
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, principal.Valid(tc.later)); diff != "" {
				t.Errorf("valid (-want +got):\n%s", diff)
			}
		})
	}
}
