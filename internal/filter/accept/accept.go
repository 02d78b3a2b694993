// Package accept is the first step of the pipeline. It converts a caller's HTTP
// request into a filter.Request of limited size, calls the pipeline, and writes
// the response. If the response cannot be written completely, it aborts the
// connection.
//
// Metrics: the counters accept.* for rejected requests, and request.* for the
// outcomes of accepted ones.
package accept

import (
	"context"
	"crypto/rand"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"golang.org/x/sync/semaphore"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/telemetry"
	"github.com/banyandeal/banyandeal/internal/trace"
)

const (
	// busyRetryAfter is the Retry-After of requests that are rejected because the
	// instance is at a limit or has no configuration.
	busyRetryAfter = time.Second
	// minDeadline is the shortest deadline that a caller may set.
	minDeadline = time.Millisecond
)

// Handler serves callers' requests to /{service}/{path}.
type Handler struct {
	// Estate returns the configuration in force, or nil if there is none yet.
	Estate func() *estate.Estate
	// Next is the pipeline.
	Next filter.Handler
	// Region returns the region of this instance.
	Region func() string
	// Leaving reports whether this instance has begun a planned shutdown.
	// Responses then ask callers to close their keep-alive connections.
	Leaving  func() bool
	Metrics  *telemetry.Metrics
	Recorder *trace.Recorder
	// InFlight limits the number of requests in progress.
	InFlight *semaphore.Weighted
	// BodyBytes limits the total bytes of the bodies of requests in progress.
	BodyBytes *semaphore.Weighted
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	start := time.Now()
	if !h.InFlight.TryAcquire(1) {
		h.Metrics.Count("accept.busy")
		reject(w, hr, outcome.NotRunError(outcome.KindOverloaded, busyRetryAfter, "this instance is at its limit of requests in progress"))
		return
	}
	defer h.InFlight.Release(1)
	r, releaseBody, err := h.readRequest(w, hr, start)
	if err != nil {
		h.Metrics.Count("accept." + string(err.Kind))
		reject(w, hr, err)
		return
	}
	defer releaseBody()
	h.serve(w, hr, r, start)
}

// reject writes the error of a request that this instance rejected before it
// called the pipeline.
func reject(w http.ResponseWriter, hr *http.Request, err *outcome.Error) {
	if hr.Header.Get(filter.HeaderIdempotencyKey) != "" {
		err = filter.WithUnknownOutcome(err)
	}
	WriteError(w, err)
}

// serve calls the pipeline and writes its response or error. It panics with
// http.ErrAbortHandler if the response cannot be written completely.
func (h *Handler) serve(w http.ResponseWriter, hr *http.Request, r *filter.Request, start time.Time) {
	ctx, cancel := context.WithDeadline(h.Recorder.Extract(hr.Context(), hr.Header.Get(trace.HeaderTraceParent)), r.Deadline)
	defer cancel()
	ctx, span := h.Recorder.Start(ctx, "request", attribute.String("service", r.Service.Name),
		attribute.String("request", r.ID), attribute.String("method", r.Method), attribute.String("path", r.Path))
	resp, err := h.Next.Serve(ctx, r)
	header := h.responseHeader(ctx, r)
	if err == nil {
		err = writeResponse(w, hr.Method, header, resp)
		if err != nil {
			// The status line has been sent. Only an aborted connection shows
			// the caller that the response is truncated.
			defer panic(http.ErrAbortHandler)
		}
	} else {
		maps.Copy(w.Header(), header)
		WriteError(w, outcome.AsError(err))
	}
	h.recordOutcome(r, err, start)
	trace.End(span, err)
}

// responseHeader returns the headers that this instance adds to a response.
func (h *Handler) responseHeader(ctx context.Context, r *filter.Request) http.Header {
	header := http.Header{}
	header.Set(filter.HeaderRequestID, r.ID)
	header.Set(trace.HeaderTraceParent, h.Recorder.Inject(ctx))
	if h.Leaving() {
		header.Set("Connection", "close")
	}
	return header
}

// recordOutcome counts the outcome of a request, and its latency if it is Done.
func (h *Handler) recordOutcome(r *filter.Request, err error, start time.Time) {
	if err == nil {
		h.Metrics.CountOutcome(r.Service.Name, outcome.Done, "")
		h.Metrics.Latency("latency." + r.Service.Name).Record(time.Since(start))
		return
	}
	e := outcome.AsError(err)
	h.Metrics.CountOutcome(r.Service.Name, e.Outcome, e.Kind)
}

// readRequest validates and reads a request within its limits. The function that
// it returns releases the memory of the body.
func (h *Handler) readRequest(w http.ResponseWriter, hr *http.Request, start time.Time) (*filter.Request, func(), *outcome.Error) {
	e := h.Estate()
	if e == nil {
		return nil, nil, outcome.NotRunError(outcome.KindNotReady, busyRetryAfter, "this instance has no configuration yet")
	}
	if err := validateRequest(hr); err != nil {
		return nil, nil, err
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(hr.URL.EscapedPath(), "/"), "/")
	svc := e.ServiceOf(name)
	if svc == nil {
		return nil, nil, outcome.RejectedError(outcome.KindUnknownService, "send it to /{service}/{path} with a declared service", "no service %q", name)
	}
	path = "/" + path
	if hr.URL.RawQuery != "" {
		path += "?" + hr.URL.RawQuery
	}
	deadline, err := requestDeadline(hr, svc, start)
	if err != nil {
		return nil, nil, err
	}
	body, releaseBody, err := h.readBody(w, hr, svc)
	if err != nil {
		return nil, nil, err
	}
	return &filter.Request{
		ID: rand.Text(), Caller: callerAddr(hr), Service: svc, Method: hr.Method, Path: path,
		Header: filter.EndToEnd(hr.Header), Body: body, Key: hr.Header.Get(filter.HeaderIdempotencyKey),
		Deadline: deadline, Stage: filter.StageEntry, FromRegion: h.Region(),
	}, releaseBody, nil
}

// validateRequest rejects requests that the caller, the instance and the backend
// server could interpret differently. A path with dot segments may resolve to
// another operation than its prefix indicates. HTTP/1.0 cannot distinguish a
// truncated response from a complete one.
func validateRequest(hr *http.Request) *outcome.Error {
	switch {
	case !hr.ProtoAtLeast(1, 1):
		return outcome.RejectedError(outcome.KindBadRequest, "use HTTP/1.1", "the protocol is %s", hr.Proto)
	case hr.Method == http.MethodConnect || hr.Method == http.MethodTrace:
		return outcome.RejectedError(outcome.KindBadRequest, "use another method", "method %s is not forwarded", hr.Method)
	case hasDotSegment(hr.URL.Path):
		return outcome.RejectedError(outcome.KindBadRequest, "send the path it resolves to", "the path has a segment . or ..")
	}
	return nil
}

// hasDotSegment reports whether a decoded path has a segment "." or "..". It
// treats a backslash as a separator too.
func hasDotSegment(path string) bool {
	if !strings.Contains(path, ".") {
		return false
	}
	for segment := range strings.FieldsFuncSeq(path, func(c rune) bool { return c == '/' || c == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// readBody reads the body after reserving memory for it. The function that it
// returns releases the memory.
func (h *Handler) readBody(w http.ResponseWriter, hr *http.Request, svc *estate.Service) ([]byte, func(), *outcome.Error) {
	if hr.ContentLength == 0 {
		return nil, func() {}, nil
	}
	if hr.ContentLength > svc.MaxBody {
		return nil, nil, bodyTooLarge(svc)
	}
	reserve := hr.ContentLength
	if reserve < 0 {
		reserve = svc.MaxBody
	}
	if !h.BodyBytes.TryAcquire(reserve) {
		return nil, nil, outcome.NotRunError(outcome.KindOverloaded, busyRetryAfter, "this instance is at its limit of memory for request bodies")
	}
	releaseBody := func() { h.BodyBytes.Release(reserve) }
	// Reading the body may write 100 Continue.
	ExtendWriteDeadline(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, svc.MaxBody))
	if err == nil {
		return body, releaseBody, nil
	}
	releaseBody()
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, nil, bodyTooLarge(svc)
	}
	return nil, nil, outcome.RejectedError(outcome.KindBadRequest, "send the complete body in time", "the body cannot be read: %v", err)
}

func bodyTooLarge(svc *estate.Service) *outcome.Error {
	return outcome.RejectedError(outcome.KindTooLarge, "send a smaller body", "the body is larger than %d bytes", svc.MaxBody)
}

// requestDeadline returns the request's deadline: the one that the caller set, but
// at most the service's, counted from start.
func requestDeadline(hr *http.Request, svc *estate.Service, start time.Time) (time.Time, *outcome.Error) {
	limit := start.Add(svc.Deadline)
	text := hr.Header.Get(filter.HeaderDeadline)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || time.Duration(ms)*time.Millisecond < minDeadline {
		return limit, outcome.RejectedError(outcome.KindBadRequest, "give whole milliseconds, at least 1", "%s is %q", filter.HeaderDeadline, text)
	}
	if d := start.Add(time.Duration(ms) * time.Millisecond); d.Before(limit) {
		return d, nil
	}
	return limit, nil
}

// callerAddr returns the caller's IP address, or the zero Addr if the remote
// address is not an IP address with a port.
func callerAddr(hr *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(hr.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}
