// Package retry decides whether and when a request is retried or hedged, and
// which error its caller gets when no attempt succeeds.
//
// A request that is not idempotent is never retried once a backend server may
// have run it. Retries and hedges take tokens from a budget that grows with the
// number of requests, so that retries cannot amplify an overload. No attempt
// starts if too little time is left before the deadline.
//
// Request and Budget are pure state machines: callers pass the current time and
// random numbers as arguments.
package retry

import (
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Result is the result of one attempt.
type Result uint8

// Results of an attempt.
const (
	// Answered means that a complete response was received.
	Answered Result = iota
	// Refused means that a backend server, or the instance that owns it, rejected
	// the attempt without running it.
	Refused
	// NotSent means that the attempt failed before any byte was written.
	NotSent
	// Lost means that the attempt was sent but no response arrived, because the
	// connection broke or became unresponsive.
	Lost
	// Cut means that the response was truncated.
	Cut
	// Expired means that the request's deadline passed after the attempt was sent.
	Expired
	// Stopped means that the attempt was cancelled, or that the request is
	// quarantined because it crashed backend servers before. It is final.
	Stopped
)

// rule describes how a Result is handled.
type rule struct {
	// name is the name of the Result in logs and metrics.
	name string
	// mayHaveRun is true if a backend server may have run the attempt.
	mayHaveRun bool
	// retryable is true if another attempt may follow. It does not apply once a
	// backend server may have run a request that is not idempotent.
	retryable bool
	// kind is the kind of the error that the caller gets if no other attempt
	// follows.
	kind outcome.Kind
}

// rules holds the rule of each Result.
var rules = [...]rule{
	Answered: {"answered", true, false, ""},
	Refused:  {"refused", false, true, outcome.KindNoCapacity},
	NotSent:  {"not-sent", false, true, outcome.KindBackendLost},
	Lost:     {"lost", true, true, outcome.KindBackendLost},
	Cut:      {"cut", true, true, outcome.KindTruncatedResponse},
	Expired:  {"expired", true, false, outcome.KindDeadline},
	Stopped:  {"stopped", false, false, outcome.KindCancelled},
}

// String returns the name of the result in logs and metrics.
func (e Result) String() string { return rules[e].name }

// MayHaveRun reports whether a backend server may have run the attempt.
func (e Result) MayHaveRun() bool { return rules[e].mayHaveRun }

// DefaultMaxHops is the maximum number of instances that a request may pass
// through.
const DefaultMaxHops = 4

// CheckHops returns an error if a request has passed through more than maxHops
// instances, and nil otherwise. Too many hops mean that the instances disagree
// on where the request belongs.
func CheckHops(hops, maxHops int) *outcome.Error {
	if hops <= maxHops {
		return nil
	}
	return &outcome.Error{
		Outcome: outcome.Unknown, Kind: outcome.KindPeerLost,
		Message: "the request was forwarded between instances more often than allowed",
		Remedy:  "send the request again with the same key; operators should compare the configuration versions of the instances",
	}
}
