package dispatcher

import (
	"time"

	"sesamewell.example/commons/notice"
)

// NewRun returns the action that hands an attempt to a runner after it waited.
func NewRun(submit notice.Submit, queued time.Duration) Run {
	return Run{submit: submit, queued: queued}
}

// Status returns the HTTP status of the backend server's answer.
func (b HeaderReceived) Status() int { return b.status }

// Data returns the bytes of the answer.
func (p ChunkReceived) Data() []byte { return p.data }

// Code returns the cause of a failure, or "" when the answer is whole.
func (e AttemptEnded) Code() string { return e.code }

// Ran reports whether a failed attempt may have been run.
func (e AttemptEnded) MayHaveRun() bool { return e.mayHaveRun }
