// Package courier sends spans to an OTLP collector over HTTP. It stands apart
// from package trail so that only programs that export link the protocol.
package otlp

import (
	"time"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdk "go.opentelemetry.io/otel/sdk/trace"
)

// Named limits of the export. Spans beyond the queue are dropped: a collector
// that is slow or away costs no request anything.
const (
	exportTimeout = 5 * time.Second
	queueSize     = 2048 // spans
	batchSize     = 256  // spans
)

// New returns a processor that sends spans to the collector at address
// (IP:port), or nil when address is empty.
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
