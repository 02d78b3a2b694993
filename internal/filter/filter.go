// Package filter defines the request pipeline of an entry instance: what a
// request and an answer are, and the one method by which each filter calls the
// next. Each filter is a package of its own below this one.
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

// Header names that callers and backend servers see.
const (
	// HeaderIdempotencyKey carries the idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderOutcome tells a caller how its request ended.
	HeaderOutcome = "Banyandeal-Outcome"
	// HeaderDeadline carries the time left in milliseconds.
	HeaderDeadline = "Banyandeal-Deadline"
	// HeaderRequestID names one request at every hop.
	HeaderRequestID = "Banyandeal-Request-Id"
	// HeaderVersion tells a caller the configuration version in force.
	HeaderVersion = "Banyandeal-Version"
)

// Stage tells how far a request has come on its way through instances. It only
// rises from hop to hop, which bounds the number of hops.
type Stage int32

// Stages of a request; the values are those of the peer protocol.
const (
	// StageEntry is at the instance that a caller sent the request to.
	StageEntry Stage = 0
	// StageHome is at the authority of the request's key.
	StageHome Stage = 1
	// StageRelay is at another instance of the region, asked because it may
	// have a right on a link where the sender has none.
	StageRelay Stage = 2
	// StageZone is at an instance of the zone that is to run the request.
	StageZone Stage = 3
	// StageOwner is at the owner of a backend server; it goes nowhere else.
	StageOwner Stage = 4
)

// Request is one request on its way through the pipeline. Filters do not
// change it after the next one was called.
type Request struct {
	ID      string
	Caller  netip.Addr
	Service *estate.Service
	Method  string
	// Path is the path and query as the backend server sees them.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key, empty if the caller sent none.
	Key string
	// Operation names the request's class; empty if the estate declares none.
	Operation  string
	Idempotent bool
	Deadline   time.Time
	Stage      Stage
	// Hops counts the instances that the request passed on its way to the
	// authority of its key.
	Hops int
	// FromRegion is the region that the last hop came from.
	FromRegion string
	// Excluded holds the backend servers that earlier attempts used; nil before
	// the first.
	Excluded *ExcludedBackends
}

// ExcludedBackends is a set of backend servers that further attempts leave out. It is
// safe for concurrent use; a nil one is empty.
type ExcludedBackends struct {
	mu    sync.Mutex
	names []string
}

// NewExcludedBackends returns an empty set.
func NewExcludedBackends() *ExcludedBackends { return &ExcludedBackends{} }

// Add puts a backend server into the set.
func (a *ExcludedBackends) Add(name string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.names = append(a.names, name)
}

// Remove takes a backend server out again: its connection failed and not it.
func (a *ExcludedBackends) Remove(name string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.names = slices.DeleteFunc(a.names, func(n string) bool { return n == name })
}

// Names returns the backend servers in the set.
func (a *ExcludedBackends) Names() []string {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.names)
}

// Len returns the number of backend servers in the set.
func (a *ExcludedBackends) Len() int { return len(a.Names()) }

// Response is a backend server's whole answer.
type Response struct {
	Status int
	Header http.Header
	// Body is a small answer that was read whole. A larger one is in Stream,
	// whose Read returns an error if the answer turns out to be cut.
	Body   []byte
	Stream io.ReadCloser
	// Length is the declared length of the body in bytes, -1 if unknown.
	Length int64
	// Backend names the backend server that ran the request.
	Backend string
}

// Reader returns the answer's body whichever way it is held.
func (a *Response) Reader() io.ReadCloser {
	if a.Stream != nil {
		return a.Stream
	}
	return io.NopCloser(bytes.NewReader(a.Body))
}

// Close lets go of a streamed body.
func (a *Response) Close() {
	if a.Stream != nil {
		a.Stream.Close()
	}
}

// Handler serves a request. An error is, or wraps, an *outcome.Error.
type Handler interface {
	Serve(ctx context.Context, r *Request) (*Response, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, r *Request) (*Response, error)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, r *Request) (*Response, error) { return f(ctx, r) }

// WithUnknownOutcome returns the error of a request with a key that was turned away before
// the key's authority was asked: another attempt may have run, so that its
// outcome is unknown.
func WithUnknownOutcome(err *outcome.Error) *outcome.Error {
	told := *err
	told.Outcome = outcome.Unknown
	if told.RetryAfter > 0 {
		told.Remedy = "send it again with the same key after the time in Retry-After; it runs at most once"
	}
	return &told
}

// Filter makes a handler that does its part and calls next.
type Filter interface {
	// Name is the filter's name in traces and counters.
	Name() string
	Wrap(next Handler) Handler
}

// Chain puts filters in front of last, the first one outermost.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i].Wrap(h)
	}
	return h
}
