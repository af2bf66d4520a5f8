package dispatcher

import (
	"time"

	"sesamewell.example/commons/protocol"
)

// NewRun returns an action that runs an attempt, which was queued for the given
// time.
func NewRun(submit protocol.Submit, queued time.Duration) Run {
	return Run{submit: submit, queued: queued}
}

// Status returns the HTTP status code of the backend server's answer.
func (h HeaderReceived) Status() int { return h.status }

// Limit returns the requests per second that the backend server takes, zero if it names none.
func (h HeaderReceived) Limit() float64 { return h.limit }

// Data returns the bytes of the chunk.
func (c ChunkReceived) Data() []byte { return c.data }

// Code returns the cause of a failure, or "" if the answer is complete.
func (a AttemptEnded) Code() string { return a.code }

// MayHaveRun reports whether the backend server may have run a failed attempt.
func (a AttemptEnded) MayHaveRun() bool { return a.mayHaveRun }
