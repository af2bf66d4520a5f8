package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
)

// Bounds on the cost of a streamed chunk at a side.
const (
	maxAllocsPerChunk = 2 // growth of the buffer, spread over many pieces, and its message
	repliesPerFlush   = 1 // answers for all streams of an entry in one linger
)

func TestChunkAllocations(t *testing.T) {
	b := newHarness(func(config *CoreConfig) { config.MaxBuffered = 1 << 30; config.FlushDelay = time.Millisecond })
	b.submit(batch(idempotentSubmit("a")))
	data := []byte("data: {\"choices\":[]}\n\n")
	got := testing.AllocsPerRun(1000, func() { b.core.Handle(b.now, NewChunkReceived("a", data)) })
	if got > maxAllocsPerChunk {
		t.Errorf("%v allocations for a piece, bound %d", got, maxAllocsPerChunk)
	}
}

func TestStreamsShareOneReply(t *testing.T) {
	const streams = 50
	b := newHarness(func(config *CoreConfig) {
		config.Concurrency, config.QueueLimit, config.FlushDelay = streams, streams, 2*time.Millisecond
	})
	for i := range streams {
		b.submit(batch(idempotentSubmit(fmt.Sprintf("a%d", i))))
	}
	reply := &replyRecorder{}
	b.handle(NewReadRequested(notice.NewRead(notice.ReadConfig{Entry: "e1", Number: 1, Wait: time.Second}), reply))
	for i := range streams {
		b.handle(NewChunkReceived(fmt.Sprintf("a%d", i), []byte("x")))
	}
	b.now = b.core.Alarm()
	b.perform(b.core.Tick(b.now))
	if diff := cmp.Diff(repliesPerFlush, len(reply.items)); diff != "" {
		t.Fatalf("answers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(streams, len(reply.items[0].(notice.Pages).Pages())); diff != "" {
		t.Errorf("streams in the answer (-want +got):\n%s", diff)
	}
}
