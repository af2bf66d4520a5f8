// Package tracing records traces: one span for each hop of a request, identified
// by W3C trace context. Finished spans are kept in a bounded buffer.
package tracing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// traceparentHeader is the header with the W3C trace context.
const traceparentHeader = "traceparent"

// Config holds the construction parameters of a Tracer.
type Config struct {
	Instance string            // name of this instance, which is set on every span
	Capacity int               // number of finished spans kept in memory; values below one are treated as one
	Sampling int               // share of the traces started here that are recorded, in per cent
	Export   sdk.SpanProcessor // processor that also receives every recorded span; may be nil
}

// Tracer starts spans and keeps the newest finished ones of its process.
type Tracer struct {
	instance   string
	provider   *sdk.TracerProvider
	otel       trace.Tracer
	propagator propagation.TraceContext

	mu    sync.Mutex
	spans []Record // circular buffer
	next  int      // index of the oldest span, which is overwritten next
}

// New returns a tracer without spans.
func New(config Config) *Tracer {
	t := &Tracer{instance: config.Instance, spans: make([]Record, max(config.Capacity, 1))}
	options := []sdk.TracerProviderOption{
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(float64(config.Sampling) / percent))),
		sdk.WithSpanProcessor(&bufferProcessor{tracer: t}),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "sesamewell"),
			attribute.String("service.instance.id", config.Instance),
		)),
	}
	if config.Export != nil {
		options = append(options, sdk.WithSpanProcessor(config.Export))
	}
	t.provider = sdk.NewTracerProvider(options...)
	t.otel = t.provider.Tracer("sesamewell")
	return t
}

// Close exports the spans that wait for export, until ctx is done.
func (t *Tracer) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }

const percent = 100

// Start starts a span as a child of the given traceparent, or as the root of a new
// trace if the traceparent is empty or malformed.
func (t *Tracer) Start(now time.Time, parent, name string) *Span {
	ctx := t.propagator.Extract(context.Background(), propagation.MapCarrier{traceparentHeader: parent})
	_, span := t.otel.Start(ctx, name, trace.WithTimestamp(now))
	return &Span{tracer: t, span: span}
}

// Find returns the kept spans of a trace, oldest first.
func (t *Tracer) Find(traceID string) []Record {
	return t.find(func(record Record) bool { return record.config.Trace == traceID && traceID != "" })
}

// FindRequest returns the kept spans that have the given request ID as an
// attribute, oldest first.
func (t *Tracer) FindRequest(request string) []Record {
	return t.find(func(record Record) bool {
		return record.config.Attributes[RequestAttribute] == request && request != ""
	})
}

// RequestAttribute is the key of the attribute that holds the request ID.
const RequestAttribute = "request"

func (t *Tracer) find(matches func(record Record) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Record
	for i := range t.spans {
		if record := t.spans[(t.next+i)%len(t.spans)]; matches(record) {
			found = append(found, record)
		}
	}
	return found
}

func (t *Tracer) add(record Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans[t.next] = record
	t.next = (t.next + 1) % len(t.spans)
}

// Span covers one hop of a request. All methods of a nil Span do nothing.
type Span struct {
	tracer *Tracer
	span   trace.Span
}

// Traceparent returns the W3C trace context for children of this span.
func (s *Span) Traceparent() string {
	if s == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	s.tracer.propagator.Inject(trace.ContextWithSpan(context.Background(), s.span), carrier)
	return carrier[traceparentHeader]
}

// TraceID returns the trace ID in hexadecimal.
func (s *Span) TraceID() string {
	if s == nil {
		return ""
	}
	return s.span.SpanContext().TraceID().String()
}

// SetAttribute sets an attribute of the span.
func (s *Span) SetAttribute(key, value string) {
	if s != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// AddEvent adds an event with its time to the span.
func (s *Span) AddEvent(now time.Time, event string) {
	if s != nil {
		s.span.AddEvent(event, trace.WithTimestamp(now))
	}
}

// End finishes the span. If failure is not empty, the span is marked as failed
// for that reason.
func (s *Span) End(now time.Time, failure string) {
	if s == nil {
		return
	}
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End(trace.WithTimestamp(now))
}

// RecordConfig holds the construction parameters of a Record and is its JSON
// form.
type RecordConfig struct {
	Trace      string            `json:"trace"`
	Span       string            `json:"span"`
	Parent     string            `json:"parent,omitempty"`
	Instance   string            `json:"instance"`
	Name       string            `json:"name"`
	Start      time.Time         `json:"start"`
	End        time.Time         `json:"end"`
	Failure    string            `json:"failure,omitempty"`
	Attributes map[string]string `json:"notes,omitempty"`
	Events     []EventConfig     `json:"events,omitempty"`
}

// EventConfig is the JSON form of one event of a span.
type EventConfig struct {
	Name string    `json:"name"`
	At   time.Time `json:"at"`
}

// Record is a finished span.
type Record struct {
	config RecordConfig
}

// NewRecord returns a record of a finished span.
func NewRecord(config RecordConfig) Record { return Record{config: config} }

// Span returns the ID of the span.
func (r Record) Span() string { return r.config.Span }

// Trace returns the ID of the trace.
func (r Record) Trace() string { return r.config.Trace }

// Parent returns the ID of the parent span, or "" for a root span.
func (r Record) Parent() string { return r.config.Parent }

// Instance returns the name of the instance that recorded the span.
func (r Record) Instance() string { return r.config.Instance }

// Name returns the name of the span.
func (r Record) Name() string { return r.config.Name }

// Start returns the start time of the span.
func (r Record) Start() time.Time { return r.config.Start }

// End returns the end time of the span.
func (r Record) End() time.Time { return r.config.End }

// Failure returns the reason why the span failed, or "" if it did not.
func (r Record) Failure() string { return r.config.Failure }

// Attributes returns the attributes of the span.
func (r Record) Attributes() map[string]string { return r.config.Attributes }

// Events returns the events of the span, oldest first.
func (r Record) Events() []EventConfig { return r.config.Events }

// MarshalJSON implements json.Marshaler.
func (r Record) MarshalJSON() ([]byte, error) { return json.Marshal(r.config) }

// UnmarshalJSON implements json.Unmarshaler.
func (r *Record) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &r.config) }

// bufferProcessor is a span processor that adds finished spans to the buffer of a
// Tracer.
type bufferProcessor struct {
	tracer *Tracer
}

// OnStart does nothing.
func (p *bufferProcessor) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd adds the span to the buffer.
func (p *bufferProcessor) OnEnd(span sdk.ReadOnlySpan) {
	config := RecordConfig{
		Trace:    span.SpanContext().TraceID().String(),
		Span:     span.SpanContext().SpanID().String(),
		Instance: p.tracer.instance,
		Name:     span.Name(),
		Start:    span.StartTime(),
		End:      span.EndTime(),
		Failure:  span.Status().Description,
	}
	if span.Parent().HasSpanID() {
		config.Parent = span.Parent().SpanID().String()
	}
	if attributes := span.Attributes(); len(attributes) > 0 {
		config.Attributes = make(map[string]string, len(attributes))
		for _, a := range attributes {
			config.Attributes[string(a.Key)] = a.Value.String()
		}
	}
	for _, event := range span.Events() {
		config.Events = append(config.Events, EventConfig{Name: event.Name, At: event.Time})
	}
	p.tracer.add(NewRecord(config))
}

// Shutdown does nothing.
func (p *bufferProcessor) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing.
func (p *bufferProcessor) ForceFlush(context.Context) error { return nil }
