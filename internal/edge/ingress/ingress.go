// Package ingress is the HTTP/1.1 server for callers. It reads requests from
// their connections and writes the responses in the order of the requests.
//
// Pipelined requests of a connection run concurrently. A caller that closes its
// connection cancels the requests that have no response yet.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/edge/credential"
	"github.com/banyandeal/banyandeal/internal/edge/memory"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Request is one completely read request of a caller.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	// Host is the host that the request addresses; it may include a port.
	Host string
	// Header holds the request headers.
	Header http.Header
	// Body is the request body, nil if there is none.
	Body memory.Body
	// Memory is the account that holds Body and what is read for the response. It is closed
	// once that is written. nil if nothing bounds them.
	Memory *memory.Account
	// Received is when the last byte of the request had been read.
	Received time.Time
	// Handover is set for a request that another instance has handed over.
	Handover *Handover
}

// Handover tells where a request has been before.
type Handover struct {
	// From is the name of the instance that the caller sent the request to.
	From string
	// Runs is the number of backend servers that may have run the request.
	Runs int
	// Credential is what that instance has read of the caller's account.
	Credential credential.Credential
}

// Response is the response to a request.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the response headers.
	Header http.Header
	// Body is the response body.
	Body []byte
	// Abort closes the connection without writing the response.
	Abort bool
}

// Handler responds to requests. Serve is called concurrently. Its ctx ends when
// the caller closes the connection or when a response ends the connection.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// Rejection is why a request was not passed to the Handler. It has not run.
type Rejection struct {
	// Status is the HTTP status of the response.
	Status int
	Reason Reason
}

// Reason names why a request was not passed to the Handler.
type Reason string

// Reasons.
const (
	// ReasonUnreadable is that of a request that is not valid, exceeds the limits or does not
	// arrive in time.
	ReasonUnreadable Reason = "unreadable"
	// ReasonProvisional is that of a request that exceeds provisional limits: it may be accepted
	// later.
	ReasonProvisional Reason = "provisional_limits"
	// ReasonMemory is that of a request whose body does not fit into memory now.
	ReasonMemory Reason = "memory_full"
	// ReasonStopping is that of a request that came too late in a planned shutdown.
	ReasonStopping Reason = "stopping"
	// ReasonTooLarge is that of a request whose body never fits into memory.
	ReasonTooLarge Reason = "memory_too_small"
)

// ErrorHandler returns the response to a request that was not passed to the Handler.
type ErrorHandler func(Rejection) *Response

// Server serves the connections of a listener.
type Server struct {
	handler      Handler
	errorHandler ErrorHandler
	limits       func() traffic.Limits
	budget       *memory.Budget
	// slots holds an element for each open connection; its capacity bounds them.
	slots chan struct{}
	// lingering holds an element for each connection that lingers; its capacity bounds them.
	lingering chan struct{}
	// takeUntil is when a planned shutdown takes no more requests. It is set before stopping is
	// closed.
	takeUntil time.Time
	// stopping is closed by Stop.
	stopping chan struct{}
	// wg counts the open connections.
	wg sync.WaitGroup
	// mu guards conns.
	mu sync.Mutex
	// conns holds the open connections.
	conns map[*conn]struct{}
}

// New returns a Server. limits is called for each request. budget bounds what requests and their
// responses hold; it may be nil. maxConns bounds the open connections; further ones are closed at
// once.
func New(h Handler, errorHandler ErrorHandler, limits func() traffic.Limits, budget *memory.Budget, maxConns int) *Server {
	return &Server{
		handler: h, errorHandler: errorHandler, limits: limits, budget: budget, slots: make(chan struct{}, maxConns), lingering: make(chan struct{}, maxLingering),
		stopping: make(chan struct{}), conns: map[*conn]struct{}{},
	}
}

// Serve accepts connections until the listener fails and returns its error.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			return errors.Annotate(err, "accept a caller's connection")
		}
		select {
		case s.slots <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		c := newConn(s, nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			c.serve()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			<-s.slots
		}()
	}
}

// Stop begins the planned shutdown: idle connections close, the others close
// after the response to their last request, which is the newest unanswered one. A connection
// that has none takes one more, if that has arrived at takeUntil. Stop must be called only once.
func (s *Server) Stop(takeUntil time.Time) {
	s.takeUntil = takeUntil
	close(s.stopping)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stop()
	}
}

// Wait returns when all connections have closed or ctx ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// refuses reports whether a request that has been read at a time comes too late.
func (s *Server) refuses(at time.Time) bool { return s.isStopping() && at.After(s.takeUntil) }

func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}
