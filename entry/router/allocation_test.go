package router

import (
	"testing"

	"sesamewell.example/commons/protocol"
)

// allocsPerChunk bounds the allocations for one chunk of a streamed answer. The
// core allocates the list of actions and the action itself.
const allocsPerChunk = 4

func TestChunkAllocations(t *testing.T) {
	core := newCore(t)
	for _, action := range core.Handle(start, testRequest(true)) {
		if probe, ok := action.(Probe); ok {
			estimate := protocol.NewEstimate(protocol.EstimateConfig{Request: "r", Resident: true})
			report := protocol.NewReport(protocol.ReportConfig{Side: "i1", Slots: 4, Estimates: []protocol.Estimate{estimate}})
			core.Handle(start, NewProbeReply(probe.Side(), report))
		}
	}
	if core.attempts["r.1"] == nil {
		t.Fatal("the request was not sent")
	}
	side := core.attempts["r.1"].side
	core.Handle(start, accepted(side, "r.1"))
	data := []byte("data: {\"choices\":[]}\n\n")
	var messages []ReadReply
	for i := range 1002 {
		messages = append(messages, readReply(side, "i1", protocol.PageConfig{Attempt: "r.1", Offset: int64(i * len(data)), Data: data, Status: 200}))
	}
	next := 0
	got := testing.AllocsPerRun(1000, func() {
		core.Handle(start, messages[next])
		next++
	})
	if got > allocsPerChunk {
		t.Errorf("%v allocations for a chunk, bound %d", got, allocsPerChunk)
	}
}
