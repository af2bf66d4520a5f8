package httpmeta_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpmeta"
)

func TestFingerprintsDifferWithTheContent(t *testing.T) {
	base := httpmeta.FingerprintConfig{Method: "POST", Host: "h", Path: "/a", Caller: "k", Body: []byte("body")}
	cases := map[string]struct {
		change func(config *httpmeta.FingerprintConfig)
		same   bool
	}{
		"nothing":                    {change: func(*httpmeta.FingerprintConfig) {}, same: true},
		"method":                     {change: func(c *httpmeta.FingerprintConfig) { c.Method = "GET" }},
		"host":                       {change: func(c *httpmeta.FingerprintConfig) { c.Host = "i" }},
		"path":                       {change: func(c *httpmeta.FingerprintConfig) { c.Path = "/a/b" }},
		"caller":                     {change: func(c *httpmeta.FingerprintConfig) { c.Caller = "l" }},
		"body":                       {change: func(c *httpmeta.FingerprintConfig) { c.Body = []byte("other") }},
		"bytes moved between fields": {change: func(c *httpmeta.FingerprintConfig) { c.Caller, c.Body = "kb", []byte("ody") }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			changed := base
			tc.change(&changed)
			if diff := cmp.Diff(tc.same, httpmeta.NewFingerprint(changed) == httpmeta.NewFingerprint(base)); diff != "" {
				t.Errorf("same fingerprint (-want +got):\n%s", diff)
			}
		})
	}
}
