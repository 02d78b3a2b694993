// Package attempt sends one attempt of a request to one backend server and
// reports its outcome: Done with a complete response, NotRun, or Unknown.
//
// An attempt is written at most once, to one connection. http.Transport sends a
// request again on its own if a kept-alive connection turns out to be closed and
// the request looks replayable, and it regards a request with an Idempotency-Key
// header as replayable. The package therefore has its own pool of
// http.ClientConn, which never resends a request. The number of bytes written to
// the connection shows whether a failed attempt may have reached the backend
// server.
package attempt

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/responsehead"
)

// Headers exchanged with backend servers.
const (
	// HeaderDeadline carries the time left until the deadline of the request, in
	// milliseconds.
	HeaderDeadline = "Banyandeal-Deadline"
	// HeaderNotRun set to "true" in a response with status 503 means that the
	// backend server has refused the request and not run any part of it.
	HeaderNotRun = "Banyandeal-Not-Run"
	// HeaderDraining set to "true" in a response means that the backend server is
	// draining and is to receive no more requests.
	HeaderDraining = "Banyandeal-Draining"
)

// Defaults of a Config.
const (
	DefaultMaxConns             = 400
	DefaultDialTimeout          = time.Second
	DefaultIdleTimeout          = 20 * time.Second
	DefaultNonIdempotentMaxIdle = 2 * time.Second
	DefaultProgressTimeout      = 5 * time.Second
	DefaultCheckTimeout         = time.Second
	DefaultMaxBuffered          = 64 << 10
)

// maxDrainBytes is the largest body of a refusal, in bytes, that is read to its
// end so that the connection can be reused.
const maxDrainBytes = 4 << 10

// errStalled is the cancellation cause of an attempt whose connection stalled.
const errStalled = errors.ConstError("the connection to the backend server stalled while a new connection worked")

// Config holds the settings of a Client. Zero fields take their default values.
type Config struct {
	// Address is the host and port of the backend server.
	Address string
	// MaxConns is the largest number of open connections. If it is two or more,
	// one of them is reserved for checks.
	MaxConns int
	// DialTimeout is the timeout for opening a connection.
	DialTimeout time.Duration
	// Dial opens a connection. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// NonIdempotentMaxIdle is the longest time that a connection may have been
	// idle if it is reused for a request that is not idempotent.
	NonIdempotentMaxIdle time.Duration
	// ProgressTimeout is the time without any byte on a connection, while a
	// response is awaited, after which the connection is checked. It should be
	// longer than the slowest regular response takes.
	ProgressTimeout time.Duration
	// CheckPath is the path that is requested over a new connection if an open
	// connection seems to have stalled. The default is "/".
	CheckPath string
	// CheckTimeout is the timeout of a check.
	CheckTimeout time.Duration
	// MaxBuffered is the largest response body, in bytes, that is read in full
	// before it is returned. A larger body is streamed.
	MaxBuffered int64
}

// Request is the request of one attempt. The client keeps no reference to it
// after Do returns.
type Request struct {
	Method string
	// Path is the path with the query. It starts with a slash.
	Path string
	// Host is sent as the Host header. If it is empty, Config.Address is sent.
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent allows the request to reuse a connection that has been idle for
	// longer than Config.NonIdempotentMaxIdle.
	Idempotent bool
}

// Reply is the result of an attempt.
type Reply struct {
	Outcome outcome.Outcome
	// Status is the status code of the response. It is set if Outcome is Done.
	Status int
	// Header is the header of the response. It is set if Outcome is Done.
	Header http.Header
	// Body is the body of the response. It is set if Outcome is Done and Stream
	// is nil.
	Body []byte
	// Stream is the body of a response that is larger than Config.MaxBuffered.
	// Its Read returns an *outcome.Error if the response is truncated. The caller
	// must close it.
	Stream io.ReadCloser
	// Draining is set if the response had HeaderDraining.
	Draining bool
	// Shed is set if the backend server refused the request with HeaderNotRun.
	Shed bool
	// ConnectionLost is set if the connection was lost after a part of the request
	// was sent.
	ConnectionLost bool
	// Stalled is set if the connection was closed because it had stalled.
	Stalled bool
	// Err is set if Outcome is not Done.
	Err *outcome.Error
}

// Client sends attempts to one backend server. It is safe for concurrent use.
type Client struct {
	cfg    Config
	pool   *pool
	checks checker
}

// New returns a client for the backend server. It opens no connection.
func New(cfg Config) *Client {
	setDefault(&cfg.MaxConns, DefaultMaxConns)
	setDefault(&cfg.DialTimeout, DefaultDialTimeout)
	setDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	setDefault(&cfg.NonIdempotentMaxIdle, DefaultNonIdempotentMaxIdle)
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

// setDefault sets the field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close closes the idle connections. Attempts in flight continue.
func (c *Client) Close() { c.pool.close() }

// Do sends the attempt and returns its result. The deadline of ctx is sent to the
// backend server in HeaderDeadline. If ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, r *Request) *Reply {
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return &Reply{Outcome: outcome.NotRun, Err: outcome.RejectedError(outcome.KindBadRequest,
			"send a path that starts with a slash", "the path cannot be parsed")}
	}
	u.Scheme, u.Host = "http", c.cfg.Address
	for {
		if reply := contextReply(ctx); reply != nil {
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
		// No byte was written, because the pooled connection had been closed, so
		// it is safe to use another connection.
	}
}

// connect returns a connection from the pool or a new one. If it fails, it
// returns the reply to the attempt.
func (c *Client) connect(ctx context.Context, idempotent bool) (*conn, *Reply) {
	maxIdle := c.cfg.IdleTimeout
	if !idempotent {
		maxIdle = min(maxIdle, c.cfg.NonIdempotentMaxIdle)
	}
	conn, err := c.pool.get(ctx, maxIdle)
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, errPoolFull):
		return nil, notRun(outcome.KindNoCapacity, "all connections to the backend server are in use")
	}
	if reply := contextReply(ctx); reply != nil {
		return nil, reply
	}
	return nil, notRun(outcome.KindBackendLost, "no connection to the backend server could be opened")
}

// exchange writes the request to the connection and reads the response. sent is
// false if the connection failed before any byte was written.
func (c *Client) exchange(ctx context.Context, conn *conn, r *Request, u *url.URL) (reply *Reply, sent bool) {
	rctx, cancel := context.WithCancelCause(ctx)
	req, reply := newRequest(rctx, r, u)
	if reply != nil {
		c.pool.put(conn)
		cancel(nil)
		return reply, true
	}
	before := conn.written()
	w := c.watchdog(conn, cancel)
	resp, err := conn.client.RoundTrip(req)
	w.disarm()
	if err != nil {
		written := conn.closeAndCount() - before
		c.pool.drop(conn)
		reply = failedReply(rctx, written > 0, err)
		cancel(nil)
		return reply, written > 0
	}
	return c.read(&body{client: c, conn: conn, resp: resp, ctx: rctx, cancel: cancel, watchdog: w}), true
}

// newRequest returns the HTTP request, or the reply to the attempt if its deadline
// has passed. GetBody is not set, so that the body cannot be sent again.
func newRequest(ctx context.Context, r *Request, u *url.URL) (*http.Request, *Reply) {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	StripHopHeaders(header)
	header.Del("Expect")
	header.Del(HeaderDeadline)
	if _, set := header["User-Agent"]; !set {
		// An empty value prevents net/http from adding its own User-Agent.
		header.Set("User-Agent", "")
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline).Milliseconds()
		if remaining <= 0 {
			return nil, notRun(outcome.KindDeadline, "the deadline passed before the request was sent")
		}
		header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	req := &http.Request{
		Method: r.Method, URL: u, Host: r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	return req.WithContext(checkInterim(ctx)), nil
}

// checkInterim returns a context in which an informational response that is not valid ends the
// request: its body would be read as the next response.
func checkInterim(ctx context.Context) context.Context {
	count := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		count++
		return responsehead.CheckInterim(code, http.Header(h), count)
	}})
}

// read reads the response from the connection.
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
	if err := responsehead.CheckFinal(resp); err != nil {
		_ = body.Close()
		return &Reply{Outcome: outcome.Unknown, Draining: reply.Draining, Err: outcome.UnknownError(outcome.KindBackendLost, "%v", err)}
	}
	if !delimited(resp) {
		_ = body.Close()
		return truncatedReply(reply, "the response has neither a length nor chunked encoding, so a truncation cannot be detected")
	}
	first, err := io.ReadAll(io.LimitReader(body, c.cfg.MaxBuffered+1))
	if err != nil {
		lost := failedReply(body.ctx, true, err)
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

// stream reads a large response: the bytes read so far, then the rest.
type stream struct {
	io.Reader
	io.Closer
}

// delimited reports whether the end of the response body can be distinguished
// from a truncation.
func delimited(resp *http.Response) bool {
	chunked := len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
	return resp.ContentLength >= 0 || chunked || resp.Body == http.NoBody ||
		resp.Request.Method == http.MethodHead
}

// contextReply returns the reply to an attempt whose context ended before anything
// was sent, or nil if the context has not ended.
func contextReply(ctx context.Context) *Reply {
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

// truncatedReply returns the reply for a response whose body is truncated.
func truncatedReply(reply *Reply, message string) *Reply {
	return &Reply{
		Outcome: outcome.Unknown, Draining: reply.Draining,
		Err: outcome.UnknownError(outcome.KindTruncatedResponse, "%s", message),
	}
}

// failedReply returns the reply to an attempt that got no complete response. sent
// reports whether a part of the request may have reached the backend server.
func failedReply(ctx context.Context, sent bool, err error) *Reply {
	if !sent {
		if reply := contextReply(ctx); reply != nil {
			return reply
		}
		return notRun(outcome.KindBackendLost, "the connection to the backend server was closed before the request was sent")
	}
	reply := &Reply{Outcome: outcome.Unknown}
	var typed *outcome.Error
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errStalled):
		reply.Stalled = true
		reply.Err = outcome.UnknownError(outcome.KindBackendLost, "%v", cause)
	case errors.Is(cause, context.DeadlineExceeded):
		reply.Err = outcome.UnknownError(outcome.KindDeadline, "the deadline passed after the request was sent to the backend server")
	case cause != nil:
		reply.Err = outcome.UnknownError(outcome.KindCancelled, "the request was cancelled after it was sent to the backend server")
	case errors.As(err, &typed):
		reply.ConnectionLost = true
		reply.Err = typed
	default:
		reply.ConnectionLost = true
		reply.Err = outcome.UnknownError(outcome.KindBackendLost, "the connection to the backend server was lost: %v", err)
	}
	return reply
}
