// Command standin plays one case of the review: it starts the project's programs as
// separate processes among stand-ins for the store, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// outcome is what a case has shown.
type outcome struct {
	summary []string // lines at the start of the record
	broken  []string // how the rule was broken; empty if it held
}

// cases are the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (outcome, error){}

func main() {
	if len(os.Args) != 4 {
		names := make([]string, 0)
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standin CASE REPOSITORY RECORD, CASE one of %s\n", strings.Join(names, ", "))
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordPath string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitFailed
	}
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r := newRecord()
	f, err := newFleet(root, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.stop()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	got, err := run(f, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	summary := append([]string{fmt.Sprintf("case %s, disruption: %t", name, trouble)}, got.summary...)
	code := exitHeld
	if len(got.broken) == 0 {
		summary = append(summary, "the rule held")
	} else {
		code = exitBroken
		summary = append(summary, fmt.Sprintf("the rule was broken %d times:", len(got.broken)))
		summary = append(summary, got.broken[:min(len(got.broken), 20)]...)
	}
	fmt.Println(strings.Join(summary, "\n"))
	if err := r.write(recordPath, summary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
