package quarantine

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
)

const (
	// unansweredTime is how long a request without a response counts as possibly running.
	// A crash shows when the backend server is back, which takes some seconds.
	unansweredTime = 10 * time.Second
	// maxUnanswered bounds the requests without a response of one backend server.
	maxUnanswered = 32
)

// backendAttempts holds the requests that one backend server may be running.
type backendAttempts struct {
	// attempts holds the attempts in flight.
	attempts map[*Attempt]struct{}
	// unanswered holds the requests of attempts that ended without a response, the oldest
	// first. The backend server may still have them in its queue, or be silent because
	// they crashed it.
	unanswered []unansweredRequest
	// lapsed is set once the backend server has stopped its heartbeats.
	lapsed bool
}

type unansweredRequest struct {
	quarantine.SentRequest
	// ended is when the attempt ended.
	ended time.Time
}

// Attempt is one attempt of a request at one backend server.
type Attempt struct {
	quarantine.SentRequest
	backend string
	// written is set once the request is being written to a connection.
	written bool
	// alive is when the backend server was last known to be up, at most Sent.
	alive time.Time
	// crashCounted is set if the attempt was already in flight in a recorded
	// crash.
	crashCounted bool
}

// start adds an attempt.
func (b *backendAttempts) start(backend string, r quarantine.SentRequest) *Attempt {
	a := &Attempt{SentRequest: r, backend: backend}
	b.attempts[a] = struct{}{}
	return a
}

// silentRun returns the request as one whose backend server showed no sign that it was up
// after the connection was last used. It may have crashed since, before the request was sent.
func (a *Attempt) silentRun() quarantine.SentRequest {
	r := a.SentRequest
	r.Sent = a.alive
	return r
}

// fingerprints returns the fingerprints of the requests, in no particular order.
func (b *backendAttempts) fingerprints() []quarantine.Fingerprint {
	out := make([]quarantine.Fingerprint, 0, len(b.attempts)+len(b.unanswered))
	for a := range b.attempts {
		out = append(out, a.Fingerprint)
	}
	for _, r := range b.unanswered {
		out = append(out, r.Fingerprint)
	}
	return out
}

// keepUnanswered notes a request that got no response.
func (b *backendAttempts) keepUnanswered(r quarantine.SentRequest, now time.Time) {
	if len(b.unanswered) >= maxUnanswered {
		b.unanswered = b.unanswered[1:]
	}
	b.unanswered = append(b.unanswered, unansweredRequest{SentRequest: r, ended: now})
}

// expireUnanswered forgets the requests that are not running any more.
func (b *backendAttempts) expireUnanswered(now time.Time) {
	b.unanswered = slices.DeleteFunc(b.unanswered, func(r unansweredRequest) bool { return now.Sub(r.ended) >= unansweredTime })
}

// takeRequests returns the requests that a crash counts for: those in flight that were not
// part of an earlier crash, and those without a response, which it forgets.
func (b *backendAttempts) takeRequests(cause CrashCause) []quarantine.SentRequest {
	var requests []quarantine.SentRequest
	for a := range b.attempts {
		if a.crashCounted || !a.written || cause == CauseLapsed && !a.Isolated {
			continue
		}
		a.crashCounted = true
		if cause == CauseRefused {
			requests = append(requests, a.SentRequest)
		} else {
			requests = append(requests, a.silentRun())
		}
	}
	for _, r := range b.unanswered {
		requests = append(requests, r.SentRequest)
	}
	b.unanswered = nil
	return requests
}
