// Package inspect reads the state of the fleet and the traces of requests from the
// operators' pages of the instances.
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

	"sesamewell.example/commons/httpclient"
	"sesamewell.example/commons/tracing"
)

// ErrBadQuery marks errors of Fetch for a query that the instance does not accept.
var ErrBadQuery = errors.New("bad query")

// callTimeout is the limit on one request to an operators' page.
const callTimeout = 2 * time.Second

// Fetch decodes a JSON page of the instance at address (IP:port) into value.
func Fetch(address, path string, value any) error {
	client := httpclient.New(httpclient.Config{Address: address, MaxConns: 1})
	status, body, err := client.Send(httpclient.NewRequest(httpclient.RequestConfig{Method: fasthttp.MethodGet, Path: path, Timeout: callTimeout}))
	if err != nil {
		return errors.Wrapf(err, "ask %s", address)
	}
	if status == fasthttp.StatusBadRequest {
		return errors.Mark(errors.Newf("ask %s: %s", address, strings.TrimSpace(string(body))), ErrBadQuery)
	}
	if status != fasthttp.StatusOK {
		return errors.Newf("ask %s: status %d", address, status)
	}
	return errors.Wrapf(json.Unmarshal(body, value), "answer of %s", address)
}

// Spans returns the spans of a trace from the instances at all addresses, sorted
// by start time. If some instances do not answer, it returns the spans of the
// others together with an error that lists those addresses.
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

// PrintTree prints the spans as a tree, each with its duration.
func PrintTree(out io.Writer, spans []tracing.Record) {
	present := make(map[string]bool)
	for _, span := range spans {
		present[span.Span()] = true
	}
	for _, span := range spans {
		if !present[span.Parent()] {
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
