package platform

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/sony/gobreaker/v2"
)

// Bounds on what is read of one answer, in bytes.
const (
	maxReplyBytes  = 8 << 20
	maxObjectBytes = 32 << 20
	maxErrorBytes  = 512
)

// Defaults of Options.
const (
	defaultTimeout      = time.Second
	defaultMaxTries     = 3
	defaultMaxElapsed   = 4 * time.Second
	defaultFirstBackoff = 50 * time.Millisecond
	defaultMaxBackoff   = time.Second
	defaultTripAfter    = 5
	defaultOpenTime     = time.Second
)

// Options sets up a Client. Zero fields take their defaults.
type Options struct {
	// Timeout bounds one attempt, MaxElapsed all attempts of a call.
	Timeout    time.Duration
	MaxElapsed time.Duration
	// MaxTries is the most attempts of a call.
	MaxTries uint
	// FirstBackoff is the mean wait before the second attempt; later ones grow
	// up to MaxBackoff. Waits have a jitter of one half.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// TripAfter is how many attempts in a row must fail for the breaker to
	// open; OpenTime is how long it then fails calls at once.
	TripAfter uint32
	OpenTime  time.Duration
	// Dial opens connections; nil is a plain TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Transport is used instead of one of the client's own.
	Transport http.RoundTripper
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.MaxElapsed, defaultMaxElapsed)
	setDefault(&o.MaxTries, defaultMaxTries)
	setDefault(&o.FirstBackoff, defaultFirstBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	setDefault(&o.TripAfter, defaultTripAfter)
	setDefault(&o.OpenTime, defaultOpenTime)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Stats counts what a client did since it was made.
type Stats struct {
	Reads       uint64 `json:"reads"`
	Commits     uint64 `json:"commits"`
	Conflicts   uint64 `json:"conflicts"`
	Attempts    uint64 `json:"attempts"`
	Failures    uint64 `json:"failures"`
	LostReplies uint64 `json:"lost_replies"`
	// Settled counts lost replies whose outcome was learnt afterwards.
	Settled      uint64 `json:"settled"`
	BreakerOpens uint64 `json:"breaker_opens"`
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	opts      Options
	endpoints []string
	// next is the index of the endpoint in use; a failed attempt moves on.
	next    atomic.Uint32
	http    *http.Client
	breaker *gobreaker.CircuitBreaker[reply]

	reads, commits, conflicts, attempts, failures atomic.Uint64
	lostReplies, settled, breakerOpens            atomic.Uint64
}

// reply is a whole answer of the platform.
type reply struct {
	status int
	body   []byte
}

// call is one HTTP call of the API.
type call struct {
	op, method, path string
	body             []byte
	maxReply         int64
}

// New returns a client of the platform at the endpoints, base URLs such as
// http://10.0.0.1:8500, of which one is used until it fails.
func New(endpoints []string, opts Options) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, errors.NotValidf("no platform endpoint; set at least one, its value")
	}
	c := &Client{opts: opts.withDefaults()}
	for _, e := range endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme == "" || u.Host == "" {
			return nil, errors.NotValidf("platform endpoint %q is no URL such as http://10.0.0.1:8500, its value", e)
		}
		c.endpoints = append(c.endpoints, strings.TrimSuffix(e, "/"))
	}
	transport := c.opts.Transport
	if transport == nil {
		transport = newTransport(c.opts)
	}
	c.http = &http.Client{Transport: transport}
	c.breaker = gobreaker.NewCircuitBreaker[reply](gobreaker.Settings{
		Name:        "platform",
		Timeout:     c.opts.OpenTime,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= c.opts.TripAfter },
		IsExcluded:  func(err error) bool { return errors.Is(err, context.Canceled) },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			if to == gobreaker.StateOpen {
				c.breakerOpens.Add(1)
			}
		},
	})
	return c, nil
}

func newTransport(opts Options) *http.Transport {
	const (
		maxIdle  = 4
		idleTime = 30 * time.Second
	)
	return &http.Transport{
		MaxIdleConnsPerHost:   maxIdle,
		IdleConnTimeout:       idleTime,
		ResponseHeaderTimeout: opts.Timeout,
		DialContext:           opts.Dial,
	}
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	return Stats{
		Reads: c.reads.Load(), Commits: c.commits.Load(), Conflicts: c.conflicts.Load(),
		Attempts: c.attempts.Load(), Failures: c.failures.Load(), LostReplies: c.lostReplies.Load(),
		Settled: c.settled.Load(), BreakerOpens: c.breakerOpens.Load(),
	}
}

// ReadRow returns a row as some recent reader could have seen it: only a
// commit tells whether it is the newest. Errors: NotFound, Unavailable,
// BadReply.
func (c *Client) ReadRow(ctx context.Context, name string) (Row, error) {
	var row Row
	err := c.read(ctx, call{op: "read row " + name, path: "/table/" + url.PathEscape(name)}, &row)
	if err != nil {
		return Row{}, notFoundOr(err, "row", name)
	}
	return row, nil
}

// Instances returns the platform's lagging list. Errors: Unavailable, BadReply.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.read(ctx, call{op: "list instances", path: "/instances"}, &list)
	return list, errors.Trace(err)
}

// GetObject returns the object of a digest and checks it. Errors: NotFound,
// Unavailable, BadReply.
func (c *Client) GetObject(ctx context.Context, digest string) ([]byte, error) {
	c.reads.Add(1)
	k := call{op: "get object " + digest, method: http.MethodGet, path: "/objects/" + url.PathEscape(digest), maxReply: maxObjectBytes}
	r, err := c.retry(ctx, k)
	if err != nil {
		return nil, notFoundOr(errors.Trace(err), "object", digest)
	}
	if got := Digest(r.body); got != digest {
		return nil, errors.Trace(&BadReply{Op: k.op, Status: r.status, Detail: "the body's digest is " + got})
	}
	return r.body, nil
}

// PutObject stores an object and returns its digest. Storing one twice is
// harmless. Errors: Unavailable, BadReply.
func (c *Client) PutObject(ctx context.Context, data []byte) (string, error) {
	digest := Digest(data)
	k := call{op: "put object " + digest, method: http.MethodPut, path: "/objects/" + digest, body: data, maxReply: maxErrorBytes}
	_, err := c.retry(ctx, k)
	return digest, errors.Trace(err)
}

// Digest returns the digest that an object is stored by: its hex SHA-256.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// errStatus is a status other than 2xx, before its meaning is known.
type errStatus struct {
	op    string
	reply reply
}

func (e *errStatus) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.op, e.reply.status, e.detail())
}

func (e *errStatus) detail() string {
	return strings.TrimSpace(string(e.reply.body[:min(len(e.reply.body), maxErrorBytes)]))
}

func (e *errStatus) badReply() error {
	return &BadReply{Op: e.op, Status: e.reply.status, Detail: e.detail()}
}

// notFoundOr gives a 404 its type and any other refusal that of a bad reply. An
// Unavailable stays one, also when its cause is a 5xx.
func notFoundOr(err error, what, name string) error {
	var (
		s *errStatus
		u *Unavailable
	)
	if errors.As(err, &u) || !errors.As(err, &s) {
		return err
	}
	if s.reply.status == http.StatusNotFound {
		return errors.Trace(&NotFound{What: what, Name: name})
	}
	return errors.Trace(s.badReply())
}

func (c *Client) read(ctx context.Context, k call, out any) error {
	c.reads.Add(1)
	k.method, k.maxReply = http.MethodGet, maxReplyBytes
	r, err := c.retry(ctx, k)
	if err != nil {
		return errors.Trace(err)
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return errors.Trace(&BadReply{Op: k.op, Status: r.status, Detail: err.Error()})
	}
	return nil
}

// retry makes attempts of an idempotent call until one is answered. The error
// is an errStatus for an answer, or Unavailable.
func (c *Client) retry(ctx context.Context, k call) (reply, error) {
	r, err := backoff.Retry(ctx, func() (reply, error) {
		r, _, err := c.attempt(ctx, k)
		return r, permanent(err)
	}, c.policy()...)
	if err == nil {
		return r, nil
	}
	var s *errStatus
	if errors.As(err, &s) && s.reply.status < http.StatusInternalServerError {
		return reply{}, err
	}
	return reply{}, &Unavailable{Op: k.op, Cause: err}
}

func (c *Client) policy() []backoff.RetryOption {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = c.opts.FirstBackoff, c.opts.MaxBackoff
	return []backoff.RetryOption{
		backoff.WithBackOff(b),
		backoff.WithMaxTries(c.opts.MaxTries),
		backoff.WithMaxElapsedTime(c.opts.MaxElapsed),
	}
}

// permanent marks the errors that another attempt at once would not mend.
func permanent(err error) error {
	var s *errStatus
	if errors.As(err, &s) && s.reply.status < http.StatusInternalServerError {
		return backoff.Permanent(err)
	}
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return backoff.Permanent(err)
	}
	return err
}

// attempt makes one attempt under the breaker. reached tells that the platform
// may have received the call.
func (c *Client) attempt(ctx context.Context, k call) (r reply, reached bool, err error) {
	r, err = c.breaker.Execute(func() (reply, error) {
		c.attempts.Add(1)
		r, sent, err := c.roundTrip(ctx, k)
		reached = sent
		if err == nil && r.status >= http.StatusInternalServerError {
			err = &errStatus{op: k.op, reply: r}
		}
		if err != nil {
			c.failures.Add(1)
			c.next.Add(1)
		}
		return r, err
	})
	if err == nil && r.status >= http.StatusBadRequest {
		err = &errStatus{op: k.op, reply: r}
	}
	return r, reached, err
}

func (c *Client) roundTrip(ctx context.Context, k call) (r reply, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	base := c.endpoints[int(c.next.Load())%len(c.endpoints)]
	req, err := http.NewRequestWithContext(ctx, k.method, base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return reply{}, false, errors.Trace(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return reply{}, connected.Load(), errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, k.maxReply+1))
	if err != nil {
		return reply{}, true, errors.Trace(err)
	}
	if int64(len(body)) > k.maxReply {
		return reply{}, true, errors.Errorf("the answer is longer than %d bytes", k.maxReply)
	}
	return reply{status: res.StatusCode, body: body}, true, nil
}
