// Package attempt sends one attempt of a request to one backend server and
// says how it ended: Done with a whole answer, NotRun, or Unknown.
//
// An attempt is written to one connection, once. http.Transport sends a
// request again by itself when a kept-alive connection turns out to be dead
// and the request looks replayable, and it takes an Idempotency-Key header as
// leave to do so. The package therefore keeps its own pool of
// http.ClientConn, which has no way to resend, and tells by the bytes written
// to the connection whether a failed attempt can have reached the backend
// server.
package attempt

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Headers between the system and backend servers.
const (
	// HeaderDeadline carries the time left, in milliseconds.
	HeaderDeadline = "Banyandeal-Deadline"
	// HeaderNotRun set to "true" with status 503 says that the backend server
	// has refused the request and not run any part of it.
	HeaderNotRun = "Banyandeal-Not-Run"
	// HeaderDraining set to "true" says that the backend server is leaving.
	HeaderDraining = "Banyandeal-Draining"
)

// Defaults of a Config.
const (
	DefaultMaxConns        = 400
	DefaultDialTimeout     = time.Second
	DefaultIdleAge         = 20 * time.Second
	DefaultUnsafeIdleAge   = 2 * time.Second
	DefaultProgressTimeout = 5 * time.Second
	DefaultCheckTimeout    = time.Second
	DefaultMaxBuffered     = 64 << 10
)

// maxDrain is how many bytes of a refusal's body are read so that its
// connection can be used again.
const maxDrain = 4 << 10

// errSilent is the cause of an attempt that ended because its connection had
// gone silent.
const errSilent = errors.ConstError("the connection went silent while a new one worked")

// Config holds the settings of a Client; zero fields take their defaults.
type Config struct {
	// Address is the host and port of the backend server.
	Address string
	// MaxConns bounds the open connections. One of them is kept for checks
	// when there are two or more.
	MaxConns    int
	DialTimeout time.Duration
	// Dial opens a connection; nil is a plain TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleAge is the longest a connection stays open unused.
	IdleAge time.Duration
	// UnsafeIdleAge is the longest a connection may have been unused to carry
	// a request that is not idempotent.
	UnsafeIdleAge time.Duration
	// ProgressTimeout is how long a connection may stay without a byte while
	// an answer is awaited, before it is checked. It is to be longer than the
	// slowest regular answer.
	ProgressTimeout time.Duration
	// CheckPath is asked over a new connection when one seems silent.
	CheckPath    string
	CheckTimeout time.Duration
	// MaxBuffered is the largest answer body in bytes that is read in full
	// before it is passed on; larger ones stream.
	MaxBuffered int64
}

// Request is one attempt. The client keeps no reference to it.
type Request struct {
	Method string
	// Path is the path with the query.
	Path string
	// Host is sent as the Host header; empty is the backend server's address.
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent requests may use connections that were idle for longer.
	Idempotent bool
}

// Reply is the end of an attempt.
type Reply struct {
	Outcome outcome.Outcome
	// Status, Header and Body are set when Outcome is Done.
	Status int
	Header http.Header
	Body   []byte
	// Stream replaces Body for an answer above Config.MaxBuffered. Its Read
	// returns an *outcome.Error when the answer is cut. It has to be closed.
	Stream io.ReadCloser
	// Draining is set when the backend server said that it is leaving.
	Draining bool
	// Shed is set when the backend server refused the request by its own word.
	Shed bool
	// Lost is set when the connection broke after the request was sent.
	Lost bool
	// Silent is set when the connection was given up as silent.
	Silent bool
	// Err is set unless Outcome is Done.
	Err *outcome.Error
}

// Client sends attempts to one backend server. It is safe for concurrent use.
type Client struct {
	cfg    Config
	pool   *pool
	checks checker
}

// New returns a client of the backend server. It opens no connection.
func New(cfg Config) *Client {
	setDefault(&cfg.MaxConns, DefaultMaxConns)
	setDefault(&cfg.DialTimeout, DefaultDialTimeout)
	setDefault(&cfg.IdleAge, DefaultIdleAge)
	setDefault(&cfg.UnsafeIdleAge, DefaultUnsafeIdleAge)
	setDefault(&cfg.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&cfg.CheckTimeout, DefaultCheckTimeout)
	setDefault(&cfg.MaxBuffered, int64(DefaultMaxBuffered))
	if cfg.CheckPath == "" {
		cfg.CheckPath = "/"
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{cfg: cfg, pool: newPool(cfg)}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close closes the idle connections; attempts in flight go on.
func (c *Client) Close() { c.pool.close() }

// Do sends the attempt and returns its end. The context's end is passed on to
// the backend server by closing the connection, its deadline by a header.
func (c *Client) Do(ctx context.Context, r *Request) *Reply {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return &Reply{Outcome: outcome.NotRun, Err: outcome.RejectedError(outcome.KindBadRequest,
			"send a path that starts with a slash", "the path cannot be parsed")}
	}
	u.Scheme, u.Host = "http", c.cfg.Address
	for {
		if reply := ended(ctx); reply != nil {
			return reply
		}
		conn, reply := c.connect(ctx, r.Idempotent)
		if reply != nil {
			return reply
		}
		reply, sent := c.exchange(ctx, conn, r, u)
		if sent || !conn.reused {
			return reply
		}
		// Not a byte was written to a pooled connection that had closed.
	}
}

// connect takes a connection from the pool or opens one.
func (c *Client) connect(ctx context.Context, idempotent bool) (*conn, *Reply) {
	maxIdle := c.cfg.IdleAge
	if !idempotent {
		maxIdle = min(maxIdle, c.cfg.UnsafeIdleAge)
	}
	conn, err := c.pool.get(ctx, maxIdle)
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, errNoRoom):
		return nil, notRun(outcome.KindNoCapacity, "all connections to the backend server are in use")
	}
	if reply := ended(ctx); reply != nil {
		return nil, reply
	}
	return nil, notRun(outcome.KindBackendLost, "no connection to the backend server could be opened")
}

// exchange writes the request to the connection and reads the answer. sent
// reports whether any byte was written.
func (c *Client) exchange(ctx context.Context, conn *conn, r *Request, u *url.URL) (reply *Reply, sent bool) {
	rctx, cancel := context.WithCancelCause(ctx)
	req, reply := newRequest(rctx, r, u)
	if reply != nil {
		c.pool.put(conn)
		cancel(nil)
		return reply, true
	}
	before := conn.written()
	w := c.watch(conn, cancel)
	resp, err := conn.client.RoundTrip(req)
	w.disarm()
	if err != nil {
		written := conn.seal() - before
		c.pool.drop(conn)
		reply = failed(rctx, written > 0, err)
		cancel(nil)
		return reply, written > 0
	}
	return c.read(&body{client: c, conn: conn, resp: resp, ctx: rctx, cancel: cancel, watch: w}), true
}

// newRequest builds a request without GetBody, so that nothing could replay
// its body.
func newRequest(ctx context.Context, r *Request, u *url.URL) (*http.Request, *Reply) {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	StripHopHeaders(header)
	header.Del("Expect")
	header.Del(HeaderDeadline)
	if _, set := header["User-Agent"]; !set {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return nil, notRun(outcome.KindDeadline, "the deadline passed before the request was sent")
		}
		header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	return req.WithContext(ctx), nil
}

// read takes the answer off the connection.
func (c *Client) read(body *body) *Reply {
	resp := body.resp
	StripHopHeaders(resp.Header)
	reply := &Reply{
		Outcome: outcome.Done, Status: resp.StatusCode, Header: resp.Header,
		Draining: resp.Header.Get(HeaderDraining) == "true",
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		body.drain()
		refused := notRun(outcome.KindNoCapacity, "the backend server refused the request")
		refused.Draining, refused.Shed = reply.Draining, true
		return refused
	}
	if resp.StatusCode < http.StatusOK {
		// No caller can be given such a status as the answer.
		_ = body.Close()
		return &Reply{Outcome: outcome.Unknown, Draining: reply.Draining,
			Err: outcome.UnknownError(outcome.KindBackendLost, "the backend server answered with status %d, which is not final", resp.StatusCode)}
	}
	if !delimited(resp) {
		_ = body.Close()
		return cut(reply, "the answer has neither a length nor an end marker")
	}
	first, err := io.ReadAll(io.LimitReader(body, c.cfg.MaxBuffered+1))
	if err != nil {
		lost := failed(body.ctx, true, err)
		_ = body.Close()
		lost.Draining = reply.Draining
		return lost
	}
	if int64(len(first)) <= c.cfg.MaxBuffered {
		_ = body.Close()
		reply.Body = first
		return reply
	}
	reply.Stream = &stream{Reader: io.MultiReader(bytes.NewReader(first), body), Closer: body}
	return reply
}

// stream is the rest of a large answer after its first bytes.
type stream struct {
	io.Reader
	io.Closer
}

// delimited reports whether the end of the answer can be told from a cut.
func delimited(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	return resp.ContentLength >= 0 || chunked || resp.Body == http.NoBody ||
		resp.Request.Method == http.MethodHead
}

// ended returns the reply of an attempt whose context ended before anything
// was sent, or nil.
func ended(ctx context.Context) *Reply {
	switch ctx.Err() {
	case nil:
		return nil
	case context.DeadlineExceeded:
		return notRun(outcome.KindDeadline, "the deadline passed before the request was sent")
	}
	return notRun(outcome.KindCancelled, "the request was cancelled before it was sent")
}

func notRun(kind outcome.Kind, message string) *Reply {
	return &Reply{Outcome: outcome.NotRun, Err: outcome.NotRunError(kind, 0, "%s", message)}
}

func cut(reply *Reply, message string) *Reply {
	return &Reply{
		Outcome: outcome.Unknown, Draining: reply.Draining,
		Err: outcome.UnknownError(outcome.KindTruncatedResponse, "%s", message),
	}
}

// failed classifies an attempt that has no whole answer.
func failed(ctx context.Context, sent bool, err error) *Reply {
	if !sent {
		if reply := ended(ctx); reply != nil {
			return reply
		}
		return notRun(outcome.KindBackendLost, "the connection to the backend server closed before the request was sent")
	}
	reply := &Reply{Outcome: outcome.Unknown}
	var typed *outcome.Error
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		reply.Silent = true
		reply.Err = outcome.UnknownError(outcome.KindBackendLost, "%v", cause)
	case errors.Is(cause, context.DeadlineExceeded):
		reply.Err = outcome.UnknownError(outcome.KindDeadline, "the deadline passed while the backend server had the request")
	case cause != nil:
		reply.Err = outcome.UnknownError(outcome.KindCancelled, "the request was cancelled while the backend server had it")
	case errors.As(err, &typed):
		reply.Lost = true
		reply.Err = typed
	default:
		reply.Lost = true
		reply.Err = outcome.UnknownError(outcome.KindBackendLost, "the connection to the backend server was lost: %v", err)
	}
	return reply
}
