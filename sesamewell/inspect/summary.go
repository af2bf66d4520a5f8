package inspect

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/tracing"
)

// RequestSpans returns the spans of the trace of the request with the given ID, as
// Spans does. It returns no spans if no instance has any of the request; its error
// then lists the instances that did not answer.
func RequestSpans(id string, addresses []string) ([]tracing.Record, error) {
	var failed error
	for _, address := range addresses {
		var found []tracing.Record
		if err := Fetch(address, "/requests/"+id, &found); err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		if len(found) > 0 {
			return Spans(found[0].Trace(), addresses)
		}
	}
	return nil, failed
}

// SideStatus returns a one-line description of the status of a side.
func SideStatus(address string) (string, error) {
	var status struct {
		Queued   int  `json:"queued"`
		Running  int  `json:"running"`
		Draining bool `json:"leaving"`
	}
	if err := Fetch(address, "/status", &status); err != nil {
		return "", err
	}
	line := fmt.Sprintf("%d running, %d waiting", status.Running, status.Queued)
	if status.Draining {
		line += ", leaving"
	}
	return line, nil
}

// Summarize returns a sentence about the outcome of a request. The spans must not
// be empty, and the first one must be that of the first hop.
func Summarize(spans []tracing.Record) string {
	first := spans[0]
	attempts := 0
	var waited []string
	for _, span := range spans {
		if span.Name() == "side" {
			attempts++
			waited = append(waited, fmt.Sprintf("waited %s at %s", span.Attributes()["waited"], span.Instance()))
		}
	}
	took := first.End().Sub(first.Start()).Round(time.Millisecond)
	text := fmt.Sprintf("%s answered after %s", first.Instance(), took)
	if first.Failure() != "" {
		text = fmt.Sprintf("%s refused or lost it after %s: %s", first.Instance(), took, first.Failure())
	}
	if attempts == 0 {
		return text + "; it reached no backend server"
	}
	noun := "attempts"
	if attempts == 1 {
		noun = "attempt"
	}
	return fmt.Sprintf("%s; %d %s reached a side: %s", text, attempts, noun, strings.Join(waited, ", "))
}
