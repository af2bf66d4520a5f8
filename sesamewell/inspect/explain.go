package inspect

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/tracing"
)

// Request collects all spans of the request with that id. Instances that do
// not answer are named in the error; the spans of the others are returned.
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

// Side returns in one line what a side reports of itself.
func SideStatus(address string) (string, error) {
	var status struct {
		Queued  int  `json:"queued"`
		Running int  `json:"running"`
		Leaving bool `json:"leaving"`
	}
	if err := Fetch(address, "/status", &status); err != nil {
		return "", err
	}
	line := fmt.Sprintf("%d running, %d waiting", status.Running, status.Queued)
	if status.Leaving {
		line += ", leaving"
	}
	return line, nil
}

// Explain returns in one sentence what became of the request whose spans are
// given, first hop first.
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
