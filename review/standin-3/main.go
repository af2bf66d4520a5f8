// Command rig3 plays one case of the review: it starts the project's programs and stand-ins of
// clients, workers and the platform's store on loopback addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// scene is what a case plays on.
type scene struct {
	fleet   *fleet
	store   *store
	log     *record
	trouble bool
}

var cases = map[string]func(s *scene) (broken bool, err error){
	"endless-event":  playEndlessEvent,
	"versions":       playVersions,
	"limit":          playLimit,
	"endless-status": playEndlessStatus,
	"in-place":       playInPlace,
	"take-ups":       playTakeUps,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return failed
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	log := newRecord()
	s := &scene{fleet: newFleet(root, dir, log), log: log, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.fleet.stopAll()
	go func() { // no case runs for longer
		time.Sleep(110 * time.Second)
		log.add("the case takes too long")
		_ = log.save(filepath.Join(folder, "record.txt"))
		s.fleet.stopAll()
		os.Exit(failed)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.fleet.stopAll()
		os.Exit(failed)
	}()
	if s.store, err = newStore(s.fleet.store); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	wrong, err := play(s)
	result := held
	switch {
	case err != nil:
		log.add("the case could not run: %v", err)
		result = failed
	case wrong:
		log.add("the rule was broken")
		result = broken
	default:
		log.add("the rule held")
	}
	if err := log.save(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return result
}
