// Package ingress takes requests off callers' connections and writes the
// answers back in the order in which the requests came.
//
// Requests that a caller sends ahead of earlier answers run side by side. A
// caller that closes its connection cancels what it has not got an answer to.
package ingress

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Request is one request of a caller, read whole.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the last byte had been read.
	Received time.Time
}

// Response is the final answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort closes the connection without an answer.
	Abort bool
}

// Handler answers requests. ctx ends when the caller has gone.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}

// ErrorHandler makes answers to requests that could not be read.
type ErrorHandler func(status int) *Response

const (
	// maxPipelined is how many requests of one connection are read ahead.
	maxPipelined = 8
	writeTimeout = 10 * time.Second
	// idleAfterStop is how long a connection may stay unused once the
	// instance is stopping.
	idleAfterStop = 50 * time.Millisecond
	// firstAfterStop is the same for a connection without a request so far.
	firstAfterStop = time.Second
	bufferBytes    = 4 << 10
	// headerSlack allows for the bytes of the request line and the line ends.
	headerSlack = 4 << 10
)

// Server serves the connections of a listener.
type Server struct {
	handler Handler
	refuse  ErrorHandler
	limits  func() traffic.Limits
	// slots bounds the open connections.
	slots    chan struct{}
	stopping chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// New returns a server. limits is asked for each request; maxConns bounds the
// open connections.
func New(h Handler, refuse ErrorHandler, limits func() traffic.Limits, maxConns int) *Server {
	return &Server{
		handler: h, refuse: refuse, limits: limits, slots: make(chan struct{}, maxConns),
		stopping: make(chan struct{}), conns: map[*conn]struct{}{},
	}
}

// Serve takes connections until the listener closes.
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
		c := &conn{server: s, net: nc, queue: make(chan *exchange, maxPipelined)}
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

// Stop asks for the end of all connections: idle ones close, others close
// behind the last answer that they owe.
func (s *Server) Stop() {
	close(s.stopping)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		// Readers that wait for a request look at stopping again.
		_ = c.net.SetReadDeadline(time.Now().Add(idleAfterStop))
	}
}

// Wait waits until all connections have closed, at most until ctx ends.
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

func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

// exchange is a request that owes an answer.
type exchange struct {
	answer chan *Response
	head   bool
	// final closes the connection behind the answer.
	final bool
}

type conn struct {
	server *Server
	net    net.Conn
	queue  chan *exchange
	mu     sync.Mutex
	owed   int
	// closing is set once the last answer was chosen; what comes behind it
	// counts as not read.
	closing bool
	// used is set when the connection has carried a request; only the reader
	// touches it.
	used bool
}

func (c *conn) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write(cancel)
	}()
	gone := c.read(ctx)
	if gone {
		cancel()
	}
	close(c.queue)
	<-written
	cancel()
	_ = c.net.Close()
}

// read reads requests until the connection ends and reports whether the caller
// has gone, so that nobody waits for answers.
func (c *conn) read(ctx context.Context) (gone bool) {
	limited := &io.LimitedReader{R: c.net, N: bufferBytes}
	br := bufio.NewReaderSize(limited, bufferBytes)
	for {
		limits := c.server.limits()
		limited.N = int64(limits.HeaderBytes) + headerSlack
		more, closed := c.await(ctx, br, limits.IdleTimeout)
		if !more {
			return closed
		}
		_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		r, last, status := readRequest(br, limited, c.net, limits)
		if status != 0 {
			c.enqueue(&exchange{answer: answered(c.server.refuse(status)), final: true})
			return c.drain(ctx)
		}
		c.used = true
		ex := &exchange{answer: make(chan *Response, 1), final: last, head: r.Method == http.MethodHead}
		if !c.enqueue(ex) {
			return false
		}
		go func() { ex.answer <- c.server.handler.Serve(ctx, r) }()
		if last {
			return c.drain(ctx)
		}
	}
}

// drain waits for the caller's close or the end of the last answer.
func (c *conn) drain(ctx context.Context) (gone bool) {
	buf := make([]byte, 512)
	_ = c.net.SetReadDeadline(time.Time{})
	for ctx.Err() == nil {
		if c.pending() == 0 {
			return false
		}
		_ = c.net.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.net.Read(buf); err != nil && !isTimeout(err) {
			return true
		}
	}
	return true
}

func answered(a *Response) chan *Response {
	ch := make(chan *Response, 1)
	ch <- a
	return ch
}

// enqueue promises an answer behind those that are owed. It returns false when
// the last one was chosen before.
func (c *conn) enqueue(ex *exchange) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.owed++
	c.mu.Unlock()
	c.queue <- ex
	return true
}

// settle takes an answer off what is owed and reports whether it is the last.
func (c *conn) settle(final bool) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed--
	c.closing = c.closing || final || c.server.isStopping() && c.owed == 0
	return c.closing
}

func (c *conn) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owed
}

// await waits for the first byte of a request. Without one it reports whether
// the caller closed the connection.
func (c *conn) await(ctx context.Context, br *bufio.Reader, idle time.Duration) (more, closed bool) {
	if br.Buffered() > 0 {
		return true, false
	}
	since := time.Now()
	for {
		stopping := c.server.isStopping()
		if ctx.Err() != nil || stopping && c.pending() == 0 && time.Since(since) >= c.graceAfterStop() {
			return false, false
		}
		wait := idle
		if stopping {
			wait = c.graceAfterStop()
		}
		_ = c.net.SetReadDeadline(time.Now().Add(wait))
		_, err := br.Peek(1)
		switch {
		case err == nil:
			return true, false
		case !isTimeout(err):
			return false, true
		case c.pending() > 0:
			since = time.Now()
		case time.Since(since) >= idle:
			return false, false
		}
	}
}

// graceAfterStop returns how long the connection may stay without a request
// once the instance is stopping. One that has carried none yet was opened for
// one that is on its way.
func (c *conn) graceAfterStop() time.Duration {
	if c.used {
		return idleAfterStop
	}
	return firstAfterStop
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// readRequest reads one request whole. A status other than 0 is the answer to
// one that cannot be taken. last is set when the caller asked for the end of
// the connection.
func readRequest(br *bufio.Reader, limited *io.LimitedReader, nc net.Conn, limits traffic.Limits) (r *Request, last bool, status int) {
	began := time.Now()
	req, err := http.ReadRequest(br)
	switch {
	case err != nil && limited.N <= 0:
		return nil, true, http.StatusRequestHeaderFieldsTooLarge
	case err != nil && time.Since(began) >= limits.HeaderTimeout:
		return nil, true, http.StatusRequestTimeout
	case err != nil:
		return nil, true, http.StatusBadRequest
	case req.ContentLength > limits.BodyBytes:
		return nil, true, http.StatusRequestEntityTooLarge
	}
	if req.Header.Get("Expect") != "" {
		if _, err := nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, true, http.StatusBadRequest
		}
	}
	limited.N = limits.BodyBytes*2 + bufferBytes
	body, err := readBody(req, limits, nc)
	switch {
	case isTimeout(err):
		return nil, true, http.StatusRequestTimeout
	case err != nil:
		return nil, true, http.StatusBadRequest
	case int64(len(body)) > limits.BodyBytes:
		return nil, true, http.StatusRequestEntityTooLarge
	}
	return &Request{
		Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header,
		Body: body, Received: time.Now(),
	}, req.Close, 0
}

func readBody(req *http.Request, limits traffic.Limits, nc net.Conn) ([]byte, error) {
	if req.Body == http.NoBody {
		return nil, nil
	}
	_ = nc.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	return io.ReadAll(io.LimitReader(req.Body, limits.BodyBytes+1))
}

// write writes the answers in order. It cancels what is behind an answer that
// ends the connection.
func (c *conn) write(cancel context.CancelFunc) {
	broken := false
	for ex := range c.queue {
		a := <-ex.answer
		last := c.settle(ex.final || a.Abort)
		if broken {
			continue
		}
		if a.Abort || c.writeAnswer(a, ex.head, last) != nil || last {
			broken = true
			cancel()
			c.finish()
		}
	}
}

// finish ends the connection behind what was written, so that unread bytes do
// not reset it before the caller has read the answer.
func (c *conn) finish() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.net.SetReadDeadline(time.Now().Add(idleAfterStop))
}

func (c *conn) writeAnswer(a *Response, head, last bool) error {
	var b bytes.Buffer
	b.Grow(512 + len(a.Body))
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(a.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(a.Status))
	b.WriteString("\r\n")
	if err := a.Header.Write(&b); err != nil {
		return errors.Trace(err)
	}
	bodyless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if !bodyless && (!head || a.Header.Get("Content-Length") == "") {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(a.Body)))
		b.WriteString("\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !head {
		b.Write(a.Body)
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.net.Write(b.Bytes())
	return errors.Trace(err)
}
