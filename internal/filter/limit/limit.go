// Package limit is the last step of the pipeline. It acquires a slot of a backend
// server for a request, sends the request there once, and releases the slot when
// the response has been read. If no slot is free, it returns a not-run error
// immediately.
//
// Metrics: the kind no_capacity in request.kind.*. The status shows in_flight and
// peak of each backend server.
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

// noBackendRetryAfter is the Retry-After of a request for a service of which this
// instance owns no backend server. Other instances own them.
const noBackendRetryAfter = time.Second

// Handler sends requests to the backend servers that this instance owns.
type Handler struct {
	Pool     *pool.Pool
	Guard    *quarantine.Guard
	Recorder *trace.Recorder
}

// Serve implements filter.Handler.
func (h Handler) Serve(ctx context.Context, r *filter.Request) (*filter.Response, error) {
	fp := quarantine.Fingerprint(r)
	avoid := r.ExcludedBackends.Names()
	for {
		lease, ok := h.Pool.Acquire(r.Service.Name, avoid)
		if !ok {
			return nil, outcome.NotRunError(outcome.KindNoCapacity, h.retryAfter(r.Service), "no backend server of %s that this instance owns has a free slot", r.Service.Name)
		}
		use, ok := h.Guard.StartAttempt(lease.Name(), fp)
		if ok {
			r.ExcludedBackends.Add(lease.Name())
			return h.send(ctx, r, lease, use)
		}
		lease.Cancel()
		if h.Guard.Quarantined(fp) {
			return nil, decide.RejectionError()
		}
		// A suspect request must not share a backend server with another
		// suspect request.
		avoid = append(avoid, lease.Name())
	}
}

// retryAfter estimates when a slot is free for a request that found none.
func (h Handler) retryAfter(svc *estate.Service) time.Duration {
	free, slots := h.Pool.Free(svc.Name)
	if slots == 0 {
		return noBackendRetryAfter
	}
	return retry.RetryAfter(retry.Backlog{Slots: slots, Ahead: slots - free, MeanTime: svc.MeanTime}, rand.Float64())
}

// send makes one attempt at the leased backend server. The lease and use end with
// the attempt, which for a streamed response is when the stream is closed.
func (h Handler) send(ctx context.Context, r *filter.Request, lease *pool.Lease, use *quarantine.Attempt) (*filter.Response, error) {
	ctx, span := h.Recorder.Start(ctx, "attempt", attribute.String("backend", lease.Name()))
	reply := lease.Do(ctx, &attempt.Request{
		Method: r.Method, Path: r.Path, Header: h.header(ctx, r), Body: r.Body, Idempotent: r.Idempotent,
	})
	finish := func(reply *attempt.Reply) {
		h.endAttempt(ctx, r, reply, lease, use)
		trace.End(span, asError(reply.Err))
	}
	if reply.Outcome != outcome.Done {
		finish(reply)
		return nil, reply.Err
	}
	resp := &filter.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body, Length: int64(len(reply.Body)), Backend: lease.Name()}
	if reply.Stream == nil {
		finish(reply)
		return resp, nil
	}
	resp.Length = declaredLength(reply.Header)
	resp.Stream = &leasedStream{ReadCloser: reply.Stream, reply: reply, finish: finish}
	return resp, nil
}

// asError converts e to an error and a nil e to a nil error.
func asError(e *outcome.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// declaredLength returns the Content-Length of a response, or -1 if it has none or
// an invalid one.
func declaredLength(header http.Header) int64 {
	n, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// endAttempt reports the result of the attempt to the guard and releases the slot.
// If the connection became unresponsive, it allows later attempts to use the
// backend server again.
func (h Handler) endAttempt(ctx context.Context, r *filter.Request, reply *attempt.Reply, lease *pool.Lease, use *quarantine.Attempt) {
	if reply.Stalled {
		r.ExcludedBackends.Remove(lease.Name())
	}
	switch {
	case reply.ConnectionLost:
		h.Guard.ConnectionLost(ctx, use, lease.Address())
	case reply.Outcome == outcome.Done && reply.Status < http.StatusInternalServerError:
		h.Guard.Done(use)
	default:
		h.Guard.Inconclusive(use)
	}
	lease.Release(reply)
}

// header returns the header that is sent to the backend server.
func (h Handler) header(ctx context.Context, r *filter.Request) map[string][]string {
	header := r.Header.Clone()
	header.Set(filter.HeaderRequestID, r.ID)
	if r.Key != "" {
		header.Set(filter.HeaderIdempotencyKey, r.Key)
	}
	header.Set(trace.HeaderTraceParent, h.Recorder.Inject(ctx))
	return header
}

// leasedStream is a response's stream that holds the slot until it is closed.
type leasedStream struct {
	io.ReadCloser
	reply *attempt.Reply
	once  sync.Once
	// err is the error that the last Read returned.
	err    error
	finish func(*attempt.Reply)
}

// Read implements io.Reader.
func (s *leasedStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.err = err
	return n, err
}

// Close implements io.Closer.
func (s *leasedStream) Close() error {
	defer s.once.Do(func() { s.finish(s.finalReply()) })
	return s.ReadCloser.Close()
}

// finalReply returns the result of the attempt, which is known only once the stream
// has been read or closed.
func (s *leasedStream) finalReply() *attempt.Reply {
	reply := *s.reply
	if s.err == io.EOF {
		return &reply
	}
	reply.Outcome = outcome.Unknown
	if s.err == nil {
		reply.Err = outcome.UnknownError(outcome.KindCancelled, "the response was not read to its end")
		return &reply
	}
	reply.Err = outcome.AsError(s.err)
	reply.ConnectionLost, reply.Stalled = reply.Err.Kind == outcome.KindTruncatedResponse, reply.Err.Kind == outcome.KindBackendLost
	return &reply
}
