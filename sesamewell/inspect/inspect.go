// Package inspect asks the instances' operators' pages what the fleet does.
package inspect

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/tracing"
)

// callLimit bounds one call of an operators' page.
const callTimeout = 2 * time.Second

// Fetch reads a JSON page of an instance into value.
func Fetch(address, path string, value any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, callTimeout)
	if err != nil {
		return errors.Wrapf(err, "ask %s", address)
	}
	if status != fasthttp.StatusOK {
		return errors.Newf("ask %s: status %d", address, status)
	}
	return errors.Wrapf(json.Unmarshal(body, value), "answer of %s", address)
}

// Spans collects the spans of a trace from all addresses. Instances that do
// not answer are named in the error; the spans of the others are returned.
func Spans(traceID string, addresses []string) ([]tracing.Record, error) {
	var spans []tracing.Record
	var failed error
	for _, address := range addresses {
		var found []tracing.Record
		if err := Fetch(address, "/traces/"+traceID, &found); err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		spans = append(spans, found...)
	}
	slices.SortFunc(spans, func(a, b tracing.Record) int {
		return cmp.Or(a.Start().Compare(b.Start()), strings.Compare(a.Span(), b.Span()))
	})
	return spans, failed
}

// PrintTree writes the spans as a tree, each with its duration.
func PrintTree(out io.Writer, spans []tracing.Record) {
	known := make(map[string]bool)
	for _, span := range spans {
		known[span.Span()] = true
	}
	for _, span := range spans {
		if !known[span.Parent()] {
			printSubtree(out, spans, span, 0)
		}
	}
}

func printSubtree(out io.Writer, spans []tracing.Record, span tracing.Record, depth int) {
	fmt.Fprintf(out, "%s%s at %s, %s%s\n", strings.Repeat("  ", depth), span.Name(), span.Instance(),
		span.End().Sub(span.Start()).Round(time.Microsecond), details(span))
	for _, child := range spans {
		if child.Parent() == span.Span() {
			printSubtree(out, spans, child, depth+1)
		}
	}
}

func details(span tracing.Record) string {
	var text strings.Builder
	for _, event := range span.Events() {
		fmt.Fprintf(&text, ", %s after %s", event.Name, event.At.Sub(span.Start()).Round(time.Microsecond))
	}
	if span.Failure() != "" {
		fmt.Fprintf(&text, ", failed: %s", span.Failure())
	}
	return text.String()
}
