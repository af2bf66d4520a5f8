package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
)

// Bounds on the cost of streamed chunks.
const (
	maxAllocsPerChunk = 2 // for the message and the growth of the buffer, amortized over many chunks
	repliesPerFlush   = 1 // replies per FlushDelay for all streams of an entry
)

func TestChunkAllocations(t *testing.T) {
	h := newHarness(func(config *CoreConfig) { config.MaxBuffered = 1 << 30; config.FlushDelay = time.Millisecond })
	h.submit(batch(idempotentSubmit("a")))
	data := []byte("data: {\"choices\":[]}\n\n")
	got := testing.AllocsPerRun(1000, func() { h.core.Handle(h.now, NewChunkReceived("a", data)) })
	if got > maxAllocsPerChunk {
		t.Errorf("%v allocations for a chunk, bound %d", got, maxAllocsPerChunk)
	}
}

func TestStreamsShareOneReply(t *testing.T) {
	const streams = 50
	h := newHarness(func(config *CoreConfig) {
		config.Concurrency, config.QueueLimit, config.FlushDelay = streams, streams, 2*time.Millisecond
	})
	for i := range streams {
		h.submit(batch(idempotentSubmit(fmt.Sprintf("a%d", i))))
	}
	reply := &replyRecorder{}
	h.handle(NewReadRequested(protocol.NewRead(protocol.ReadConfig{Entry: "e1", Number: 1, Wait: time.Second}), reply))
	for i := range streams {
		h.handle(NewChunkReceived(fmt.Sprintf("a%d", i), []byte("x")))
	}
	h.now = h.core.Alarm()
	h.execute(h.core.Tick(h.now))
	if diff := cmp.Diff(repliesPerFlush, len(reply.items)); diff != "" {
		t.Fatalf("answers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(streams, len(reply.items[0].(protocol.Pages).Pages())); diff != "" {
		t.Errorf("streams in the answer (-want +got):\n%s", diff)
	}
}
