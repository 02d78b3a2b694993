// Package egress sends requests to backend servers over pooled HTTP/1.1
// connections. Each request is written once to one connection; this package
// does not retry.
//
// Responses are matched to requests by the request id that they echo. They are
// read completely: a truncated response is an error.
package egress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/edge/memory"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/responsehead"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// probeTimeout bounds a health check.
	probeTimeout = time.Second
	// defaultIdleTimeout is the idle timeout assumed for a backend server whose
	// response has no Keep-Alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutFraction is the fraction of the backend server's idle timeout
	// during which a connection is reused. The rest prevents that a request is
	// sent while the backend server closes the connection.
	idleTimeoutFraction = 0.7
	// maxIdlePerBackend bounds the idle connections to one incarnation of a
	// backend server.
	maxIdlePerBackend = 4
	// bufferBytes is the size of the read buffer of a connection.
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, with the interim ones before it, and its
	// trailers.
	maxHeadBytes = 64 << 10
	// maxCopiedBody bounds the request bodies that are copied behind their head, so that both
	// take one write, in bytes.
	maxCopiedBody = 16 << 10
	// maxMismatched is the number of responses to other requests that are
	// skipped before an attempt fails.
	maxMismatched = 3
)

// Request is a request to a backend server.
type Request struct {
	// ID is the request id that the response must echo. The first response of a connection may
	// have none.
	ID string
	// Method is the HTTP method.
	Method string
	// Target is the path and query.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers, without Content-Length.
	Header http.Header
	// Body is the request body.
	Body memory.Body
	// Memory is the account that holds the bodies of the request; nil if they have no bound
	// together.
	Memory *memory.Account
	// probe is set for a health check, whose response is small.
	probe bool
	// NewConnection is set if the request must not be sent on a connection that has
	// carried others.
	NewConnection bool
	// Allowed reports, once there is a connection, whether the request may still be sent. It
	// may be nil.
	Allowed func() bool
	// OnWrite is called before the request is written to a connection, with the time at
	// which the backend server was last known to be up by that connection. It may be nil.
	OnWrite func(alive time.Time)
}

// BackendResponse is a completely read response.
type BackendResponse struct {
	// Status is the HTTP status.
	Status int
	// Header holds the response headers.
	Header http.Header
	// Body is the response body.
	Body []byte
	// TransferTime is how long the body took to arrive behind the head.
	TransferTime time.Duration
	// DialTime is how long it took to open the connection, 0 if the connection
	// was reused.
	DialTime time.Duration
}

// Error is the error of an attempt that yielded no complete response.
type Error struct {
	// Sent is set when the backend server may have received the request.
	Sent bool
	// ResponseStarted is set when a response header had been read.
	ResponseStarted bool
	// Withdrawn is set when the request was not sent because it was not allowed any more.
	Withdrawn bool
	// ConnectionRefused is set when the address refused the connection.
	ConnectionRefused bool
	// NotDialed is set when there was no open connection, and new ones fail everywhere.
	NotDialed bool
	// Reused is set when the connection had carried requests before.
	Reused bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("the request was not sent and can go to another backend server: %v", e.Cause)
	}
	return fmt.Sprintf("the backend server may have run the request, send it again only if it is idempotent: %v", e.Cause)
}

// TimedOut reports whether no connection was opened in time.
func (e *Error) TimedOut() bool {
	var timeout net.Error
	return !e.Sent && errors.As(e.Cause, &timeout) && timeout.Timeout()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Stats holds the counters of a pool: connections opened, connections reused,
// responses to other requests that were skipped, and connections closed instead
// of returned to the pool.
type Stats struct{ Dialed, Reused, Mismatched, Closed int64 }

// Pool holds the idle connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	// requestIDHeader is the header in which responses echo the request id.
	requestIDHeader string
	dialer          Dialer
	observer        Observer
	// mu guards idle and stats.
	mu sync.Mutex
	// idle maps connection keys to idle connections, the most recently used
	// last.
	idle  map[string][]*conn
	stats Stats
}

// Dialer opens connections to backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Observer is told how connections work. Its methods must be safe for concurrent use and must
// not block.
type Observer interface {
	// Sent reports that a request is sent to a backend server. Ended reports that it waits no
	// more for its response.
	Sent(b *traffic.Backend) (id int64)
	Ended(id int64)
	// Failed reports that a new connection to a backend server could not be opened, or that a
	// probe of it failed.
	Failed(b *traffic.Backend, err error)
	// Lost reports that a request ended without a response on a new connection.
	Lost(b *traffic.Backend)
	// Broken reports that a connection to a backend server was refused, was closed by it while idle,
	// or ended without a response, as all do when its process ends.
	Broken(b *traffic.Backend)
	// Responded reports that a response arrived. isNew is set if it is the first one of its
	// connection.
	Responded(isNew bool)
	// Isolated reports whether new connections fail everywhere, so that requests open none.
	Isolated() bool
}

// NewPool returns an empty pool whose connections d opens. requestIDHeader is the header in
// which responses echo the request id.
func NewPool(requestIDHeader string, d Dialer, o Observer) *Pool {
	return &Pool{requestIDHeader: requestIDHeader, dialer: d, observer: o, idle: map[string][]*conn{}}
}

// conn is a connection to a backend server.
type conn struct {
	net net.Conn
	// in bounds what br reads from net.
	in *boundedReader
	br *bufio.Reader
	// used is set once the connection has carried a request.
	used bool
	// lastUse is when the connection was opened, or when its last response arrived.
	lastUse time.Time
	// expiresAt is when the connection stops being reusable.
	expiresAt time.Time
	closeOnce sync.Once
}

// newConn returns a conn that has carried nothing yet.
func newConn(nc net.Conn) *conn {
	in := &boundedReader{r: nc}
	return &conn{net: nc, in: in, br: bufio.NewReaderSize(in, bufferBytes), lastUse: time.Now()}
}

func (c *conn) close() { c.closeOnce.Do(func() { _ = c.net.Close() }) }

// Stats returns the current counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// CloseExpired closes the idle connections that are no longer reusable at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			if now.Before(c.expiresAt) {
				return false
			}
			c.close()
			return true
		})
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// ConnectionKey returns the key under which the pool holds the connections to one
// incarnation of a backend server.
func ConnectionKey(b *traffic.Backend) string {
	return b.ID + "@" + b.Address + "#" + strconv.FormatInt(b.Born, 10)
}

// Do sends a request to a backend server and returns the complete response. When
// ctx ends, Do closes the connection and fails. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, b *traffic.Backend, r *Request) (*BackendResponse, error) {
	key := ConnectionKey(b)
	var dialTime time.Duration
	var c *conn
	if !r.NewConnection {
		c = p.takeIdle(b, key)
	}
	if c == nil && p.observer.Isolated() {
		return nil, &Error{NotDialed: true, Cause: errIsolated}
	}
	if c == nil {
		began := time.Now()
		nc, err := p.dial(ctx, b)
		if err != nil {
			return nil, &Error{ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
		}
		p.count(func(s *Stats) { s.Dialed++ })
		dialTime = time.Since(began)
		c = newConn(nc)
	}
	if r.Allowed != nil && !r.Allowed() {
		p.putBack(key, c)
		return nil, &Error{Withdrawn: true, Cause: errWithdrawn}
	}
	stop := context.AfterFunc(ctx, c.close)
	sent := p.observer.Sent(b)
	resp, reusable, err := p.roundTrip(c, r)
	p.observer.Ended(sent)
	p.observe(ctx, b, c, err)
	if !stop() || err != nil || !reusable {
		c.close()
		p.count(func(s *Stats) { s.Closed++ })
	} else {
		c.used = true
		p.putIdle(key, c)
	}
	if resp != nil {
		resp.DialTime = dialTime
	}
	return resp, err
}

// dial opens a connection within dialTimeout.
func (p *Pool) dial(ctx context.Context, b *traffic.Backend) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dialer.DialContext(dialCtx, "tcp", b.Address)
	// An attempt that was given up shows nothing.
	if err != nil && ctx.Err() == nil {
		p.observer.Failed(b, err)
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		p.observer.Broken(b)
	}
	return nc, err
}

// observe tells the observer how a round trip on c ended. A connection that carried others may
// end when it is used again, and one whose caller left shows nothing.
func (p *Pool) observe(ctx context.Context, b *traffic.Backend, c *conn, err error) {
	if ctx.Err() == nil && isBreak(err) {
		p.observer.Broken(b)
	}
	switch {
	case err == nil:
		p.observer.Responded(!c.used)
	case !c.used && ctx.Err() == nil:
		p.observer.Lost(b)
	}
}

// isBreak reports whether an attempt failed because its connection ended.
func isBreak(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Health sends a health check to a backend server on a new connection and returns its response.
// Errors are those of the connection and *Error. The observer is not told.
func (p *Pool) Health(ctx context.Context, b *traffic.Backend, path string) (*BackendResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	nc, err := p.dialer.DialContext(dialCtx, "tcp", b.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c := newConn(nc)
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	resp, _, err := p.roundTrip(c, &Request{Method: http.MethodGet, Target: path, Host: b.Address, probe: true})
	return resp, err
}

// Probe sends a health check to a backend server on a new connection. The observer is told how
// it ended; any response shows that the backend server is reached.
func (p *Pool) Probe(ctx context.Context, b *traffic.Backend, path string) {
	_, err := p.Health(ctx, b, path)
	switch {
	case err == nil:
		p.observer.Responded(true)
	case ctx.Err() == nil:
		p.observer.Failed(b, err)
	}
}

// errIsolated is the cause of a request for which no connection was opened.
const errIsolated = errors.ConstError("new connections to backend servers fail everywhere; the request is handed over to another instance")

// errWithdrawn is the cause of a request that was not sent because it was not allowed.
const errWithdrawn = errors.ConstError("the backend server may not get requests any more")

// putBack returns a connection that was not used to the pool, or closes it if it has carried
// no request: only a response tells how long it may be idle.
func (p *Pool) putBack(key string, c *conn) {
	if c.used {
		p.putIdle(key, c)
		return
	}
	c.close()
	p.count(func(s *Stats) { s.Closed++ })
}

// roundTrip writes the request to the connection and reads its response. reusable
// reports whether the connection can carry another request.
func (p *Pool) roundTrip(c *conn, r *Request) (resp *BackendResponse, reusable bool, err error) {
	if r.OnWrite != nil {
		r.OnWrite(c.lastUse)
	}
	n, err := writeRequest(c.net, r)
	if err != nil {
		return nil, false, &Error{Sent: n > 0, Reused: c.used, Cause: err}
	}
	for mismatched := 0; ; mismatched++ {
		c.in.left = maxHeadBytes
		head, err := readFinalResponse(c.br, r.Method)
		if err != nil {
			var invalid *responsehead.Error
			return nil, false, &Error{Sent: true, ResponseStarted: errors.As(err, &invalid), Reused: c.used, Cause: err}
		}
		headAt := time.Now()
		c.in.left = maxFramedBytes
		body, err := readBody(r, head)
		if err == nil && lacksBody(r, head, body) {
			err = errNoBody
		}
		if err != nil {
			return nil, false, &Error{Sent: true, ResponseStarted: true, Reused: c.used, Cause: err}
		}
		if !p.isResponseTo(r, c, head.Header) {
			p.count(func(s *Stats) { s.Mismatched++ })
			if mismatched == maxMismatched {
				return nil, false, &Error{Sent: true, Reused: c.used, Cause: errors.New("the connection carries responses to other requests")}
			}
			continue
		}
		reusable = !head.Close && c.br.Buffered() == 0 && mismatched == 0
		c.lastUse = time.Now()
		c.expiresAt = c.lastUse.Add(idleTimeout(head.Header))
		return &BackendResponse{Status: head.StatusCode, Header: head.Header, Body: body, TransferTime: c.lastUse.Sub(headAt)}, reusable, nil
	}
}

// errNoBody is the cause of a success without a length that ended right after its head.
const errNoBody = errors.ConstError("the connection ended right after the head of a response without a length")

// lacksBody reports whether a success may have lost its body: only the end of the connection
// ends it, and that came before the first byte. Even the last byte of the head may be missing.
func lacksBody(r *Request, head *http.Response, body []byte) bool {
	success := head.StatusCode < http.StatusMultipleChoices
	return success && r.Method != http.MethodHead && head.ContentLength < 0 && len(head.TransferEncoding) == 0 && len(body) == 0
}

// isResponseTo reports whether a response is that to r: it echoes the id of r, or it has none
// and c has carried no other request that it may belong to.
func (p *Pool) isResponseTo(r *Request, c *conn, h http.Header) bool {
	echoedID := h.Get(p.requestIDHeader)
	return echoedID == r.ID || echoedID == "" && !c.used
}

// readFinalResponse reads the status line and headers of the next response that is not
// informational. Errors: *responsehead.Error, and those of the connection.
func readFinalResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for interim := 1; ; interim++ {
		head, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !isInterim(head.StatusCode) {
			return head, responsehead.CheckFinal(head)
		}
		if err := responsehead.CheckInterim(head.StatusCode, declaredHeader(head), interim); err != nil {
			return nil, err
		}
	}
}

// isInterim reports whether a status is informational.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// declaredHeader returns the headers of a response with the one that declares chunks, which net/http
// takes out of them.
func declaredHeader(head *http.Response) http.Header {
	if len(head.TransferEncoding) > 0 {
		head.Header["Transfer-Encoding"] = head.TransferEncoding
	}
	return head.Header
}

// idleTimeout returns how long a connection may stay idle and still be reused
// after a response with the headers h.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(seconds) * idleTimeoutFraction * float64(time.Second))
		}
	}
	return time.Duration(idleTimeoutFraction * float64(defaultIdleTimeout))
}

// boundedReader fails once it has read left bytes.
type boundedReader struct {
	r    io.Reader
	left int64
}

// errTooLong is the cause of a response that is longer than its bounds.
const errTooLong = errors.ConstError("the response is too long; if it is meant to be, raise the bounds of package egress")

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// writeRequest writes the request in HTTP/1.1 format and returns the number of bytes written.
func writeRequest(w io.Writer, r *Request) (int, error) {
	head, body := encodeRequest(r)
	n, err := w.Write(head)
	for _, piece := range body {
		if err != nil {
			return n, err
		}
		var m int
		m, err = w.Write(piece)
		n += m
	}
	return n, err
}

// encodeRequest returns the request in HTTP/1.1 format. A large body is not copied behind the
// head but returned by itself.
func encodeRequest(r *Request) (head []byte, body memory.Body) {
	var b bytes.Buffer
	length := r.Body.Len()
	b.Grow(512 + min(length, maxCopiedBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	if length > 0 || methodAllowsBody(r.Method) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	if length > maxCopiedBody {
		return b.Bytes(), r.Body
	}
	for _, piece := range r.Body {
		b.Write(piece)
	}
	return b.Bytes(), nil
}

// methodAllowsBody reports whether requests of the method carry a Content-Length
// header even if the body is empty.
func methodAllowsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// takeIdle removes an idle connection that is still open from the pool and
// returns it, or nil if there is none.
func (p *Pool) takeIdle(b *traffic.Backend, key string) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		open := isOpenAndIdle(c.net)
		if open && now.Before(c.expiresAt) {
			p.count(func(s *Stats) { s.Reused++ })
			return c
		}
		if !open {
			p.observer.Broken(b)
		}
		c.close()
	}
}

// isOpenAndIdle reports whether a connection is open and has no unread bytes. It
// does not block. Connections that are no sockets tell it themselves.
func isOpenAndIdle(nc net.Conn) bool {
	if c, ok := nc.(interface{ IsOpenAndIdle() bool }); ok {
		return c.IsOpenAndIdle()
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// putIdle returns a connection to the pool, or closes it if the pool holds enough
// connections of the key.
func (p *Pool) putIdle(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerBackend {
		c.close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// count updates the counters by f.
func (p *Pool) count(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}
