package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run, one line each, with the time since the
// start of the case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// verdict writes the result of the case and returns its exit code.
func (r *record) verdict(broken bool, format string, args ...any) int {
	text, code := "HELD", exitHeld
	if broken {
		text, code = "BROKEN", exitBroken
	}
	line := fmt.Sprintf("%s: %s", text, fmt.Sprintf(format, args...))
	r.printf("%s", line)
	fmt.Println(line)
	return code
}

// notRun writes why the case could not run and returns its exit code.
func (r *record) notRun(err error) int {
	r.printf("NOT RUN: %v", err)
	fmt.Println("NOT RUN:", err)
	return exitNotRun
}
