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

// network answers requests in place of entry instances.
type network func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (n network) RoundTrip(r *http.Request) (*http.Response, error) { return n(r) }

func respond(status int, outcome, retryAfter, body string) *http.Response {
	h := http.Header{"Banyandeal-Outcome": {outcome}, "Retry-After": {retryAfter}}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

const noCapacity = `{"outcome":"not-run","kind":"no_capacity","message":"no zone in reach has capacity"}`

// sendOne sends one booking through a network and returns its record and the
// look-ups that were made.
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
	l := &Generator{send: &sender{maxAttempts: 8, patience: 5 * time.Second}}
	r := request1()
	return l.keyAndSend(context.Background(), c, r, false), lookups
}

func request1() request {
	return request{op: Op{Method: "POST", Path: "/bookings"}, service: "casework", token: "t", deadline: time.Second, due: time.Now()}
}

func refuse(*http.Request) (*http.Response, error) {
	return respond(http.StatusServiceUnavailable, "not-run", "2", noCapacity), nil
}

func unreachable(*http.Request) (*http.Response, error) { return nil, errors.New("refused") }

func TestRefusedLookupIsNotRunAndNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, lookups := sendOne(t, refuse, unreachable)
		require.Equal(t, NotRun, rec.End)
		require.Equal(t, http.StatusServiceUnavailable, rec.Status)
		require.Equal(t, 3, lookups, "at once and after each Retry-After, at one instance, while there is patience")
		require.Equal(t, 4*time.Second, rec.Latency)
		require.Empty(t, Check([]Record{rec}, nil))
	})
}

func TestRefusedWhileItsHomeIsGoneIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		given := false
		rec, lookups := sendOne(t, func(r *http.Request) (*http.Response, error) {
			if given {
				return refuse(r)
			}
			given = true
			return respond(http.StatusOK, "", "", `{"service":"casework","ttl_ms":1000,"key":"k","instances":[{"id":"a","address":"a"}]}`), nil
		}, unreachable)
		require.Equal(t, 4, lookups)
		require.False(t, rec.Uncertain, "it never left")
		require.Equal(t, NotRun, rec.End)
		require.Empty(t, Check([]Record{rec}, nil))
	})
}

func TestInstanceThatIsNotReadyRefusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec, lookups := sendOne(t, func(*http.Request) (*http.Response, error) {
			return respond(http.StatusServiceUnavailable, "not-run", "1", strings.ReplaceAll(noCapacity, "no_capacity", "not_ready")), nil
		}, unreachable)
		require.Equal(t, Unanswered, rec.End)
		require.Equal(t, 2, lookups, "the other one is asked")
		require.Len(t, Check([]Record{rec}, nil), 1)
	})
}

func TestSentRequestStaysUncertainAfterARefusedLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		given := false
		rec, _ := sendOne(t, func(r *http.Request) (*http.Response, error) {
			if given {
				return refuse(r)
			}
			given = true
			return respond(http.StatusOK, "", "", `{"service":"casework","ttl_ms":1000,"key":"k","instances":[{"id":"a","address":"a"}]}`), nil
		}, func(*http.Request) (*http.Response, error) {
			return respond(http.StatusOK, "done", "", "cut"), nil
		})
		require.True(t, rec.Uncertain)
		require.Equal(t, Unanswered, rec.End, "it may have run")
		require.Len(t, Check([]Record{rec}, nil), 1)
	})
}
