// Package filter defines the request pipeline of an entry instance: the types
// Request and Response, and the interfaces through which each filter calls the
// next one. Each filter has its own package below this one.
package filter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Names of HTTP headers in requests and responses.
const (
	// HeaderIdempotencyKey carries the idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome carries the outcome of a request to its caller.
	HeaderOutcome = "Banyandeal-Outcome"
	// HeaderDeadline carries the time until the request's deadline in
	// milliseconds.
	HeaderDeadline = "Banyandeal-Deadline"
	// HeaderRequestID carries the request's ID, which is the same at every hop.
	HeaderRequestID = "Banyandeal-Request-Id"
	// HeaderVersion carries the version of the configuration in force.
	HeaderVersion = "Banyandeal-Version"
)

// Stage says how far a request has advanced on its path through instances. It
// only increases from hop to hop, which bounds the number of hops.
type Stage int32

// Stages of a request. The peer protocol uses the same values.
const (
	// StageEntry means that the request is at the instance that the caller sent
	// it to.
	StageEntry Stage = 0
	// StageHome means that the request is at the authority of its key.
	StageHome Stage = 1
	// StageRelay means that the request is at another instance of the region,
	// which may hold a right on a link for which the sender holds none.
	StageRelay Stage = 2
	// StageZone means that the request is at an instance of the zone that is to
	// run it.
	StageZone Stage = 3
	// StageOwner means that the request is at the instance that owns the backend
	// servers to try; that instance does not forward it.
	StageOwner Stage = 4
)

// Request is one request in the pipeline. A filter must not modify it after it
// has called the next one.
type Request struct {
	ID string
	// Caller is the caller's IP address.
	Caller  netip.Addr
	Service *estate.Service
	Method  string
	// Path is the path and query that are sent to the backend server.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key; empty if the request has none.
	Key string
	// Operation is the name of the request's operation; empty if it matches no
	// declared operation.
	Operation  string
	Idempotent bool
	Deadline   time.Time
	Stage      Stage
	// Hops is the number of instances that the request has passed through on
	// the path to the authority of its key.
	Hops int
	// FromRegion is the region of the instance that the last hop came from.
	FromRegion string
	// ExcludedBackends holds the backend servers that earlier attempts used; nil
	// before the first attempt.
	ExcludedBackends *ExcludedBackends
}

// ExcludedBackends is a set of backend servers that later attempts must not
// use. It is safe for concurrent use. A nil set is empty and ignores changes.
type ExcludedBackends struct {
	mu    sync.Mutex
	names []string
}

// NewExcludedBackends returns an empty set.
func NewExcludedBackends() *ExcludedBackends { return &ExcludedBackends{} }

// Add adds the named backend server to the set.
func (e *ExcludedBackends) Add(name string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.names = append(e.names, name)
}

// Remove removes the named backend server from the set. It is for an attempt
// whose connection failed although the backend server itself did not.
func (e *ExcludedBackends) Remove(name string) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.names = slices.DeleteFunc(e.names, func(n string) bool { return n == name })
}

// Names returns the names of the backend servers in the set.
func (e *ExcludedBackends) Names() []string {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.names)
}

// Len returns the number of backend servers in the set.
func (e *ExcludedBackends) Len() int { return len(e.Names()) }

// Response is a backend server's response. The body is either in Body or in
// Stream.
type Response struct {
	// Status is the HTTP status code.
	Status int
	Header http.Header
	// Body is the body of a small response, which was read completely. It is
	// unused if Stream is not nil.
	Body []byte
	// Stream reads the body of a larger response; nil for a small one. Its Read
	// returns an error if the response is truncated.
	Stream io.ReadCloser
	// Length is the declared length of the body in bytes; -1 if unknown.
	Length int64
	// Backend names the backend server that ran the request.
	Backend string
}

// Reader returns a reader of the body, for Body as well as for Stream.
func (r *Response) Reader() io.ReadCloser {
	if r.Stream != nil {
		return r.Stream
	}
	return io.NopCloser(bytes.NewReader(r.Body))
}

// Close closes Stream if there is one.
func (r *Response) Close() {
	if r.Stream != nil {
		r.Stream.Close()
	}
}

// Handler serves a request. The error that Serve returns is or wraps an
// *outcome.Error.
type Handler interface {
	Serve(ctx context.Context, r *Request) (*Response, error)
}

// HandlerFunc is an adapter that turns a function into a Handler.
type HandlerFunc func(ctx context.Context, r *Request) (*Response, error)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) (*Response, error) { return f(ctx, r) }

// WithUnknownOutcome returns a copy of err with an Unknown outcome. It is for a
// request with an idempotency key that was rejected before the key's authority
// received it: another attempt with the same key may have run.
func WithUnknownOutcome(err *outcome.Error) *outcome.Error {
	unknown := *err
	unknown.Outcome = outcome.Unknown
	if unknown.RetryAfter > 0 {
		unknown.Remedy = "send it again with the same key after the time in Retry-After; it runs at most once"
	}
	return &unknown
}

// Filter is one step of the pipeline.
type Filter interface {
	// Name returns the filter's name in traces and counters.
	Name() string
	// Wrap returns a handler that applies the filter and calls next.
	Wrap(next Handler) Handler
}

// Chain returns a handler that applies the filters in order, the first one
// outermost, and then calls last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i].Wrap(h)
	}
	return h
}
