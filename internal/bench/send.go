package bench

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

const (
	// responseMargin is the time after the deadline of an attempt for which a caller
	// still waits for the response.
	responseMargin = 500 * time.Millisecond
	maxDetailBytes = 400
)

// request is one request. It stays the same in each attempt, except for a key that
// is replaced.
type request struct {
	op      Op
	service string
	token   string
	key     string
	// keyIssued is set if the key came with a lookup response.
	keyIssued bool
	body      []byte
	deadline  time.Duration
	due       time.Time
}

// path returns the path and query below the entry instance.
func (r request) path() string {
	q := url.Values{tokenParam: {r.token}}
	if r.op.ResponseSize > 0 {
		q.Set("size", strconv.FormatInt(r.op.ResponseSize, 10))
	}
	return "/" + r.service + r.op.Path + "?" + q.Encode()
}

// record returns the record of a request that has got no response yet.
func (r request) record() Record {
	return Record{
		Token: r.token, Service: r.service, Op: r.op.Name, Key: r.key, Method: r.op.Method,
		Idempotent: r.op.Idempotent, BodySum: bodySumOf(r.body), Start: r.due, End: Unanswered,
	}
}

// sender sends requests and applies the rules for callers.
type sender struct {
	maxAttempts int
	maxWait     time.Duration
}

// send sends a request, with its retries, and returns its record.
func (s *sender) send(ctx context.Context, c *caller, r request) Record {
	rec := r.record()
	last := s.sendAttempts(ctx, c, r, &rec)
	rec.Latency = time.Since(r.due)
	rec.End, rec.Status, rec.Answer, rec.Detail = last.requestOutcome(), last.status, last.response, last.detail
	if last.err != nil {
		rec.Detail = last.err.Error()
	}
	return rec
}

// sendAttempts sends the request until the rules for callers, the maximum number of
// attempts or the maximum wait end it. It returns the last result.
func (s *sender) sendAttempts(ctx context.Context, c *caller, r request, rec *Record) attemptResult {
	var last attemptResult
	// sent is set once an attempt got a connection. stale is set while the key has to
	// be replaced before the next attempt.
	sent, stale := false, false
	for at := 0; rec.Attempts < s.maxAttempts; {
		instances, err := s.prepare(ctx, c, &r, rec, stale)
		var rejected *rejectedError
		if errors.As(err, &rejected) {
			if r.op.Idempotent || !rec.Uncertain {
				last = rejected.attemptResult()
			}
			if !s.wait(ctx, r, rejected.retryAfter) {
				return last
			}
			continue
		}
		if err != nil {
			return attemptResult{err: err, unsent: rec.Attempts == 0}
		}
		stale = false
		to := instances[at%len(instances)]
		last = attempt(ctx, c.http, to, r)
		rec.Entry = to.ID
		rec.Attempts++
		rec.Uncertain = rec.Uncertain || last.mayHaveRun()
		sent = sent || !last.unsent
		next, wait := last.nextAction(r.op.Idempotent, r.key)
		switch next {
		case finishRequest:
			return last
		case retryNextInstance:
			at++
			if at%len(instances) == 0 {
				c.invalidate()
				wait = minRetryDelay
			}
			stale = r.keyIssued && last.unsent && !sent
		case retryAfterDelay:
		}
		if !s.wait(ctx, r, wait) {
			return last
		}
	}
	return last
}

// wait waits before the request is sent again. It returns false if the wait would
// exceed the maximum wait of the request, or if ctx is done.
func (s *sender) wait(ctx context.Context, r request, t time.Duration) bool {
	return !time.Now().Add(t).After(r.due.Add(s.maxWait)) && sleep(ctx, t)
}

// key obtains a key for the request. It retries a rejected lookup after its
// Retry-After, within the maximum wait.
func (s *sender) key(ctx context.Context, c *caller, r request) (string, error) {
	for {
		key, err := c.key(ctx)
		var rejected *rejectedError
		if !errors.As(err, &rejected) || !s.wait(ctx, r, rejected.retryAfter) {
			return key, err
		}
	}
}

// prepare returns the instances to send to. It first replaces the key of the
// request if the key is stale.
func (s *sender) prepare(ctx context.Context, c *caller, r *request, rec *Record, stale bool) ([]Instance, error) {
	if stale {
		if err := s.renewKey(ctx, c, r, rec); err != nil {
			return nil, err
		}
	}
	return c.instances(ctx)
}

// renewKey replaces the key of a request whose key has never been sent. The home
// instance that the key names can't be reached, and no other instance could run
// the request with that key.
func (s *sender) renewKey(ctx context.Context, c *caller, r *request, rec *Record) error {
	c.invalidate()
	key, err := c.key(ctx)
	if err != nil {
		return err
	}
	r.key, rec.Key = key, key
	return nil
}

// sleep waits for d and reports whether d passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request once.
func attempt(ctx context.Context, client *http.Client, to Instance, r request) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, r.deadline+responseMargin)
	defer cancel()
	var conns atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { conns.Add(1) },
	})
	req, err := http.NewRequestWithContext(ctx, r.op.Method, "http://"+to.Address+r.path(), bytes.NewReader(r.body))
	if err != nil {
		return attemptResult{err: err, unsent: true}
	}
	req.Header.Set(filter.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set(filter.HeaderIdempotencyKey, r.key)
	}
	res, err := client.Do(req)
	if err != nil {
		return attemptResult{err: err, unsent: conns.Load() == 0}
	}
	defer func() { _ = res.Body.Close() }()
	out := readResponse(res, r)
	out.retriedByTransport = conns.Load() > 1
	return out
}

// readResponse reads a complete response. A truncated response counts as none.
func readResponse(res *http.Response, r request) attemptResult {
	out := attemptResult{status: res.StatusCode, outcome: outcomeOf(res.Header), retryAfter: retryAfterOf(res.Header)}
	if out.requestOutcome() == Done && res.StatusCode == http.StatusOK {
		out.response, out.err = backend.ReadAnswer(res.Body, r.op.ResponseSize)
		return out
	}
	detail, err := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
	out.detail, out.err = strings.TrimSpace(string(detail)), err
	return out
}

func bodySumOf(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
