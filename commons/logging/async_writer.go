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
	queueCapacity = 4096                   // lines that may wait for the output
	routineLimit  = 3 * queueCapacity / 4  // number of waiting lines beyond which routine lines are dropped
	batchSize     = 256                    // lines taken from the queue for one write
	flushTimeout  = 300 * time.Millisecond // longest time that Flush waits for the output
)

// importantLevels are the levels of the lines that are dropped last: refusals
// and failures are logged as warnings or errors, successes at lower levels.
var importantLevels = [][]byte{[]byte("level=warning"), []byte("level=error")}

// AsyncWriter writes log lines on a thread of its own, so that callers never
// block on the output. Lines that do not fit into its queue are dropped and
// counted, and a log line reports their number.
type AsyncWriter struct {
	out     io.Writer
	lines   *ring.Ring
	dropped atomic.Uint64
}

// NewAsyncWriter returns a writer to out. Serve does the writing.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, lines: ring.New(ring.Config{Name: "log", Capacity: queueCapacity})}
}

// Write queues one line. It never blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if w.lines.Depth() > routineLimit && !isImportant(line) || w.lines.Put(bytes.Clone(line)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

func isImportant(line []byte) bool {
	return slices.ContainsFunc(importantLevels, func(level []byte) bool { return bytes.Contains(line, level) })
}

// Dropped returns the number of lines dropped since the last line that reported
// dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// String returns the thread's name, which supervision events carry.
func (*AsyncWriter) String() string { return "log" }

// Serve writes queued lines until ctx is done or a write fails.
func (w *AsyncWriter) Serve(ctx context.Context) error {
	batch := make([]any, batchSize)
	var text bytes.Buffer
	for {
		line, err := w.lines.Take(ctx)
		if err != nil {
			return err
		}
		text.Reset()
		text.Write(line.([]byte))
		n := w.lines.Drain(batch)
		for _, more := range batch[:n] {
			text.Write(more.([]byte))
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			fmt.Fprintf(&text, "time=%q level=warning msg=\"log lines dropped\" event=log dropped=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
		}
		if _, err := w.out.Write(text.Bytes()); err != nil {
			return errors.Wrap(err, "write log")
		}
	}
}

// Flush waits until the queue is empty, for at most flushTimeout.
func (w *AsyncWriter) Flush() {
	for end := time.Now().Add(flushTimeout); w.lines.Depth() > 0 && time.Now().Before(end); {
		time.Sleep(flushTimeout / 30)
	}
}
