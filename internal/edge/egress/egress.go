// Package egress sends requests to backend servers over kept connections. A
// request is written to one connection, once; nothing is sent again here.
//
// Answers are matched by the id that they echo, and read whole: an answer that
// breaks off is an error.
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

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	dialTimeout = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept when the backend server
	// does not say how long it keeps it.
	defaultIdle = 5 * time.Second
	// idleShare is the part of the backend server's own idle timeout for which
	// a connection is used again, so that the two do not cross.
	idleShare = 0.7
	// maxIdlePerBackend bounds the unused connections to one backend server.
	maxIdlePerBackend = 4
	bufferBytes       = 4 << 10
	// MaxResponseBytes bounds the body of an answer that is held whole.
	MaxResponseBytes = 16 << 20
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 3
)

// Request is what one backend server is sent.
type Request struct {
	ID     string
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// DialTime is how long the connection took to open, 0 for a kept one.
	DialTime time.Duration
}

// Error is the end of an attempt without a whole answer.
type Error struct {
	// Sent is set when the backend server may have got the request.
	Sent bool
	// ResponseStarted is set when an answer had begun.
	ResponseStarted bool
	// ConnectionRefused is set when the address refuses connections.
	ConnectionRefused bool
	// Reused tells that the connection had carried requests before.
	Reused bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	if !e.Sent {
		return fmt.Sprintf("the request was not sent and can go to another backend server: %v", e.Cause)
	}
	return fmt.Sprintf("the backend server may have run the request, send it again only if it is idempotent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Stats counts what the pool did.
type Stats struct{ Dialed, Reused, Mismatched, Closed int64 }

// Pool keeps the connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	// echoHeader is the header in which answers repeat the request's id.
	echoHeader string
	dialer     net.Dialer
	mu         sync.Mutex
	idle       map[string][]*conn
	stats      Stats
}

// NewPool returns an empty pool.
func NewPool(echoHeader string) *Pool {
	return &Pool{echoHeader: echoHeader, dialer: net.Dialer{Timeout: dialTimeout}, idle: map[string][]*conn{}}
}

type conn struct {
	net    net.Conn
	br     *bufio.Reader
	used   bool
	until  time.Time
	closed sync.Once
}

func (c *conn) close() { c.closed.Do(func() { _ = c.net.Close() }) }

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// CloseExpired closes the unused connections whose time is over.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			if now.Before(c.until) {
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

// ConnectionKey names the connections of one incarnation of a backend server.
func ConnectionKey(b *traffic.Backend) string {
	return b.ID + "@" + b.Address + "#" + strconv.FormatInt(b.Incarnation, 10)
}

// Do sends a request to a backend server and returns its whole answer. ctx
// ends the attempt by closing the connection. Errors: *Error.
func (p *Pool) Do(ctx context.Context, b *traffic.Backend, r *Request) (*Response, error) {
	key := ConnectionKey(b)
	var dialTime time.Duration
	c := p.take(key)
	if c == nil {
		began := time.Now()
		nc, err := p.dialer.DialContext(ctx, "tcp", b.Address)
		if err != nil {
			return nil, &Error{ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Cause: err}
		}
		p.count(func(s *Stats) { s.Dialed++ })
		dialTime = time.Since(began)
		c = &conn{net: nc, br: bufio.NewReaderSize(nc, bufferBytes)}
	}
	stop := context.AfterFunc(ctx, c.close)
	resp, reusable, err := p.exchange(c, r)
	if !stop() || err != nil || !reusable {
		c.close()
		p.count(func(s *Stats) { s.Closed++ })
	} else {
		c.used = true
		p.put(key, c)
	}
	if resp != nil {
		resp.DialTime = dialTime
	}
	return resp, err
}

func (p *Pool) exchange(c *conn, r *Request) (resp *Response, reusable bool, err error) {
	n, err := c.net.Write(encode(r))
	if err != nil {
		return nil, false, &Error{Sent: n > 0, Reused: c.used, Cause: err}
	}
	for foreign := 0; ; foreign++ {
		head, err := readHead(c.br, r.Method)
		if err != nil {
			return nil, false, &Error{Sent: true, Reused: c.used, Cause: err}
		}
		body, err := readBody(head)
		if err != nil {
			return nil, false, &Error{Sent: true, ResponseStarted: true, Reused: c.used, Cause: err}
		}
		if echo := head.Header.Get(p.echoHeader); echo != "" && echo != r.ID {
			p.count(func(s *Stats) { s.Mismatched++ })
			if foreign == maxForeign {
				return nil, false, &Error{Sent: true, Reused: c.used, Cause: errors.New("the connection carries answers to other requests")}
			}
			continue
		}
		reusable = !head.Close && c.br.Buffered() == 0 && foreign == 0
		c.until = time.Now().Add(idleTime(head.Header))
		return &Response{Status: head.StatusCode, Header: head.Header, Body: body}, reusable, nil
	}
}

// readHead reads the head of the next final answer.
func readHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

func readBody(head *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(head.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxResponseBytes {
		return nil, errors.Errorf("the answer is longer than %d bytes", MaxResponseBytes)
	}
	return body, nil
}

// idleTime returns how long a connection may be used again after an answer.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(seconds) * idleShare * float64(time.Second))
		}
	}
	return time.Duration(idleShare * float64(defaultIdle))
}

// encode writes the request line, the headers and the body as they are sent.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// A bytes.Buffer takes every write.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || takesBody(r.Method) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// take returns an unused connection that is still open, or nil.
func (p *Pool) take(key string) *conn {
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
		if now.Before(c.until) && quiet(c.net) {
			p.count(func(s *Stats) { s.Reused++ })
			return c
		}
		c.close()
	}
}

// quiet reports whether an unused connection is open and has no bytes waiting.
func quiet(nc net.Conn) bool {
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

func (p *Pool) put(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerBackend {
		c.close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

func (p *Pool) count(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}
