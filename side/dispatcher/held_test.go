package dispatcher

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/protocol"
)

func largeSubmit(id string, length int) protocol.Submit {
	return protocol.NewSubmit(protocol.SubmitConfig{Attempt: id, Idempotent: true, Remaining: time.Minute, Body: make([]byte, length)})
}

// TestBodiesBeyondTheLimitAreRefused guards against a side whose queue holds more bytes than
// the process may take.
func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	h := newHarness(func(config *CoreConfig) { config.MaxBodies = 100 })
	got := h.submit(batch(largeSubmit("a", 60), largeSubmit("b", 41), largeSubmit("c", 40)))
	if diff := cmp.Diff([]string{"", protocol.CodeQueueFull, ""}, got); diff != "" {
		t.Errorf("codes (-want +got):\n%s", diff)
	}
	h.submit(protocol.BatchConfig{Entry: "e1", Cancels: []string{"a", "c"}})
	h.handle(NewAttemptEnded("a", "", true))
	if diff := cmp.Diff([]string{""}, h.submit(batch(largeSubmit("d", 100)))); diff != "" {
		t.Errorf("codes after the others have ended (-want +got):\n%s", diff)
	}
}

// TestLargestAnswerEndsBeyondTheLimit guards against a side that keeps the answers of a
// backend server that sends without end.
func TestLargestAnswerEndsBeyondTheLimit(t *testing.T) {
	type piece struct {
		attempt string
		length  int
	}
	cases := map[string]struct {
		pieces    []piece
		cancelled string
		ended     string
		stops     []string
		states    map[string]protocol.AnswerState
	}{
		"within the limit": {pieces: []piece{{"a", 60}, {"b", 40}}, states: map[string]protocol.AnswerState{"a": protocol.AnswerOpen, "b": protocol.AnswerOpen}},
		"the one that goes on": {pieces: []piece{{"b", 30}, {"a", 40}, {"a", 40}}, stops: []string{"a"},
			states: map[string]protocol.AnswerState{"a": protocol.AnswerFailed, "b": protocol.AnswerOpen}},
		"another one": {pieces: []piece{{"a", 80}, {"b", 30}}, stops: []string{"a"},
			states: map[string]protocol.AnswerState{"a": protocol.AnswerFailed, "b": protocol.AnswerOpen}},
		"one that has ended": {pieces: []piece{{"a", 80}, {"b", 30}}, ended: "a",
			states: map[string]protocol.AnswerState{"a": protocol.AnswerFailed, "b": protocol.AnswerOpen}},
		"one that nobody awaits": {pieces: []piece{{"a", 80}, {"b", 30}}, cancelled: "a", stops: []string{"a"},
			states: map[string]protocol.AnswerState{"b": protocol.AnswerOpen}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(func(config *CoreConfig) { config.Concurrency, config.MaxBuffered, config.MaxAnswers = 2, 1000, 100 })
			h.submit(batch(idempotentSubmit("a"), idempotentSubmit("b")))
			for i, p := range tc.pieces {
				h.handle(NewChunkReceived(p.attempt, bytes.Repeat([]byte("x"), p.length)))
				if i == 0 && tc.ended != "" {
					h.handle(NewAttemptEnded(tc.ended, "", true))
				}
				if i == 0 && tc.cancelled != "" {
					h.submit(protocol.BatchConfig{Entry: "e1", Cancels: []string{tc.cancelled}})
				}
			}
			if diff := cmp.Diff(tc.stops, h.stopped); diff != "" {
				t.Errorf("stopped (-want +got):\n%s", diff)
			}
			h.handle(NewAttemptEnded(tc.cancelled, "", true))
			pages := h.read(t, protocol.ReadConfig{Wait: time.Second}).Pages()
			states := make(map[string]protocol.AnswerState)
			var positions []protocol.Position
			for _, page := range pages {
				states[page.Attempt()] = page.State()
				positions = append(positions, protocol.NewPosition(protocol.PositionConfig{Attempt: page.Attempt(), Offset: page.Offset() + int64(len(page.Data())), Ended: true}))
			}
			if diff := cmp.Diff(tc.states, states); diff != "" {
				t.Errorf("states (-want +got):\n%s", diff)
			}
			h.handle(NewReadRequested(h.nextRead(protocol.ReadConfig{Positions: positions}), &replyRecorder{}))
			if h.core.buffered != 0 {
				t.Errorf("%d bytes left in the account", h.core.buffered)
			}
		})
	}
}
