// Package accept is the first filter: it turns a caller's HTTP request into a
// bounded filter.Request, calls the pipeline, and delivers the answer whole.
//
// What an operator sees: counters accept.* for what was turned away, and
// request.* for how accepted requests ended.
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
	// busyRetryAfter is when a caller turned away by a full instance comes
	// back.
	busyRetryAfter = time.Second
	// minDeadline is the shortest deadline a caller may ask for.
	minDeadline = time.Millisecond
)

// Handler serves callers' requests under /{service}/.
type Handler struct {
	// Estate returns the configuration in force, nil before there is one.
	Estate func() *estate.Estate
	// Next is the pipeline.
	Next filter.Handler
	// Region returns the region of this instance.
	Region func() string
	// Leaving reports whether this instance has begun its planned stop; callers
	// are then asked to leave their kept-alive connections.
	Leaving  func() bool
	Metrics  *telemetry.Metrics
	Recorder *trace.Recorder
	// InFlight bounds the requests in progress, Memory the bytes of their bodies.
	InFlight   *semaphore.Weighted
	BodyMemory *semaphore.Weighted
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	start := time.Now()
	if !h.InFlight.TryAcquire(1) {
		h.Metrics.Count("accept.busy")
		refuse(w, hr, outcome.NotRunError(outcome.KindOverloaded, busyRetryAfter, "this instance holds as many requests as it may"))
		return
	}
	defer h.InFlight.Release(1)
	r, free, err := h.read(w, hr, start)
	if err != nil {
		h.Metrics.Count("accept." + string(err.Kind))
		refuse(w, hr, err)
		return
	}
	defer free()
	h.serve(w, hr, r, start)
}

// refuse answers a request that was turned away here.
func refuse(w http.ResponseWriter, hr *http.Request, err *outcome.Error) {
	if hr.Header.Get(filter.HeaderIdempotencyKey) != "" {
		err = filter.WithUnknownOutcome(err)
	}
	WriteError(w, err)
}

func (h *Handler) serve(w http.ResponseWriter, hr *http.Request, r *filter.Request, start time.Time) {
	ctx, cancel := context.WithDeadline(h.Recorder.Extract(hr.Context(), hr.Header.Get(trace.HeaderTraceParent)), r.Deadline)
	defer cancel()
	ctx, span := h.Recorder.Start(ctx, "request", attribute.String("service", r.Service.Name),
		attribute.String("request", r.ID), attribute.String("method", r.Method), attribute.String("path", r.Path))
	answer, err := h.Next.Serve(ctx, r)
	own := h.headers(ctx, r)
	if err == nil {
		err = deliver(w, hr.Method, own, answer)
		if err != nil {
			// The status line is out: only a broken connection tells the
			// caller that the answer is not whole.
			defer panic(http.ErrAbortHandler)
		}
	} else {
		maps.Copy(w.Header(), own)
		WriteError(w, outcome.AsError(err))
	}
	h.count(r, err, start)
	trace.End(span, err)
}

// headers are what this instance adds to an answer.
func (h *Handler) headers(ctx context.Context, r *filter.Request) http.Header {
	own := http.Header{}
	own.Set(filter.HeaderRequestID, r.ID)
	own.Set(trace.HeaderTraceParent, h.Recorder.Inject(ctx))
	if h.Leaving() {
		own.Set("Connection", "close")
	}
	return own
}

func (h *Handler) count(r *filter.Request, err error, start time.Time) {
	if err == nil {
		h.Metrics.CountOutcome(r.Service.Name, outcome.Done, "")
		h.Metrics.Latency("latency." + r.Service.Name).Record(time.Since(start))
		return
	}
	e := outcome.AsError(err)
	h.Metrics.CountOutcome(r.Service.Name, e.Outcome, e.Kind)
}

// read takes the request in within its bounds. free gives back the memory of
// the body.
func (h *Handler) read(w http.ResponseWriter, hr *http.Request, start time.Time) (*filter.Request, func(), *outcome.Error) {
	e := h.Estate()
	if e == nil {
		return nil, nil, outcome.NotRunError(outcome.KindNotReady, busyRetryAfter, "this instance has no configuration yet")
	}
	if err := checkForm(hr); err != nil {
		return nil, nil, err
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(hr.URL.EscapedPath(), "/"), "/")
	s := e.ServiceOf(name)
	if s == nil {
		return nil, nil, outcome.RejectedError(outcome.KindUnknownService, "send it to /{service}/{path} with a declared service", "no service %q", name)
	}
	path = "/" + path
	if hr.URL.RawQuery != "" {
		path += "?" + hr.URL.RawQuery
	}
	deadline, err := deadlineOf(hr, s, start)
	if err != nil {
		return nil, nil, err
	}
	body, free, err := h.readBody(w, hr, s)
	if err != nil {
		return nil, nil, err
	}
	return &filter.Request{
		ID: rand.Text(), Caller: callerOf(hr), Service: s, Method: hr.Method, Path: path,
		Header: filter.EndToEnd(hr.Header), Body: body, Key: hr.Header.Get(filter.HeaderIdempotencyKey),
		Deadline: deadline, Stage: filter.StageEntry, FromRegion: h.Region(),
	}, free, nil
}

// checkForm turns away requests that caller, instance and backend server could
// take differently: a path with dot segments may belong to another operation
// than its prefix says, and HTTP/1.0 can't tell a cut answer from a whole one.
func checkForm(hr *http.Request) *outcome.Error {
	switch {
	case !hr.ProtoAtLeast(1, 1):
		return outcome.RejectedError(outcome.KindBadRequest, "use HTTP/1.1", "the protocol is %s", hr.Proto)
	case hr.Method == http.MethodConnect || hr.Method == http.MethodTrace:
		return outcome.RejectedError(outcome.KindBadRequest, "use another method", "method %s is not passed on", hr.Method)
	case hasDotSegment(hr.URL.Path):
		return outcome.RejectedError(outcome.KindBadRequest, "send the path it resolves to", "the path has a segment . or ..")
	}
	return nil
}

// hasDotSegment reports whether a decoded path has a segment that names a
// place relative to another.
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

func (h *Handler) readBody(w http.ResponseWriter, hr *http.Request, s *estate.Service) ([]byte, func(), *outcome.Error) {
	if hr.ContentLength == 0 {
		return nil, func() {}, nil
	}
	if hr.ContentLength > s.MaxBody {
		return nil, nil, tooLarge(s)
	}
	reserve := hr.ContentLength
	if reserve < 0 {
		reserve = s.MaxBody
	}
	if !h.BodyMemory.TryAcquire(reserve) {
		return nil, nil, outcome.NotRunError(outcome.KindOverloaded, busyRetryAfter, "this instance holds as many body bytes as it may")
	}
	free := func() { h.BodyMemory.Release(reserve) }
	// Reading may write 100 Continue.
	ExtendWriteDeadline(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, s.MaxBody))
	if err == nil {
		return body, free, nil
	}
	free()
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, nil, tooLarge(s)
	}
	return nil, nil, outcome.RejectedError(outcome.KindBadRequest, "send the whole body in time", "the body can't be read: %v", err)
}

func tooLarge(s *estate.Service) *outcome.Error {
	return outcome.RejectedError(outcome.KindTooLarge, "send a smaller body", "the body is larger than %d bytes", s.MaxBody)
}

func deadlineOf(hr *http.Request, s *estate.Service, start time.Time) (time.Time, *outcome.Error) {
	limit := start.Add(s.Deadline)
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

func callerOf(hr *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(hr.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}
