// Package limit takes a slot of a backend server for a request and gives it
// back when the answer has been read. A request that finds none is answered at
// once as not run.
//
// What an operator sees: the kind no_capacity among request.kind.*, and each
// backend server's in_flight and peak in the status.
package limit

import (
	"context"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/banyandeal/banyandeal/internal/attempt"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/pool"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// retryAfter is when a caller comes back that found no slot.
const retryAfter = time.Second

// Handler is the end of the pipeline: it sends a request to one of the owned
// backend servers.
type Handler struct {
	Pool     *pool.Pool
	Recorder *trace.Recorder
	// Crashed is told of a backend server lost while it ran a request.
	Crashed func(r *filter.Request, backend string)
}

// Serve implements filter.Handler: it makes one attempt, and further ones only
// while backend servers refuse the request.
func (h Handler) Serve(ctx context.Context, r *filter.Request) (*filter.Answer, error) {
	var tried []string
	last := outcome.NotRunError(outcome.KindNoCapacity, retryAfter, "no backend server of %s owned here has a free slot", r.Service.Name)
	for range max(r.Service.Retry.MaxAttempts, 1) {
		lease, ok := h.Pool.Acquire(r.Service.Name, tried)
		if !ok {
			return nil, last
		}
		answer, err := h.try(ctx, r, lease)
		if err == nil {
			return answer, nil
		}
		if err.Outcome != outcome.NotRun || !filter.Permitted(ctx) {
			return nil, err
		}
		tried, last = append(tried, lease.Name()), err
	}
	return nil, last
}

func (h Handler) try(ctx context.Context, r *filter.Request, lease *pool.Lease) (*filter.Answer, *outcome.Error) {
	ctx, span := h.Recorder.Start(ctx, "attempt", attribute.String("backend", lease.Name()))
	header := r.Header.Clone()
	header.Set(filter.HeaderRequestID, r.ID)
	if r.Key != "" {
		header.Set(filter.HeaderKey, r.Key)
	}
	header.Set(trace.HeaderTraceParent, h.Recorder.Inject(ctx))
	rep := lease.Do(ctx, &attempt.Request{Method: r.Method, Path: r.Path, Header: header, Body: r.Body, Idempotent: r.Idempotent})
	if rep.Outcome != outcome.Done {
		lease.Release(rep)
		if rep.Lost && h.Crashed != nil {
			h.Crashed(r, lease.Name())
		}
		trace.End(span, rep.Err)
		return nil, rep.Err
	}
	a := &filter.Answer{Status: rep.Status, Header: rep.Header, Body: rep.Body, Length: int64(len(rep.Body)), Backend: lease.Name()}
	if rep.Stream == nil {
		lease.Release(rep)
		trace.End(span, nil)
		return a, nil
	}
	a.Length = -1
	a.Stream = &leasedStream{ReadCloser: rep.Stream, end: func() { lease.Release(rep); trace.End(span, nil) }}
	return a, nil
}

// leasedStream holds the slot until the stream is closed.
type leasedStream struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (s *leasedStream) Close() error {
	defer s.once.Do(s.end)
	return s.ReadCloser.Close()
}
