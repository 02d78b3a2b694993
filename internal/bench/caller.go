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

// Lookup is the response of GET /v1/lookup.
type Lookup = lookup.Answer

// Instance is an entry instance in a lookup response.
type Instance = lookup.Instance

// rejectedError is a lookup response which says that there is no capacity for the
// caller. The request of the caller has not been sent and will not run.
type rejectedError struct {
	status     int
	retryAfter time.Duration
	detail     string
}

// Error implements error.
func (e *rejectedError) Error() string { return "the lookup was rejected: " + e.detail }

// attemptResult returns the rejection as the result of an attempt.
func (e *rejectedError) attemptResult() attemptResult {
	return attemptResult{status: e.status, outcome: outcome.NotRun.String(), retryAfter: e.retryAfter, detail: e.detail}
}

// parseRejection returns the rejection in a lookup response, or nil. The response
// of an instance that is not ready is no rejection; the caller tries another
// instance.
func parseRejection(res *http.Response, body []byte) *rejectedError {
	var e accept.ErrorBody
	if outcomeOf(res.Header) != outcome.NotRun.String() || json.Unmarshal(body, &e) != nil || e.Kind != string(outcome.KindNoCapacity) {
		return nil
	}
	return &rejectedError{res.StatusCode, retryAfterOf(res.Header), e.Message}
}

// caller is one caller of one service. It caches a lookup response until its TTL
// has passed. It is safe for concurrent use.
type caller struct {
	addr    netip.Addr
	service string
	entries []string
	// preferred are the entries that are tried before the others.
	preferred []string
	http      *http.Client
	lookups   *latency

	mu sync.Mutex
	// rng orders the entries that lookups try.
	rng     *rand.Rand
	cached  Lookup
	expires time.Time
	// keyUsed is set once cached.Key was used.
	keyUsed bool
}

// instances returns the entry instances to send to, in order of preference. It
// makes a lookup if the cached response has expired.
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

// key returns a key that was not used before. It makes a lookup if the cached
// key was used or has expired.
func (c *caller) key(ctx context.Context) (string, error) {
	if k := c.takeCachedKey(); k != "" {
		return k, nil
	}
	l, err := c.lookup(ctx, true)
	return l.Key, err
}

// takeCachedKey returns the cached key and marks it as used, or returns "" if it was
// used or has expired.
func (c *caller) takeCachedKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keyUsed || !time.Now().Before(c.expires) {
		return ""
	}
	c.keyUsed = true
	return c.cached.Key
}

// invalidate drops the cached response after none of its instances could be
// reached.
func (c *caller) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// lookup tries the entries in random order, preferred ones first, until one
// responds. useKey marks the key of the response as used by this call.
func (c *caller) lookup(ctx context.Context, useKey bool) (Lookup, error) {
	var lastErr error
	for _, i := range c.entryOrder() {
		start := time.Now()
		l, err := c.lookupAt(ctx, c.entries[i])
		var rejected *rejectedError
		if errors.As(err, &rejected) {
			return Lookup{}, rejected
		}
		if err != nil {
			lastErr = err
			continue
		}
		c.lookups.record(time.Since(start))
		c.store(l, start, useKey)
		return l, nil
	}
	return Lookup{}, errors.Annotate(lastErr, "no entry instance responded to a lookup")
}

// entryOrder returns the indexes of the entries in random order, preferred entries
// first.
func (c *caller) entryOrder() []int {
	c.mu.Lock()
	entryOrder := c.rng.Perm(len(c.entries))
	c.mu.Unlock()
	slices.SortStableFunc(entryOrder, func(a, b int) int { return c.rank(a) - c.rank(b) })
	return entryOrder
}

// rank returns 0 for a preferred entry and 1 for any other.
func (c *caller) rank(entry int) int {
	if slices.Contains(c.preferred, c.entries[entry]) {
		return 0
	}
	return 1
}

// store caches a lookup response. Its TTL counts from the time of the request.
func (c *caller) store(l Lookup, requestedAt time.Time, keyUsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached, c.keyUsed = l, keyUsed
	c.expires = requestedAt.Add(time.Duration(l.TTLMS) * time.Millisecond)
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
	if r := parseRejection(res, body); r != nil {
		return Lookup{}, r
	}
	if res.StatusCode != http.StatusOK {
		return Lookup{}, errors.Errorf("lookup at %s: status %d: %s", entry, res.StatusCode, body)
	}
	var l Lookup
	if err := json.Unmarshal(body, &l); err != nil {
		return Lookup{}, errors.Annotatef(err, "lookup at %s", entry)
	}
	if l.Service != c.service || len(l.Instances) == 0 || l.Key == "" {
		return Lookup{}, errors.Errorf("lookup at %s: response without instances or key, or for another service: %s", entry, body)
	}
	return l, nil
}
