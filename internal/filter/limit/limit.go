// Package limit takes a slot of a backend server for a request, sends it there
// once, and gives the slot back when the answer has been read. A request that
// finds no slot is answered at once as not run.
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
	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/pool"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// retryAfter is when a caller comes back that found no slot.
const retryAfter = time.Second

// Handler is the end of the pipeline: it sends a request to one of the owned
// backend servers.
type Handler struct {
	Pool     *pool.Pool
	Guard    *quarantine.Guard
	Recorder *trace.Recorder
}

// Serve implements filter.Handler.
func (h Handler) Serve(ctx context.Context, r *filter.Request) (*filter.Answer, error) {
	fp := quarantine.Fingerprint(r)
	avoid := r.Avoid.Names()
	for {
		lease, ok := h.Pool.Acquire(r.Service.Name, avoid)
		if !ok {
			return nil, outcome.NotRunError(outcome.KindNoCapacity, retryAfter, "no backend server of %s owned here has a free slot", r.Service.Name)
		}
		use, ok := h.Guard.Enter(lease.Name(), fp)
		if ok {
			r.Avoid.Add(lease.Name())
			return h.send(ctx, r, lease, use)
		}
		lease.Cancel()
		if h.Guard.Quarantined(fp) {
			return nil, decide.Refusal()
		}
		// A suspect keeps apart from other suspects.
		avoid = append(avoid, lease.Name())
	}
}

func (h Handler) send(ctx context.Context, r *filter.Request, lease *pool.Lease, use *quarantine.Use) (*filter.Answer, error) {
	ctx, span := h.Recorder.Start(ctx, "attempt", attribute.String("backend", lease.Name()))
	rep := lease.Do(ctx, &attempt.Request{
		Method: r.Method, Path: r.Path, Header: h.header(ctx, r), Body: r.Body, Idempotent: r.Idempotent,
	})
	if rep.Outcome != outcome.Done {
		if rep.Silent {
			r.Avoid.Remove(lease.Name())
		}
		h.failed(ctx, rep, lease, use)
		lease.Release(rep)
		trace.End(span, rep.Err)
		return nil, rep.Err
	}
	a := &filter.Answer{Status: rep.Status, Header: rep.Header, Body: rep.Body, Length: int64(len(rep.Body)), Backend: lease.Name()}
	end := func() {
		h.Guard.Done(use)
		lease.Release(rep)
		trace.End(span, nil)
	}
	if rep.Stream == nil {
		end()
		return a, nil
	}
	a.Length = -1
	a.Stream = &leasedStream{ReadCloser: rep.Stream, end: end}
	return a, nil
}

func (h Handler) failed(ctx context.Context, rep *attempt.Reply, lease *pool.Lease, use *quarantine.Use) {
	if rep.Lost {
		h.Guard.Lost(ctx, use, lease.Address())
		return
	}
	h.Guard.Left(use)
}

func (h Handler) header(ctx context.Context, r *filter.Request) map[string][]string {
	header := r.Header.Clone()
	header.Set(filter.HeaderRequestID, r.ID)
	if r.Key != "" {
		header.Set(filter.HeaderKey, r.Key)
	}
	header.Set(trace.HeaderTraceParent, h.Recorder.Inject(ctx))
	return header
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
