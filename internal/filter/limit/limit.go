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
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/banyandeal/banyandeal/internal/attempt"
	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/decide/retry"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/pool"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// noneRetryAfter is when a caller comes back that found no backend server
// owned here: others own them.
const noneRetryAfter = time.Second

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
			return nil, outcome.NotRunError(outcome.KindNoCapacity, h.retryAfter(r.Service), "no backend server of %s owned here has a free slot", r.Service.Name)
		}
		use, ok := h.Guard.StartAttempt(lease.Name(), fp)
		if ok {
			r.Avoid.Add(lease.Name())
			return h.send(ctx, r, lease, use)
		}
		lease.Cancel()
		if h.Guard.Quarantined(fp) {
			return nil, decide.RejectionError()
		}
		// A suspect keeps apart from other suspects.
		avoid = append(avoid, lease.Name())
	}
}

// retryAfter is when the work ahead of a request that finds no slot is done.
func (h Handler) retryAfter(s *estate.Service) time.Duration {
	free, slots := h.Pool.Free(s.Name)
	if slots == 0 {
		return noneRetryAfter
	}
	return retry.RetryAfter(retry.Backlog{Slots: slots, Ahead: slots - free, MeanTime: s.MeanTime}, rand.Float64())
}

func (h Handler) send(ctx context.Context, r *filter.Request, lease *pool.Lease, use *quarantine.Attempt) (*filter.Answer, error) {
	ctx, span := h.Recorder.Start(ctx, "attempt", attribute.String("backend", lease.Name()))
	rep := lease.Do(ctx, &attempt.Request{
		Method: r.Method, Path: r.Path, Header: h.header(ctx, r), Body: r.Body, Idempotent: r.Idempotent,
	})
	end := func(rep *attempt.Reply) {
		h.ended(ctx, r, rep, lease, use)
		trace.End(span, asError(rep.Err))
	}
	if rep.Outcome != outcome.Done {
		end(rep)
		return nil, rep.Err
	}
	a := &filter.Answer{Status: rep.Status, Header: rep.Header, Body: rep.Body, Length: int64(len(rep.Body)), Backend: lease.Name()}
	if rep.Stream == nil {
		end(rep)
		return a, nil
	}
	a.Length = declared(rep.Header)
	a.Stream = &leasedStream{ReadCloser: rep.Stream, rep: rep, end: end}
	return a, nil
}

// asError keeps a nil *outcome.Error from becoming an error.
func asError(e *outcome.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// declared returns the length that a backend server gave its answer, -1 for
// none.
func declared(header http.Header) int64 {
	n, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// ended gives the slot back and tells the guard how the request ended.
func (h Handler) ended(ctx context.Context, r *filter.Request, rep *attempt.Reply, lease *pool.Lease, use *quarantine.Attempt) {
	if rep.Stalled {
		r.Avoid.Remove(lease.Name())
	}
	switch {
	case rep.ConnectionLost:
		h.Guard.ConnectionLost(ctx, use, lease.Address())
	case rep.Outcome == outcome.Done:
		h.Guard.Done(use)
	default:
		h.Guard.Inconclusive(use)
	}
	lease.Release(rep)
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
	rep  *attempt.Reply
	once sync.Once
	// err is what the last Read returned.
	err error
	end func(*attempt.Reply)
}

// Read implements io.Reader.
func (s *leasedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.err = err
	return n, err
}

// Close implements io.Closer.
func (s *leasedStream) Close() error {
	defer s.once.Do(func() { s.end(s.reply()) })
	return s.ReadCloser.Close()
}

// reply is how the attempt ended, which only its last byte told.
func (s *leasedStream) reply() *attempt.Reply {
	rep := *s.rep
	if s.err == io.EOF {
		return &rep
	}
	rep.Outcome = outcome.Unknown
	if s.err == nil {
		rep.Err = outcome.UnknownError(outcome.KindCancelled, "the answer was not read to its end")
		return &rep
	}
	rep.Err = outcome.AsError(s.err)
	rep.ConnectionLost, rep.Stalled = rep.Err.Kind == outcome.KindCutAnswer, rep.Err.Kind == outcome.KindBackendLost
	return &rep
}
