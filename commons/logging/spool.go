package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/ring"
)

const (
	queueCapacity = 4096                   // lines that wait for the output
	routineLimit  = 3 * queueCapacity / 4  // depth beyond which routine lines are dropped
	batchSize     = 256                    // lines written at once
	flushTimeout  = 300 * time.Millisecond // longest wait for the last lines at the end
)

// telling are the levels of the lines that are dropped last: refusals and
// failures are logged as warnings, what goes well is not.
var importantLevels = [][]byte{[]byte("level=warning"), []byte("level=error")}

// Spool is responsible for writing log lines on a thread of its own: whoever
// logs never waits for the output. What does not fit is dropped and counted, and
// a line says how many were.
type AsyncWriter struct {
	out     io.Writer
	lines   *ring.Ring
	dropped atomic.Uint64
}

// NewSpool returns a spool before an output.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: ring.New(ring.Config{Name: "log", Capacity: queueCapacity})}
}

// Write takes one line. It never fails and never waits.
func (s *AsyncWriter) Write(line []byte) (int, error) {
	if s.lines.Depth() > routineLimit && !isImportant(line) || s.lines.Put(bytes.Clone(line)) != nil {
		s.dropped.Add(1)
	}
	return len(line), nil
}

func isImportant(line []byte) bool {
	return slices.ContainsFunc(importantLevels, func(level []byte) bool { return bytes.Contains(line, level) })
}

// Dropped returns the number of lines dropped since the last line that told it.
func (s *AsyncWriter) Dropped() uint64 { return s.dropped.Load() }

// String returns the thread's name.
func (*AsyncWriter) String() string { return "log" }

// Serve writes lines until ctx ends.
func (s *AsyncWriter) Serve(ctx context.Context) error {
	batch := make([]any, batchSize)
	var text bytes.Buffer
	for {
		line, err := s.lines.Take(ctx)
		if err != nil {
			return err
		}
		text.Reset()
		text.Write(line.([]byte))
		n := s.lines.Drain(batch)
		for _, more := range batch[:n] {
			text.Write(more.([]byte))
		}
		if dropped := s.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(&text, "time=%q level=warning msg=\"log lines dropped\" event=log dropped=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
		}
		if _, err := s.out.Write(text.Bytes()); err != nil {
			return errors.Wrap(err, "write log")
		}
	}
}

// Flush waits a little for the lines that are under way.
func (s *AsyncWriter) Flush() {
	for end := time.Now().Add(flushTimeout); s.lines.Depth() > 0 && time.Now().Before(end); {
		time.Sleep(flushTimeout / 30)
	}
}
