package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/inifile"
)

// serveRevision starts a server whose status page has the given revision, and
// returns its address.
func serveRevision(t *testing.T, revision int) string {
	t.Helper()
	return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"revision":%d}`, revision)
	})
}

// startServer starts an HTTP server and returns its address.
func startServer(t *testing.T, answer http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: answer}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func TestAwaitRevisionListsLaggingInstances(t *testing.T) {
	cases := map[string]struct {
		revisions []int // zero for an unreachable instance
		lagging   []string
	}{
		"all in force":               {revisions: []int{4, 5}},
		"one lagging":                {revisions: []int{4, 3, 4}, lagging: []string{"i1 at"}},
		"one unreachable":            {revisions: []int{0, 4}, lagging: []string{"i0 at"}},
		"all lagging or unreachable": {revisions: []int{3, 0}, lagging: []string{"i0 at", "i1 at"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var targets []target
			for i, revision := range tc.revisions {
				address := "127.0.0.1:1"
				if revision > 0 {
					address = serveRevision(t, revision)
				}
				targets = append(targets, target{name: fmt.Sprint("i", i), address: address})
			}
			var out bytes.Buffer
			err := awaitRevision(&out, 4, targets, time.Time{})
			if got, want := errors.Is(err, errLagging), len(tc.lagging) > 0; got != want {
				t.Errorf("error = %v, lagging %v", err, want)
			}
			var got []string
			for line := range strings.Lines(out.String()) {
				got = append(got, line[:len("i0 at")])
			}
			if diff := cmp.Diff(tc.lagging, got); diff != "" {
				t.Errorf("lagging instances (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnresponsiveInstanceDelaysNoOther checks that an instance is not reported as
// lagging if it reaches the revision while another one accepts a call and never
// answers it.
func TestUnresponsiveInstanceDelaysNoOther(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var calls atomic.Int64
	catchingUp := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"revision":%d}`, min(2+calls.Add(1), 4))
	})
	var out bytes.Buffer
	err = awaitRevision(&out, 4, []target{{name: "late", address: catchingUp}, {name: "silent", address: listener.Addr().String()}}, time.Now().Add(time.Second))
	if !errors.Is(err, errLagging) || !strings.Contains(err.Error(), "1 of 2") || strings.Contains(out.String(), "late at") {
		t.Errorf("error = %v; %s", err, out.String())
	}
}

func TestCheckReportsMissingMemory(t *testing.T) {
	const engines = "[backend e1]\nkind = engine\nmemory = 80GiB\nslots = 1\n[backend e2]\nkind = engine\nmemory = 80GiB\nslots = 1\n"
	cases := map[string]struct {
		text string
		want []string
	}{
		"all fit":                           {text: engines + "[model a]\nmemory = 70GiB\n[model b]\nmemory = 70GiB\n"},
		"no engine":                         {text: "[model a]\nmemory = 1GiB\n", want: []string{":2: no backend server takes model a; add one with kind = engine"}},
		"larger than every engine":          {text: engines + "[model a]\nmemory = 79GiB\ncache = 2GiB\n", want: []string{":10: model a takes 81GiB with its cache and adapters, but the largest engine, e1, has 80GiB; lower cache, move adapters or add an engine with 81GiB"}},
		"larger than all engines together":  {text: engines + "[model a]\nmemory = 60GiB\n[model b]\nmemory = 60GiB\n[model c]\nmemory = 60GiB\n", want: []string{":10: the models take 180GiB together with caches and adapters, but the engines have 160GiB; add engines with 20GiB more or remove models"}},
		"no single engine with enough room": {text: engines + "[model a]\nmemory = 50GiB\n[model b]\nmemory = 50GiB\n[model c]\nmemory = 50GiB\n", want: []string{":14: the engines have room enough in all, but not in one piece for c; add an engine or make models smaller"}},
		"draining engine":                   {text: engines + "draining = yes\n[model a]\nmemory = 70GiB\n[model b]\nmemory = 70GiB\n", want: []string{":11: the models take 140GiB together with caches and adapters, but the engines have 80GiB; add engines with 60GiB more or remove models"}},
		"several faults":                    {text: engines + "[model a]\nmemory = 90GiB\n[adapter x]\nmodel = z\nmemory = 1MiB\n", want: []string{":10: model a takes 90GiB with its cache and adapters, but the largest engine, e1, has 80GiB; lower cache, move adapters or add an engine with 90GiB", `:12: model "z" is not described; add [model z] or mend the name`}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "inventory.ini")
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			err := check(&bytes.Buffer{}, path)
			var got []string
			var faults *inifile.Faults
			if errors.As(err, &faults) {
				for _, fault := range faults.List() {
					got = append(got, strings.TrimPrefix(fault.String(), path))
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("faults (-want +got):\n%s", diff)
			}
		})
	}
}
