package platform

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"github.com/sony/gobreaker/v2"

	store "github.com/banyandeal/banyandeal/platform"
)

// Defaults of Options.
const (
	defaultTimeout          = time.Second
	defaultMaxAttempts      = 3
	defaultMaxElapsed       = 4 * time.Second
	defaultInitialBackoff   = 50 * time.Millisecond
	defaultMaxBackoff       = time.Second
	defaultBreakerThreshold = 5
	defaultBreakerOpenTime  = time.Second
)

// Options configures a Client. Zero fields take their defaults.
type Options struct {
	// Timeout is the maximum duration of one attempt.
	Timeout time.Duration
	// MaxElapsed is the maximum duration of all attempts of a call.
	MaxElapsed time.Duration
	// MaxAttempts is the maximum number of attempts of a call.
	MaxAttempts uint
	// InitialBackoff is the mean wait before the second attempt. Waits grow
	// exponentially and have a jitter of one half.
	InitialBackoff time.Duration
	// MaxBackoff is the maximum mean wait before an attempt.
	MaxBackoff time.Duration
	// BreakerThreshold is the number of consecutive failed attempts that opens
	// the circuit breaker.
	BreakerThreshold uint32
	// BreakerOpenTime is how long the open circuit breaker rejects calls.
	BreakerOpenTime time.Duration
	// Dial opens connections; nil means a plain TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Transport replaces the client's own HTTP transport, if not nil. Dial is then
	// not used.
	Transport http.RoundTripper
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, defaultTimeout)
	setDefault(&o.MaxElapsed, defaultMaxElapsed)
	setDefault(&o.MaxAttempts, defaultMaxAttempts)
	setDefault(&o.InitialBackoff, defaultInitialBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	setDefault(&o.BreakerThreshold, defaultBreakerThreshold)
	setDefault(&o.BreakerOpenTime, defaultBreakerOpenTime)
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Stats holds the counters of a client since its creation.
type Stats struct {
	Reads       uint64 `json:"reads"`
	Commits     uint64 `json:"commits"`
	Conflicts   uint64 `json:"conflicts"`
	Attempts    uint64 `json:"attempts"`
	Failures    uint64 `json:"failures"`
	LostReplies uint64 `json:"lost_replies"`
	// Resolved counts lost replies whose transaction's outcome was determined by
	// a later attempt.
	Resolved     uint64 `json:"settled"`
	BreakerOpens uint64 `json:"breaker_opens"`
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	opts   Options
	stores []*store.Store
	// endpointIndex, modulo the number of endpoints, is the index of the endpoint
	// in use. A failed attempt advances it.
	endpointIndex atomic.Uint32
	breaker       *gobreaker.CircuitBreaker[struct{}]
	rows          rowCache

	reads, commits, conflicts, attempts, failures atomic.Uint64
	lostReplies, resolved, breakerOpens           atomic.Uint64
}

// New returns a client of the platform at the endpoints, which are base URLs such
// as http://10.0.0.1:8500. The client uses one endpoint until it fails, then the
// next one. Errors: NotValid.
func New(endpoints []string, opts Options) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, errors.NotValidf("no platform endpoint is set; give at least one, its value")
	}
	c := &Client{opts: opts.withDefaults()}
	transport := c.opts.Transport
	if transport == nil {
		transport = newTransport(c.opts)
	}
	for _, e := range endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Scheme == "" || u.Host == "" {
			return nil, errors.NotValidf("platform endpoint %q is no URL such as http://10.0.0.1:8500, its value", e)
		}
		c.stores = append(c.stores, store.NewStoreWithTransport(strings.TrimSuffix(e, "/"), transport))
	}
	c.breaker = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name:        "platform",
		Timeout:     c.opts.BreakerOpenTime,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= c.opts.BreakerThreshold },
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
		maxIdleConns = 4
		idleTimeout  = 30 * time.Second
	)
	return &http.Transport{
		MaxIdleConnsPerHost:   maxIdleConns,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: opts.Timeout,
		DialContext:           opts.Dial,
	}
}

// Stats returns the current counters.
func (c *Client) Stats() Stats {
	return Stats{
		Reads: c.reads.Load(), Commits: c.commits.Load(), Conflicts: c.conflicts.Load(),
		Attempts: c.attempts.Load(), Failures: c.failures.Load(), LostReplies: c.lostReplies.Load(),
		Resolved: c.resolved.Load(), BreakerOpens: c.breakerOpens.Load(),
	}
}

// ReadRow returns a row. The read may be stale: only a commit shows whether the
// returned version is the newest. Errors: NotFound, Unavailable, BadReply.
func (c *Client) ReadRow(ctx context.Context, name string) (Row, error) {
	c.reads.Add(1)
	var row Row
	err := c.retry(ctx, "read row "+name, func(ctx context.Context, s *store.Store) error {
		stored, found, err := s.Row(ctx, tableRows, name)
		if err != nil {
			return errors.Trace(err)
		}
		if !found {
			return &NotFound{Resource: "row", Name: name}
		}
		e, err := c.rows.record(stored)
		if err != nil {
			return &BadReply{Op: "read row " + name, Detail: err.Error()}
		}
		if e.Deleted {
			return &NotFound{Resource: "row", Name: name}
		}
		row = e.row(name)
		return nil
	})
	return row, err
}

// Instances returns the platform's instance list, sorted by kind and ID, which
// lags behind the actual state. Errors: Unavailable, BadReply.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.reads.Add(1)
	var list []Instance
	err := c.retry(ctx, "list instances", func(ctx context.Context, s *store.Store) error {
		rows, _, err := s.Rows(ctx, TableInstances)
		if err != nil {
			return errors.Trace(err)
		}
		list, err = decodeInstances(rows)
		return errors.Trace(err)
	})
	return list, err
}

func decodeInstances(rows []store.Row) ([]Instance, error) {
	list := make([]Instance, 0, len(rows))
	for _, row := range rows {
		var in Instance
		if err := json.Unmarshal(row.Value, &in); err != nil {
			return nil, &BadReply{Op: "list instances", Detail: "entry " + row.Key + ": " + err.Error()}
		}
		list = append(list, in)
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID)) })
	return list, nil
}

// GetObject returns the object with the digest and verifies it. Errors: NotFound,
// Unavailable, BadReply.
func (c *Client) GetObject(ctx context.Context, digest string) ([]byte, error) {
	c.reads.Add(1)
	op := "get object " + digest
	var data []byte
	err := c.retry(ctx, op, func(ctx context.Context, s *store.Store) error {
		got, found, err := s.Object(ctx, digest)
		switch {
		case err != nil:
			return errors.Trace(err)
		case !found:
			return &NotFound{Resource: "object", Name: digest}
		case Digest(got) != digest:
			return &BadReply{Op: op, Detail: "the body's digest is " + Digest(got)}
		}
		data = got
		return nil
	})
	return data, err
}

// PutObject stores an object and returns its digest. It is idempotent. Errors:
// Unavailable, BadReply.
func (c *Client) PutObject(ctx context.Context, data []byte) (string, error) {
	digest := Digest(data)
	err := c.retry(ctx, "put object "+digest, func(ctx context.Context, s *store.Store) error {
		return errors.Trace(s.PutObject(ctx, digest, data))
	})
	return digest, err
}

// Digest returns the key under which an object is stored: its SHA-256 in hex.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// retry attempts an idempotent call until the platform gives a final reply or the
// limits of Options are reached. Errors: Unavailable, BadReply and NotFound.
func (c *Client) retry(ctx context.Context, op string, call func(context.Context, *store.Store) error) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, markPermanent(c.attempt(ctx, call))
	}, c.retryOptions()...)
	if err == nil || isFinalReply(err) {
		return errors.Trace(toBadReply(op, err))
	}
	return errors.Trace(&Unavailable{Op: op, Cause: err})
}

func (c *Client) retryOptions() []backoff.RetryOption {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = c.opts.InitialBackoff, c.opts.MaxBackoff
	return []backoff.RetryOption{
		backoff.WithBackOff(b),
		backoff.WithMaxTries(c.opts.MaxAttempts),
		backoff.WithMaxElapsedTime(c.opts.MaxElapsed),
	}
}

// markPermanent marks the errors for which an immediate retry is of no use.
func markPermanent(err error) error {
	if err == nil {
		return nil
	}
	if isFinalReply(err) || errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return backoff.Permanent(err)
	}
	return err
}

// isFinalReply reports whether err is a reply of the platform that a retry would
// not change.
func isFinalReply(err error) bool {
	var (
		notFound *NotFound
		badReply *BadReply
		conflict *store.Conflict
		storeErr *store.StoreError
	)
	return errors.As(err, &notFound) || errors.As(err, &badReply) || errors.As(err, &conflict) ||
		errors.As(err, &storeErr) && !isRetryable(storeErr)
}

// isRetryable reports whether the store failed, or is busy and may accept the call
// later.
func isRetryable(e *store.StoreError) bool {
	return e.Status >= http.StatusInternalServerError || e.Status == http.StatusTooManyRequests
}

// toBadReply converts an error status of the store to a BadReply of the operation.
// It returns other errors unchanged.
func toBadReply(op string, err error) error {
	var storeErr *store.StoreError
	if errors.As(err, &storeErr) {
		return &BadReply{Op: op, Status: storeErr.Status, Detail: storeErr.Error()}
	}
	return err
}

// attempt makes one attempt through the circuit breaker. A final reply counts as a
// success of the breaker, even if it is an error.
func (c *Client) attempt(ctx context.Context, call func(context.Context, *store.Store) error) error {
	var replyErr error
	_, err := c.breaker.Execute(func() (struct{}, error) {
		c.attempts.Add(1)
		ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
		defer cancel()
		err := call(ctx, c.stores[int(c.endpointIndex.Load())%len(c.stores)])
		if err == nil || isFinalReply(err) {
			replyErr = err
			return struct{}{}, nil
		}
		c.failures.Add(1)
		c.endpointIndex.Add(1)
		return struct{}{}, err
	})
	if err != nil {
		return err
	}
	return replyErr
}
