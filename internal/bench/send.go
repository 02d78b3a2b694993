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
	// answerMargin is how much longer than its deadline a caller waits.
	answerMargin   = 500 * time.Millisecond
	maxDetailBytes = 400
)

// request is one request to be sent, the same at each attempt.
type request struct {
	op      Op
	service string
	token   string
	key     string
	// issued is set if the key came with a look-up's answer.
	issued   bool
	body     []byte
	deadline time.Duration
	due      time.Time
}

// path returns the path and query below the entry instance.
func (r request) path() string {
	q := url.Values{tokenParam: {r.token}}
	if r.op.ResponseSize > 0 {
		q.Set("size", strconv.FormatInt(r.op.ResponseSize, 10))
	}
	return "/" + r.service + r.op.Path + "?" + q.Encode()
}

// record returns the record of a request that has got no answer yet.
func (r request) record() Record {
	return Record{
		Token: r.token, Service: r.service, Op: r.op.Name, Key: r.key, Method: r.op.Method,
		Idempotent: r.op.Idempotent, BodySum: sumOf(r.body), Start: r.due, End: Unanswered,
	}
}

// sender sends requests and applies the rules for callers.
type sender struct {
	maxAttempts int
	patience    time.Duration
}

// send sends a request until it has ended.
func (s *sender) send(ctx context.Context, c *caller, r request) Record {
	rec := r.record()
	last := s.attempts(ctx, c, r, &rec)
	rec.Latency = time.Since(r.due)
	rec.End, rec.Status, rec.Answer, rec.Detail = last.end(), last.status, last.answer, last.detail
	if last.err != nil {
		rec.Detail = last.err.Error()
	}
	return rec
}

// attempts sends the request until the rules, the attempts or the patience end
// it, and returns the last reply.
func (s *sender) attempts(ctx context.Context, c *caller, r request, rec *Record) reply {
	var last reply
	// stale is set while the key has to be replaced before the next sending.
	sent, stale := false, false
	for at := 0; rec.Attempts < s.maxAttempts; {
		instances, err := s.prepare(ctx, c, &r, rec, stale)
		var refused *refusedError
		if errors.As(err, &refused) {
			if r.op.Idempotent || !rec.Uncertain {
				last = refused.reply()
			}
			if !s.wait(ctx, r, refused.retryAfter) {
				return last
			}
			continue
		}
		if err != nil {
			return reply{err: err, unsent: rec.Attempts == 0}
		}
		stale = false
		to := instances[at%len(instances)]
		last = attempt(ctx, c.http, to, r)
		rec.Entry = to.ID
		rec.Attempts++
		rec.Uncertain = rec.Uncertain || last.uncertain()
		sent = sent || !last.unsent
		step, wait := last.next(r.op.Idempotent, r.key)
		switch step {
		case finish:
			return last
		case resendNext:
			at++
			if at%len(instances) == 0 {
				c.forget()
				wait = minResendWait
			}
			stale = r.issued && last.unsent && !sent
		case resendLater:
		}
		if !s.wait(ctx, r, wait) {
			return last
		}
	}
	return last
}

// wait waits before the request is sent again; false means that its caller
// has no patience left.
func (s *sender) wait(ctx context.Context, r request, t time.Duration) bool {
	return !time.Now().Add(t).After(r.due.Add(s.patience)) && sleep(ctx, t)
}

// key takes a key for the request. One that is refused is asked for again.
func (s *sender) key(ctx context.Context, c *caller, r request) (string, error) {
	for {
		key, err := c.key(ctx)
		var refused *refusedError
		if !errors.As(err, &refused) || !s.wait(ctx, r, refused.retryAfter) {
			return key, err
		}
	}
}

// prepare returns the instances to send to, with a fresh key for the request if
// its own is stale.
func (s *sender) prepare(ctx context.Context, c *caller, r *request, rec *Record, stale bool) ([]Instance, error) {
	if stale {
		if err := s.renew(ctx, c, r, rec); err != nil {
			return nil, err
		}
	}
	return c.instances(ctx)
}

// renew takes a fresh key for a request whose key has never been sent: the
// home that the key names can't be reached, so nobody else could run it.
func (s *sender) renew(ctx context.Context, c *caller, r *request, rec *Record) error {
	c.forget()
	key, err := c.key(ctx)
	if err != nil {
		return err
	}
	r.key, rec.Key = key, key
	return nil
}

// sleep reports whether the time passed before the context ended.
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
func attempt(ctx context.Context, client *http.Client, to Instance, r request) reply {
	ctx, cancel := context.WithTimeout(ctx, r.deadline+answerMargin)
	defer cancel()
	var conns atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { conns.Add(1) },
	})
	req, err := http.NewRequestWithContext(ctx, r.op.Method, "http://"+to.Address+r.path(), bytes.NewReader(r.body))
	if err != nil {
		return reply{err: err, unsent: true}
	}
	req.Header.Set(filter.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set(filter.HeaderIdempotencyKey, r.key)
	}
	res, err := client.Do(req)
	if err != nil {
		return reply{err: err, unsent: conns.Load() == 0}
	}
	defer func() { _ = res.Body.Close() }()
	out := readReply(res, r)
	out.resent = conns.Load() > 1
	return out
}

// readReply reads a whole answer; one that is cut counts as none.
func readReply(res *http.Response, r request) reply {
	out := reply{status: res.StatusCode, outcome: outcomeOf(res.Header), retryAfter: retryAfterOf(res.Header)}
	if out.end() == Done && res.StatusCode == http.StatusOK {
		out.answer, out.err = backend.ReadAnswer(res.Body, r.op.ResponseSize)
		return out
	}
	detail, err := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
	out.detail, out.err = strings.TrimSpace(string(detail)), err
	return out
}

func sumOf(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
