package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// write writes the record to a file, the summary first.
func (r *record) write(path string, summary []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(append(append(summary, ""), r.lines...), "\n")+"\n"), 0o644)
}
