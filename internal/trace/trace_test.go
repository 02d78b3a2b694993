package trace

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
)

func TestSpansAreStoredAndWritten(t *testing.T) {
	const capacity = 3
	var out bytes.Buffer
	r := NewRecorder("e1", capacity, &out)
	var last string
	for range 4 {
		ctx, root := r.Start(context.Background(), "request")
		_, child := r.Start(ctx, "attempt", attribute.String("backend", "b1"))
		last = child.SpanContext().TraceID().String()
		End(child, errors.New("lost"))
		End(root, nil)
	}
	spans := r.Spans(last)
	require.Len(t, spans, 2)
	require.Equal(t, "request", spans[0].Name)
	require.Equal(t, spans[0].ID, spans[1].Parent)
	require.Equal(t, "lost", spans[1].Error)
	require.Equal(t, map[string]string{"backend": "b1"}, spans[1].Attrs)
	require.Equal(t, "e1", spans[1].Instance)
	require.Empty(t, r.Spans("not hex"))
	recent := r.Recent(5)
	require.Len(t, recent, 2, "two of the last three spans are roots")
	require.Equal(t, spans[0], recent[0])

	var written Span
	in := json.NewDecoder(&out)
	for range 8 {
		require.NoError(t, in.Decode(&written))
	}
	require.True(t, spans[0].Start.Equal(written.Start))
	require.Equal(t, spans[0].ID, written.ID)
}

func TestInjectedParentIsExtracted(t *testing.T) {
	r := NewRecorder("e1", 1, nil)
	require.Empty(t, r.Inject(context.Background()))
	ctx, span := r.Start(context.Background(), "request")
	_, child := r.Start(r.Extract(context.Background(), r.Inject(ctx)), "serve")
	require.Equal(t, span.SpanContext().TraceID(), child.SpanContext().TraceID())
	End(child, nil)
	require.Equal(t, span.SpanContext().SpanID().String(), r.Spans(child.SpanContext().TraceID().String())[0].Parent)
}
