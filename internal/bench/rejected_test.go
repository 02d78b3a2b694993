package bench

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// network is a transport that responds in place of the entry instances.
type network func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (n network) RoundTrip(r *http.Request) (*http.Response, error) { return n(r) }

func respond(status int, outcome, retryAfter, body string) *http.Response {
	h := http.Header{"Banyandeal-Outcome": {outcome}, "Retry-After": {retryAfter}}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

const noCapacity = `{"outcome":"not-run","kind":"no_capacity","message":"no zone in reach has capacity"}`

// sendOne sends one booking through the given networks and returns its record and
// the number of lookups that were made.
func sendOne(t *testing.T, lookup, request network) (rec Record, lookups int) {
	t.Helper()
	c := &caller{service: "casework", entries: []string{"a", "b"}, lookups: newLatency(), rng: rand.New(rand.NewPCG(1, 2))}
	c.http = &http.Client{Transport: network(func(r *http.Request) (*http.Response, error) {
		if r.URL.Path != "/v1/lookup" {
			return request(r)
		}
		lookups++
		return lookup(r)
	})}
	l := &Load{send: &sender{maxAttempts: 8, maxWait: 5 * time.Second}}
	r := newBooking()
	return l.sendWithKey(context.Background(), c, r, false), lookups
}

// newBooking returns a non-idempotent request that is due now.
func newBooking() request {
	return request{op: Op{Method: "POST", Path: "/bookings"}, service: "casework", token: "t", deadline: time.Second, due: time.Now()}
}

// rejectLookup responds that there is no capacity, with a Retry-After of 2 s.
func rejectLookup(*http.Request) (*http.Response, error) {
	return respond(http.StatusServiceUnavailable, "not-run", "2", noCapacity), nil
}

// unreachable fails like a connection that the instance refuses.
func unreachable(*http.Request) (*http.Response, error) { return nil, errors.New("refused") }

// A request whose lookups are all rejected was never sent. It must be recorded as
// not run, not as lost.
func TestRejectedLookupIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, lookups := sendOne(t, rejectLookup, unreachable)
		require.Equal(t, NotRun, rec.End)
		require.Equal(t, http.StatusServiceUnavailable, rec.Status)
		require.Equal(t, 3, lookups, "one instance is asked at once and after each Retry-After, within the maximum wait")
		require.Equal(t, 4*time.Second, rec.Latency)
		require.Empty(t, Check([]Record{rec}, nil))
	})
}

// The home instance of a key is unreachable and the following lookups are rejected.
// The request never got a connection, so it must be recorded as not run.
func TestRejectedLookupAfterUnreachableHomeIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responded := false
		rec, lookups := sendOne(t, func(r *http.Request) (*http.Response, error) {
			if responded {
				return rejectLookup(r)
			}
			responded = true
			return respond(http.StatusOK, "", "", `{"service":"casework","ttl_ms":1000,"key":"k","instances":[{"id":"a","address":"a"}]}`), nil
		}, unreachable)
		require.Equal(t, 4, lookups)
		require.False(t, rec.Uncertain, "the request was never sent")
		require.Equal(t, NotRun, rec.End)
		require.Empty(t, Check([]Record{rec}, nil))
	})
}

// An instance that is not ready must not count as a rejection for lack of capacity:
// the caller has to try the other instance.
func TestNotReadyResponseIsNotARejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, lookups := sendOne(t, func(*http.Request) (*http.Response, error) {
			return respond(http.StatusServiceUnavailable, "not-run", "1", strings.ReplaceAll(noCapacity, "no_capacity", "not_ready")), nil
		}, unreachable)
		require.Equal(t, Unanswered, rec.End)
		require.Equal(t, 2, lookups, "the lookup tries the other instance")
		require.Len(t, Check([]Record{rec}, nil), 1)
	})
}

// An attempt got a truncated response, and the following lookup is rejected. The
// request may have run, so it must not be recorded as not run.
func TestSentRequestStaysUncertainAfterRejectedLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responded := false
		rec, _ := sendOne(t, func(r *http.Request) (*http.Response, error) {
			if responded {
				return rejectLookup(r)
			}
			responded = true
			return respond(http.StatusOK, "", "", `{"service":"casework","ttl_ms":1000,"key":"k","instances":[{"id":"a","address":"a"}]}`), nil
		}, func(*http.Request) (*http.Response, error) {
			return respond(http.StatusOK, "done", "", "cut"), nil
		})
		require.True(t, rec.Uncertain)
		require.Equal(t, Unanswered, rec.End, "the request may have run")
		require.Len(t, Check([]Record{rec}, nil), 1)
	})
}
