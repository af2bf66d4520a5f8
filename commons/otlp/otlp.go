// Package otlp exports spans to an OTLP collector over HTTP. It is separate from
// package tracing so that only programs that export spans link the protocol.
package otlp

import (
	"time"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdk "go.opentelemetry.io/otel/sdk/trace"
)

// Limits on the export. Spans that do not fit into the queue are dropped, so that
// a slow or unreachable collector does not delay requests.
const (
	exportTimeout = 5 * time.Second
	queueSize     = 2048 // spans that may wait for export
	batchSize     = 256  // spans in one export call
)

// NewSpanProcessor returns a processor that exports spans to the collector at
// address (IP:port), or nil if the address is empty.
func NewSpanProcessor(address string) sdk.SpanProcessor {
	if address == "" {
		return nil
	}
	client := otlptracehttp.NewClient(
		otlptracehttp.WithEndpoint(address),
		otlptracehttp.WithInsecure(),
		otlptracehttp.WithTimeout(exportTimeout),
	)
	exporter := otlptrace.NewUnstarted(client)
	return sdk.NewBatchSpanProcessor(exporter, sdk.WithMaxQueueSize(queueSize), sdk.WithMaxExportBatchSize(batchSize))
}
