// Command cases runs the cases of this review that are scripts: CASE RECORD. It starts the
// project's programs as processes of their own and stands in for the store, the workers and
// the clients. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	what   string
}

var cases = map[string]func(f *fleet, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(2)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(118*time.Second, func() {
		f.note("the case did not end in time")
		f.end()
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, disruption %t", os.Args[1], trouble)
	v, err := cases[os.Args[1]](f, trouble)
	f.end()
	if err != nil {
		f.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	f.note("broken %t: %s", v.broken, v.what)
	fmt.Printf("broken %t: %s\n", v.broken, v.what)
	if v.broken {
		os.Exit(1)
	}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS, aimMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": aimMS, "priority": 2, "service": service, "max_attempts": attempts, "public": false,
		"sticky": kind == "streaming", "resumable": false, "gap_target_ms": 300,
	}
}

// configuration returns a configuration with one tenant without a quota.
func configuration(routes, services []any) map[string]any {
	return map[string]any{
		"routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "sellers", "api_keys": []string{"key-sellers"}, "priority": 1, "unit": "requests", "rate_per_s": 0, "burst": 0}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}
}

// startLobbies starts lobbies and waits until they are ready.
func startLobbies(f *fleet, n int) ([]*proc, error) {
	var lobbies []*proc
	for i := range n {
		p, err := f.start("lobby", fmt.Sprintf("front-%d", i+1), fmt.Sprintf("z%d", 1+i%2), f.nextIP())
		if err != nil {
			return nil, err
		}
		lobbies = append(lobbies, p)
	}
	for _, p := range lobbies {
		if err := p.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	return lobbies, nil
}
