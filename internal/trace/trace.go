// Package trace records a span for each hop of a request. The OpenTelemetry
// library creates the spans, and the W3C traceparent header propagates them.
// Finished spans are stored in a ring buffer in memory and, if the settings
// configure a file, appended to it as one JSON line each.
package trace

import (
	"context"
	"encoding/json"
	"io"
	"sort"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// HeaderTraceParent is the name of the W3C header that carries the trace ID and
// the ID of the parent span.
const HeaderTraceParent = "traceparent"

// Span is one finished span in the form that is written to files and shown to
// operators.
type Span struct {
	Trace    string            `json:"trace"`
	ID       string            `json:"id"`
	Parent   string            `json:"parent,omitempty"`
	Name     string            `json:"name"`
	Instance string            `json:"instance"`
	Start    time.Time         `json:"start"`
	Duration time.Duration     `json:"duration_ns"`
	Error    string            `json:"error,omitempty"`
	Attrs    map[string]string `json:"attrs,omitempty"`
}

// Recorder creates spans and stores the most recent finished ones. It is safe for
// concurrent use.
type Recorder struct {
	instance   string
	tracer     oteltrace.Tracer
	propagator propagation.TraceContext

	mu sync.Mutex
	// ring holds the spans in the library's form. Few of them are ever read, so
	// they are converted only on reading.
	ring []sdk.ReadOnlySpan
	// next is the index in ring of the next span.
	next int
	// out receives each finished span as a JSON line; nil for none.
	out io.Writer
}

// NewRecorder returns a recorder that stores the last size finished spans. If out
// is not nil, each finished span is written to it as a JSON line.
func NewRecorder(instance string, size int, out io.Writer) *Recorder {
	r := &Recorder{instance: instance, ring: make([]sdk.ReadOnlySpan, 0, size), out: out}
	provider := sdk.NewTracerProvider(sdk.WithSyncer(exporter{r}))
	r.tracer = provider.Tracer("banyandeal")
	return r
}

// Start starts a span whose parent is the span in ctx, and returns a context with
// the new span.
func (r *Recorder) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return r.tracer.Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

// End ends a span. If err is not nil, it marks the span as failed.
func End(s oteltrace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}

// Extract returns ctx with the remote parent span that traceparent identifies, or
// ctx if traceparent is invalid or empty.
func (r *Recorder) Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return r.propagator.Extract(ctx, propagation.MapCarrier{HeaderTraceParent: traceparent})
}

// Inject returns the traceparent header of the span in ctx, or "" if ctx has no
// span.
func (r *Recorder) Inject(ctx context.Context) string {
	sc := oteltrace.SpanContextFromContext(ctx)
	if !sc.IsValid() {
		return ""
	}
	return "00-" + sc.TraceID().String() + "-" + sc.SpanID().String() + "-" + sc.TraceFlags().String()
}

// Spans returns the stored spans of a trace in the order of their start times. It
// returns nil if traceID is not a valid trace ID.
func (r *Recorder) Spans(traceID string) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, err := oteltrace.TraceIDFromHex(traceID)
	if err != nil {
		return nil
	}
	var found []Span
	for _, s := range r.ring {
		if s.SpanContext().TraceID() == id {
			found = append(found, r.convert(s))
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Start.Before(found[j].Start) })
	return found
}

// Recent returns the root spans of the last traces that started at this instance,
// newest first. It returns at most n spans.
func (r *Recorder) Recent(n int) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Span
	for i := 0; i < len(r.ring) && len(found) < n; i++ {
		s := r.ring[(r.next-1-i+2*len(r.ring))%len(r.ring)]
		if !s.Parent().IsValid() {
			found = append(found, r.convert(s))
		}
	}
	return found
}

// record stores a finished span and writes it to out.
func (r *Recorder) record(s sdk.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, s)
		r.next = len(r.ring) % cap(r.ring)
	} else {
		r.ring[r.next] = s
		r.next = (r.next + 1) % len(r.ring)
	}
	if r.out != nil {
		// Write errors are ignored: a full disk must not stop requests, and the
		// ring still holds the span.
		_ = json.NewEncoder(r.out).Encode(r.convert(s))
	}
}

// convert returns the Span for a span of the library.
func (r *Recorder) convert(s sdk.ReadOnlySpan) Span {
	out := Span{
		Trace: s.SpanContext().TraceID().String(), ID: s.SpanContext().SpanID().String(),
		Name: s.Name(), Instance: r.instance, Start: s.StartTime(), Duration: s.EndTime().Sub(s.StartTime()),
		Error: s.Status().Description,
	}
	if s.Parent().IsValid() {
		out.Parent = s.Parent().SpanID().String()
	}
	if attrs := s.Attributes(); len(attrs) > 0 {
		out.Attrs = make(map[string]string, len(attrs))
		for _, a := range attrs {
			out.Attrs[string(a.Key)] = a.Value.String()
		}
	}
	return out
}

// exporter passes finished spans from the library to the recorder.
type exporter struct{ recorder *Recorder }

// ExportSpans implements sdk.SpanExporter.
func (e exporter) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	for _, s := range spans {
		e.recorder.record(s)
	}
	return nil
}

// Shutdown implements sdk.SpanExporter.
func (e exporter) Shutdown(context.Context) error { return nil }
