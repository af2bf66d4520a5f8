// Package trail records traces: one span for each hop of a request, kept in a
// bounded buffer and identified by W3C trace context.
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

// header is the W3C trace context header.
const traceparentHeader = "traceparent"

// Config holds the construction parameters of a Trail.
type Config struct {
	Instance string            // name of the instance, which each record carries
	Capacity int               // spans kept in memory
	Sampling int               // per cent of the traces begun here that are recorded
	Export   sdk.SpanProcessor // receives every recorded span; nil for none
}

// Trail is responsible for the spans of one process.
type Tracer struct {
	instance   string
	provider   *sdk.TracerProvider
	otel       trace.Tracer
	propagator propagation.TraceContext

	mu    sync.Mutex
	spans []Record // circular
	next  int
}

// New returns a trail without spans.
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

// Close sends the spans that wait for export; it gives up when ctx ends.
func (t *Tracer) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }

const percent = 100

// Start opens a span below the given traceparent, or the first span of a new
// trace when the traceparent is empty or malformed.
func (t *Tracer) Start(now time.Time, parent, name string) *Span {
	ctx := t.propagator.Extract(context.Background(), propagation.MapCarrier{traceparentHeader: parent})
	_, span := t.otel.Start(ctx, name, trace.WithTimestamp(now))
	return &Span{tracer: t, span: span}
}

// Find returns the kept spans of a trace, oldest first.
func (t *Tracer) Find(traceID string) []Record {
	return t.find(func(record Record) bool { return record.config.Trace == traceID && traceID != "" })
}

// FindRequest returns the kept spans that were noted with a request's id,
// oldest first.
func (t *Tracer) FindRequest(request string) []Record {
	return t.find(func(record Record) bool {
		return record.config.Attributes[RequestAttribute] == request && request != ""
	})
}

// RequestNote is the key under which spans carry the id of their request.
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

// Span is responsible for one hop of one request. A nil span records nothing.
type Span struct {
	tracer *Tracer
	span   trace.Span
}

// Traceparent returns the W3C trace context that names this span as parent.
func (s *Span) Traceparent() string {
	if s == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	s.tracer.propagator.Inject(trace.ContextWithSpan(context.Background(), s.span), carrier)
	return carrier[traceparentHeader]
}

// TraceID returns the trace's id in hexadecimal.
func (s *Span) TraceID() string {
	if s == nil {
		return ""
	}
	return s.span.SpanContext().TraceID().String()
}

// Note attaches a key and a value.
func (s *Span) SetAttribute(key, value string) {
	if s != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// Mark records that something happened at a time within the span.
func (s *Span) AddEvent(now time.Time, event string) {
	if s != nil {
		s.span.AddEvent(event, trace.WithTimestamp(now))
	}
}

// End closes the span; a non-empty failure marks it as failed.
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

// EventConfig is one event of a RecordConfig.
type EventConfig struct {
	Name string    `json:"name"`
	At   time.Time `json:"at"`
}

// Record is a finished span.
type Record struct {
	config RecordConfig
}

// NewRecord returns a record.
func NewRecord(config RecordConfig) Record { return Record{config: config} }

// Span returns the span's id.
func (r Record) Span() string { return r.config.Span }

// Trace returns the trace's id.
func (r Record) Trace() string { return r.config.Trace }

// Parent returns the id of the parent span, or "".
func (r Record) Parent() string { return r.config.Parent }

// Instance returns the name of the instance that recorded the span.
func (r Record) Instance() string { return r.config.Instance }

// Name returns the span's name.
func (r Record) Name() string { return r.config.Name }

// Start returns the time at which the span began.
func (r Record) Start() time.Time { return r.config.Start }

// End returns the time at which the span ended.
func (r Record) End() time.Time { return r.config.End }

// Failure returns why the span failed, or "".
func (r Record) Failure() string { return r.config.Failure }

// Notes returns the span's keys and values.
func (r Record) Attributes() map[string]string { return r.config.Attributes }

// Events returns the span's events in the order of their times.
func (r Record) Events() []EventConfig { return r.config.Events }

// MarshalJSON returns the record's JSON form.
func (r Record) MarshalJSON() ([]byte, error) { return json.Marshal(r.config) }

// UnmarshalJSON reads what MarshalJSON wrote.
func (r *Record) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &r.config) }

// keeper is responsible for moving finished spans into their trail's buffer.
type bufferProcessor struct {
	tracer *Tracer
}

// OnStart does nothing.
func (k *bufferProcessor) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd keeps the span.
func (k *bufferProcessor) OnEnd(span sdk.ReadOnlySpan) {
	config := RecordConfig{
		Trace:    span.SpanContext().TraceID().String(),
		Span:     span.SpanContext().SpanID().String(),
		Instance: k.tracer.instance,
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
	k.tracer.add(NewRecord(config))
}

// Shutdown does nothing.
func (k *bufferProcessor) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing.
func (k *bufferProcessor) ForceFlush(context.Context) error { return nil }
