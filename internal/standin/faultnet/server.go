// Package faultnet serves HTTP on a listener with network faults: it can
// refuse connections and take them again on the same address, cut the open
// ones, and let them go silent while new ones work.
package faultnet

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/heldport"
)

const headerTimeout = 10 * time.Second

// Server serves one handler on one address. Its methods may be called from
// any goroutine, handlers included.
type Server struct {
	handler http.Handler

	mu sync.Mutex
	// addr is the bound address after the first Open.
	addr string
	// ln and srv are nil while the server refuses connections.
	ln  *listener
	srv *http.Server
	// served is closed when srv has stopped to accept.
	served chan struct{}
	// held keeps the port from the first Open to Close.
	held heldport.Kept
}

// New returns a server that is not yet open. A port of 0 in addr is chosen by
// the first Open and kept by later ones.
func New(addr string, h http.Handler) *Server {
	return &Server{addr: addr, handler: h}
}

// Open starts to take connections; it does nothing when already open.
func (s *Server) Open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return nil
	}
	raw, err := s.held.Listen(s.addr)
	if err != nil {
		return errors.Trace(err)
	}
	s.addr = raw.Addr().String()
	s.ln = newListener(raw)
	s.srv = &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	s.served = make(chan struct{})
	go func(srv *http.Server, ln *listener, served chan struct{}) {
		defer close(served)
		_ = srv.Serve(ln)
	}(s.srv, s.ln, s.served)
	return nil
}

// Addr returns the address; after the first Open it is the bound one.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Refuse closes the listener and every connection; new ones are refused until
// the next Open.
func (s *Server) Refuse() {
	s.mu.Lock()
	ln, srv, served := s.ln, s.srv, s.served
	s.ln, s.srv = nil, nil
	s.mu.Unlock()
	if ln == nil {
		return
	}
	_ = srv.Close()
	// The system goes on taking connections until the pending accept returns.
	<-served
	ln.closeOpen()
}

// Silence makes the connections that are open now silent for good and returns
// how many there were. New ones work.
func (s *Server) Silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return 0
	}
	return s.ln.silence()
}

// Close stops the server and gives its port free.
func (s *Server) Close() {
	s.Refuse()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held.Release()
}
