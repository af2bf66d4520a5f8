package logging_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/logging"
)

// blockedOutput blocks all writes until open is closed.
type blockedOutput struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
	done chan struct{} // closed when the last line has been written
}

func (o *blockedOutput) Write(text []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text.Write(text)
	if bytes.Contains(text, []byte("last")) {
		close(o.done)
	}
	return len(text), nil
}

func TestBlockedOutputDropsRoutineLinesFirst(t *testing.T) {
	out := &blockedOutput{open: make(chan struct{}), done: make(chan struct{})}
	writer := logging.NewAsyncWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = writer.Serve(ctx) }()
	const lines = 20000
	for i := range lines {
		level := "info"
		if i%100 == 0 {
			level = "warning"
		}
		if _, err := fmt.Fprintf(writer, "level=%s n=%d\n", level, i); err != nil {
			t.Fatal(err)
		}
	}
	dropped := writer.Dropped()
	close(out.open)
	writer.Flush()
	if _, err := writer.Write([]byte("level=info last\n")); err != nil {
		t.Fatal(err)
	}
	<-out.done
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.text.String()
	if diff := cmp.Diff(lines/100, strings.Count(text, "level=warning n=")); diff != "" {
		t.Errorf("warnings (-want +got):\n%s", diff)
	}
	if want := fmt.Sprintf("dropped=%d", dropped); dropped == 0 || !strings.Contains(text, want) {
		t.Errorf("no line contains %s", want)
	}
}

func BenchmarkLogLine(b *testing.B) {
	writer := logging.NewAsyncWriter(&bytes.Buffer{})
	log, err := logging.New(logging.Config{Output: writer, Level: "info", Program: "test", Instance: "i-1"})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		log.WithField("event", "sent").WithField("request", "9c41d07be2a35f68").Info("request sent")
	}
}
