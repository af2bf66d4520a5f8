package foyer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/notice"
)

// Bounds on the cost of a streamed chunk at a side.
const (
	allocsPerPiece = 2 // growth of the buffer, spread over many pieces, and its message
	readsPerLinger = 1 // answers for all streams of an entry in one linger
)

func TestPieceAllocatesLittle(t *testing.T) {
	b := newBench(func(config *CoreConfig) { config.MaxBuffered = 1 << 30; config.Linger = time.Millisecond })
	b.submit(batch(attemptOf("a")))
	data := []byte("data: {\"choices\":[]}\n\n")
	got := testing.AllocsPerRun(1000, func() { b.core.Handle(b.now, NewPiece("a", data)) })
	if got > allocsPerPiece {
		t.Errorf("%v allocations for a piece, bound %d", got, allocsPerPiece)
	}
}

func TestManyStreamsShareOneAnswer(t *testing.T) {
	const streams = 50
	b := newBench(func(config *CoreConfig) {
		config.Concurrency, config.Queue, config.Linger = streams, streams, 2*time.Millisecond
	})
	for i := range streams {
		b.submit(batch(attemptOf(fmt.Sprintf("a%d", i))))
	}
	reply := &sink{}
	b.handle(NewReadArrived(notice.NewRead(notice.ReadConfig{Entry: "e1", Number: 1, Wait: time.Second}), reply))
	for i := range streams {
		b.handle(NewPiece(fmt.Sprintf("a%d", i), []byte("x")))
	}
	b.now = b.core.Alarm()
	b.carryOut(b.core.Tick(b.now))
	if diff := cmp.Diff(readsPerLinger, len(reply.items)); diff != "" {
		t.Fatalf("answers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(streams, len(reply.items[0].(notice.Pages).Pages())); diff != "" {
		t.Errorf("streams in the answer (-want +got):\n%s", diff)
	}
}
