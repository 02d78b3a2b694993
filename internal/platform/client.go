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
	opts   Options
	stores []*store.Store
	// next is the index of the endpoint in use; a failed attempt moves on.
	next    atomic.Uint32
	breaker *gobreaker.CircuitBreaker[struct{}]
	rows    rowCache

	reads, commits, conflicts, attempts, failures atomic.Uint64
	lostReplies, settled, breakerOpens            atomic.Uint64
}

// New returns a client of the platform at the endpoints, base URLs such as
// http://10.0.0.1:8500, of which one is used until it fails.
func New(endpoints []string, opts Options) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, errors.NotValidf("no platform endpoint; set at least one, its value")
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
	c.reads.Add(1)
	var row Row
	err := c.retry(ctx, "read row "+name, func(ctx context.Context, s *store.Store) error {
		stored, found, err := s.Row(ctx, tableRows, name)
		if err != nil {
			return errors.Trace(err)
		}
		if !found {
			return &NotFound{What: "row", Name: name}
		}
		e, err := c.rows.observe(stored)
		if err != nil {
			return &BadReply{Op: "read row " + name, Detail: err.Error()}
		}
		if e.Deleted {
			return &NotFound{What: "row", Name: name}
		}
		row = e.row(name)
		return nil
	})
	return row, err
}

// Instances returns the platform's lagging list. Errors: Unavailable, BadReply.
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

// GetObject returns the object of a digest and checks it. Errors: NotFound,
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
			return &NotFound{What: "object", Name: digest}
		case Digest(got) != digest:
			return &BadReply{Op: op, Detail: "the body's digest is " + Digest(got)}
		}
		data = got
		return nil
	})
	return data, err
}

// PutObject stores an object and returns its digest. Storing one twice is
// harmless. Errors: Unavailable, BadReply.
func (c *Client) PutObject(ctx context.Context, data []byte) (string, error) {
	digest := Digest(data)
	err := c.retry(ctx, "put object "+digest, func(ctx context.Context, s *store.Store) error {
		return errors.Trace(s.PutObject(ctx, digest, data))
	})
	return digest, err
}

// Digest returns the digest that an object is stored by: its hex SHA-256.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// retry makes attempts of an idempotent call until one is answered. Errors:
// Unavailable, BadReply and NotFound.
func (c *Client) retry(ctx context.Context, op string, call func(context.Context, *store.Store) error) error {
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, permanent(c.attempt(ctx, call))
	}, c.policy()...)
	if err == nil || isAnswer(err) {
		return errors.Trace(refusalOf(op, err))
	}
	return errors.Trace(&Unavailable{Op: op, Cause: err})
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
	if err == nil {
		return nil
	}
	if isAnswer(err) || errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return backoff.Permanent(err)
	}
	return err
}

// isAnswer reports whether the platform answered, if only with a refusal that
// stands.
func isAnswer(err error) bool {
	var (
		missing  *NotFound
		bad      *BadReply
		conflict *store.Conflict
		refused  *store.StoreError
	)
	return errors.As(err, &missing) || errors.As(err, &bad) || errors.As(err, &conflict) ||
		errors.As(err, &refused) && !isBusy(refused)
}

// isBusy reports whether the store did nothing and may do so later, or whether it
// failed.
func isBusy(e *store.StoreError) bool {
	return e.Status >= http.StatusInternalServerError || e.Status == http.StatusTooManyRequests
}

// refusalOf gives a refusal of the store its type here.
func refusalOf(op string, err error) error {
	var refused *store.StoreError
	if errors.As(err, &refused) {
		return &BadReply{Op: op, Status: refused.Status, Detail: refused.Error()}
	}
	return err
}

// attempt makes one attempt under the breaker.
func (c *Client) attempt(ctx context.Context, call func(context.Context, *store.Store) error) error {
	var answer error
	_, err := c.breaker.Execute(func() (struct{}, error) {
		c.attempts.Add(1)
		ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
		defer cancel()
		err := call(ctx, c.stores[int(c.next.Load())%len(c.stores)])
		if err == nil || isAnswer(err) {
			answer = err
			return struct{}{}, nil
		}
		c.failures.Add(1)
		c.next.Add(1)
		return struct{}{}, err
	})
	if err != nil {
		return err
	}
	return answer
}
