// Package trace records a span for each hop of a request. Spans are made by
// the OpenTelemetry library, propagated by the W3C traceparent header, kept in
// a bounded ring in memory and, if settings say so, appended to a file as one
// JSON line each.
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

// HeaderTraceParent is the W3C header that carries a span's identity.
const HeaderTraceParent = "traceparent"

// Span is one finished span as it is stored and shown.
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

// Recorder makes spans and keeps the finished ones.
type Recorder struct {
	instance string
	tracer   oteltrace.Tracer
	prop     propagation.TraceContext

	mu sync.Mutex
	// ring holds the spans as the library made them; few are ever asked for.
	ring []sdk.ReadOnlySpan
	next int
	out  io.Writer
}

// NewRecorder returns a recorder that keeps size spans. A non-nil out gets a
// JSON line per span.
func NewRecorder(instance string, size int, out io.Writer) *Recorder {
	r := &Recorder{instance: instance, ring: make([]sdk.ReadOnlySpan, 0, size), out: out}
	provider := sdk.NewTracerProvider(sdk.WithSyncer(exporter{r}))
	r.tracer = provider.Tracer("banyandeal")
	return r
}

// Start begins a span below the one in ctx.
func (r *Recorder) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return r.tracer.Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

// End finishes a span; a non-nil err marks it as failed.
func End(s oteltrace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}

// Extract returns ctx with the remote parent that the traceparent names, if it
// is a valid one.
func (r *Recorder) Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return r.prop.Extract(ctx, propagation.MapCarrier{HeaderTraceParent: traceparent})
}

// Inject returns the traceparent of the span in ctx, empty without one.
func (r *Recorder) Inject(ctx context.Context) string {
	sc := oteltrace.SpanContextFromContext(ctx)
	if !sc.IsValid() {
		return ""
	}
	return "00-" + sc.TraceID().String() + "-" + sc.SpanID().String() + "-" + sc.TraceFlags().String()
}

// Spans returns the kept spans of a trace by start time.
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
			found = append(found, r.spanOf(s))
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Start.Before(found[j].Start) })
	return found
}

// Recent returns the root spans of the last traces that began at this
// instance, the newest first, at most n.
func (r *Recorder) Recent(n int) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Span
	for i := 0; i < len(r.ring) && len(found) < n; i++ {
		s := r.ring[(r.next-1-i+2*len(r.ring))%len(r.ring)]
		if !s.Parent().IsValid() {
			found = append(found, r.spanOf(s))
		}
	}
	return found
}

func (r *Recorder) add(s sdk.ReadOnlySpan) {
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
		// A full disk must not stop requests; the ring still has the span.
		_ = json.NewEncoder(r.out).Encode(r.spanOf(s))
	}
}

// spanOf turns a span of the library into ours.
func (r *Recorder) spanOf(s sdk.ReadOnlySpan) Span {
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

// exporter hands the library's spans to the recorder.
type exporter struct{ r *Recorder }

// ExportSpans implements sdk.SpanExporter.
func (e exporter) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	for _, s := range spans {
		e.r.add(s)
	}
	return nil
}

// Shutdown implements sdk.SpanExporter.
func (e exporter) Shutdown(context.Context) error { return nil }
