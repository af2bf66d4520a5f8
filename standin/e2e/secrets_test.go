package e2e

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"sesamewell.example/commons/fleetstate"
)

// getPage returns the text of an operators' page of an instance.
func (f *fleet) getPage(instance, path string) string {
	f.t.Helper()
	response, err := http.Get("http://" + f.operatorAddresses[instance] + path)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

func TestSecretsNotExposed(t *testing.T) {
	f := newFleet(t)
	f.addEngine("engine-1", 16, fastStep)
	f.addService("booking-1")
	f.addEntry("entry-1", "")
	f.apply()
	const guess = "a-guessed-key-that-is-not-known"
	calls := map[string]requestConfig{
		"granted":   chatRequest(tenantKey, 2),
		"guessed":   chatRequest(guess, 2),
		"bad body":  {path: "/v1/chat/completions", key: tenantKey, body: "{"},
		"booking":   {path: "/bookings", key: otherTenantKey, body: "gate 4"},
		"no scheme": {path: "/bookings", header: map[string]string{"Authorization": tenantKey}},
	}
	var traces []string
	for name, call := range calls {
		got := f.call(0, call)
		if got.err != nil {
			t.Fatalf("%s: %v", name, got.err)
		}
		if strings.Contains(got.body, tenantKey) || strings.Contains(got.body, guess) {
			t.Errorf("%s: the answer repeats the key", name)
		}
		traces = append(traces, strings.Split(got.header.Get("Traceparent"), "-")[1])
	}
	texts := make(map[string]string)
	for instance := range f.operatorAddresses {
		texts[instance+" metrics"] = f.getPage(instance, "/metrics")
		texts[instance+" status"] = f.getPage(instance, "/status")
		for _, trace := range traces {
			texts[instance+" traces"] += f.getPage(instance, "/traces/"+trace)
		}
	}
	for name, process := range f.processes {
		texts[name+" log"] = process.log.String()
	}
	for source, text := range texts {
		if text == "" {
			t.Errorf("%s is empty", source)
		}
		for name, secret := range map[string]string{
			"a key": tenantKey, "another key": otherTenantKey, "a guessed key": guess, "the fleet's secret": fleetSecret,
			"the hash of a guessed key": fleetstate.HashKey(guess),
		} {
			if strings.Contains(text, secret) {
				t.Errorf("%s contains %s", source, name)
			}
		}
	}
}

func TestBadSettingsReportFileAndLine(t *testing.T) {
	cases := map[string]struct {
		program string
		text    string
		want    string
	}{
		"entry, missing key": {program: "sesamewell-entry", text: "[process]\ninstance = e\n", want: `settings.ini:1: [process] needs the key "domain"`},
		"side, bad address":  {program: "sesamewell-side", text: "[desk]\nlisten = here\n", want: `settings.ini:2: listen = "here": want an IP number and a port`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.ini")
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			command := exec.Command(filepath.Join(binDir, tc.program), path)
			out, err := command.CombinedOutput()
			if err == nil || command.ProcessState.ExitCode() != 2 {
				t.Errorf("exit: %v, want code 2", err)
			}
			if !strings.Contains(string(out), tc.want) {
				t.Errorf("output %q lacks %q", out, tc.want)
			}
		})
	}
}
