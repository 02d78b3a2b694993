package bench

import (
	"net/http"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// minRetryDelay is the delay before a retry if the response has no Retry-After.
const minRetryDelay = 100 * time.Millisecond

// attemptResult is the result of one attempt.
type attemptResult struct {
	// err is set if no complete response was received. unsent is set if no
	// connection was established.
	err    error
	unsent bool
	// retriedByTransport is set if net/http itself sent the request again on
	// another connection.
	retriedByTransport bool

	status     int
	outcome    string
	retryAfter time.Duration
	detail     string
	response   backend.Answer
}

// action is what a caller does after an attempt.
type action int

const (
	// finishRequest ends the request.
	finishRequest action = iota
	// retryNextInstance retries through the next instance, without a delay unless
	// all instances have been tried.
	retryNextInstance
	// retryAfterDelay retries after a delay.
	retryAfterDelay
)

// nextAction applies the rules for callers and returns the delay before a retry.
// A request that is idempotent or has a key may be sent again, with the same key,
// after a connection error. After a not-run outcome with Retry-After any request is
// sent again once that delay has passed. After an unknown outcome an idempotent request is
// sent again; any other request is sent again, with its key, only if the response
// has Retry-After. A request that never got a connection is always sent again.
func (r attemptResult) nextAction(idempotent bool, key string) (action, time.Duration) {
	switch {
	case r.err != nil && (r.unsent || idempotent || key != ""):
		return retryNextInstance, 0
	case r.err != nil, r.outcome == outcome.Done.String():
		return finishRequest, 0
	case r.outcome == outcome.NotRun.String() && r.retryAfter > 0:
		return retryAfterDelay, r.retryAfter
	case r.outcome == outcome.NotRun.String():
		return finishRequest, 0
	case idempotent, r.retryAfter > 0 && key != "":
		return retryAfterDelay, max(r.retryAfter, minRetryDelay)
	}
	return finishRequest, 0
}

// requestOutcome returns the outcome of the request if this is its last attempt.
func (r attemptResult) requestOutcome() End {
	switch {
	case r.err != nil:
		return Unanswered
	case r.outcome == outcome.Done.String():
		return Done
	case r.outcome == outcome.NotRun.String():
		return NotRun
	}
	return Unknown
}

// mayHaveRun reports whether a backend server may have run the attempt without the
// caller learning of it.
func (r attemptResult) mayHaveRun() bool {
	e := r.requestOutcome()
	return r.retriedByTransport || e == Unknown || e == Unanswered && !r.unsent
}

// retryAfterOf returns the Retry-After header, or 0 if it is missing or not a
// non-negative number of seconds.
func retryAfterOf(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// outcomeOf returns the value of the outcome header.
func outcomeOf(h http.Header) string { return h.Get(filter.HeaderOutcome) }
