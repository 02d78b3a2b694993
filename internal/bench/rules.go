package bench

import (
	"net/http"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// minResendWait is the wait before a request is sent again after an answer
// without Retry-After.
const minResendWait = 100 * time.Millisecond

// reply is the result of one sending.
type reply struct {
	// err is set when no whole answer came; unsent tells that no connection
	// was made.
	err    error
	unsent bool
	// resent tells that net/http itself sent it again on another connection.
	resent bool

	status     int
	outcome    string
	retryAfter time.Duration
	detail     string
	answer     backend.Answer
}

// step is what a caller does next.
type step int

const (
	// finish ends the request.
	finish step = iota
	// resendNext sends it through the next instance at once.
	resendNext
	// resendLater sends it again after a wait.
	resendLater
)

// next applies the rules for callers: the same key, or an idempotent request,
// may be sent again after a connection error, and after not-run once
// Retry-After has passed. After unknown an idempotent request is sent again,
// and any other with its key if the answer says when.
func (r reply) next(idempotent bool, key string) (step, time.Duration) {
	switch {
	case r.err != nil && (r.unsent || idempotent || key != ""):
		return resendNext, 0
	case r.err != nil, r.outcome == outcome.Done.String():
		return finish, 0
	case r.outcome == outcome.NotRun.String() && r.retryAfter > 0:
		return resendLater, r.retryAfter
	case r.outcome == outcome.NotRun.String():
		return finish, 0
	case idempotent, r.retryAfter > 0 && key != "":
		return resendLater, max(r.retryAfter, minResendWait)
	}
	return finish, 0
}

// end returns how the request ends when this is its last reply.
func (r reply) end() Outcome {
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

// uncertain reports whether the sending may have been run unseen.
func (r reply) uncertain() bool {
	e := r.end()
	return r.resent || e == Unknown || e == Unanswered && !r.unsent
}

func retryAfterOf(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// outcomeOf returns the outcome header.
func outcomeOf(h http.Header) string { return h.Get(filter.HeaderOutcome) }
