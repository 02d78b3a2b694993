package bench

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/filter/accept"
	"github.com/banyandeal/banyandeal/internal/lookup"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

const (
	lookupTimeout  = time.Second
	maxLookupBytes = 64 << 10
)

// Lookup is the answer of GET /v1/lookup.
type Lookup = lookup.Answer

// Instance is an entry instance in a look-up's answer.
type Instance = lookup.Instance

// refusedError is a look-up's answer that there is no capacity for the caller:
// whatever it was to send has not been sent, and is not run.
type refusedError struct {
	status     int
	retryAfter time.Duration
	detail     string
}

// Error implements error.
func (e *refusedError) Error() string { return "the look-up was refused: " + e.detail }

// reply is the refusal as the end of a request.
func (e *refusedError) reply() reply {
	return reply{status: e.status, outcome: outcome.NotRun.String(), retryAfter: e.retryAfter, detail: e.detail}
}

// refusalOf returns the refusal in a look-up's answer, or nil. An instance that
// is not ready refuses nobody: another one is asked.
func refusalOf(res *http.Response, body []byte) *refusedError {
	var e accept.ErrorBody
	if outcomeOf(res.Header) != outcome.NotRun.String() || json.Unmarshal(body, &e) != nil || e.Kind != string(outcome.KindNoCapacity) {
		return nil
	}
	return &refusedError{res.StatusCode, retryAfterOf(res.Header), e.Message}
}

// caller is one caller of one service. It keeps a look-up's answer until its
// TTL has passed.
type caller struct {
	addr    netip.Addr
	service string
	entries []string
	// near are the entries that are asked before the others.
	near    []string
	http    *http.Client
	lookups *latency

	mu sync.Mutex
	// rng orders the entries that look-ups go to.
	rng     *rand.Rand
	cached  Lookup
	expires time.Time
	// keyUsed is set once cached.Key was handed out.
	keyUsed bool
}

// instances returns the entry instances to send to, in order.
func (c *caller) instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	l, fresh := c.cached, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return l.Instances, nil
	}
	l, err := c.lookup(ctx, false)
	return l.Instances, err
}

// key returns a key that was not used before, looking up for one if need be.
func (c *caller) key(ctx context.Context) (string, error) {
	if k := c.takeKey(); k != "" {
		return k, nil
	}
	l, err := c.lookup(ctx, true)
	return l.Key, err
}

func (c *caller) takeKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keyUsed || !time.Now().Before(c.expires) {
		return ""
	}
	c.keyUsed = true
	return c.cached.Key
}

// forget drops the cached answer, after none of its instances could be
// reached.
func (c *caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// lookup asks the entries in random order until one answers. useKey keeps the
// answer's key for who asked.
func (c *caller) lookup(ctx context.Context, useKey bool) (Lookup, error) {
	var last error
	for _, i := range c.order() {
		start := time.Now()
		l, err := c.lookupAt(ctx, c.entries[i])
		var refused *refusedError
		if errors.As(err, &refused) {
			return Lookup{}, refused
		}
		if err != nil {
			last = err
			continue
		}
		c.lookups.record(time.Since(start))
		c.keep(l, start, useKey)
		return l, nil
	}
	return Lookup{}, errors.Annotate(last, "no entry instance answered a look-up")
}

// order returns the places of the entries in random order, near ones first.
func (c *caller) order() []int {
	c.mu.Lock()
	order := c.rng.Perm(len(c.entries))
	c.mu.Unlock()
	slices.SortStableFunc(order, func(a, b int) int { return c.distance(a) - c.distance(b) })
	return order
}

// distance is 0 for a near entry, else 1.
func (c *caller) distance(entry int) int {
	if slices.Contains(c.near, c.entries[entry]) {
		return 0
	}
	return 1
}

func (c *caller) keep(l Lookup, asked time.Time, keyUsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached, c.keyUsed = l, keyUsed
	c.expires = asked.Add(time.Duration(l.TTLMS) * time.Millisecond)
}

func (c *caller) lookupAt(ctx context.Context, entry string) (Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {c.service}, "caller": {c.addr.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return Lookup{}, errors.Trace(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Lookup{}, errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxLookupBytes))
	if err != nil {
		return Lookup{}, errors.Trace(err)
	}
	if r := refusalOf(res, body); r != nil {
		return Lookup{}, r
	}
	if res.StatusCode != http.StatusOK {
		return Lookup{}, errors.Errorf("look-up at %s: status %d: %s", entry, res.StatusCode, body)
	}
	var l Lookup
	if err := json.Unmarshal(body, &l); err != nil {
		return Lookup{}, errors.Annotatef(err, "look-up at %s", entry)
	}
	if l.Service != c.service || len(l.Instances) == 0 || l.Key == "" {
		return Lookup{}, errors.Errorf("look-up at %s: no instances or no key, or another service's: %s", entry, body)
	}
	return l, nil
}
