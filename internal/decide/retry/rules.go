// Package retry decides whether a request may be sent again, when, and what
// its caller is told when it may not.
//
// A request that is not idempotent is never sent again once it may have
// reached a backend server. Further attempts take tokens from a budget that
// grows with the requests themselves, so that retries cannot multiply an
// overload, and none begins that the deadline leaves no time for.
//
// Request and Budget are pure state machines: the time and random numbers are
// arguments.
package retry

import (
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Result is how one attempt ended.
type Result uint8

// Ends of an attempt.
const (
	// Answered has a whole answer.
	Answered Result = iota
	// Refused was turned away by a backend server or its owner, not run.
	Refused
	// NotSent has written no byte.
	NotSent
	// Lost was sent and has no answer: the connection broke or went silent.
	Lost
	// Cut has the beginning of an answer.
	Cut
	// Expired met the request's deadline after it was sent.
	Expired
	// Stopped was withdrawn, or crashed backend servers before; it is final.
	Stopped
)

// rule is what holds for an end.
type rule struct {
	name string
	// reached is set when a backend server may have run the attempt.
	reached bool
	// again is set when another attempt may follow, unless a backend server may
	// have run a request that is not idempotent.
	again bool
	// kind is told when none does.
	kind outcome.Kind
}

// rules is the table of what may be sent again.
var rules = [...]rule{
	Answered: {"answered", true, false, ""},
	Refused:  {"refused", false, true, outcome.KindNoCapacity},
	NotSent:  {"not-sent", false, true, outcome.KindBackendLost},
	Lost:     {"lost", true, true, outcome.KindBackendLost},
	Cut:      {"cut", true, true, outcome.KindCutAnswer},
	Expired:  {"expired", true, false, outcome.KindDeadline},
	Stopped:  {"stopped", false, false, outcome.KindCancelled},
}

// String returns the name of the end in logs and counters.
func (e Result) String() string { return rules[e].name }

// MayHaveRun reports whether a backend server may have run the attempt.
func (e Result) MayHaveRun() bool { return rules[e].reached }

// DefaultMaxHops is how many instances a request may pass through.
const DefaultMaxHops = 4

// CheckHops returns an error for a request that has passed through more
// instances than allowed, which means that their views disagree.
func CheckHops(hops, maxHops int) *outcome.Error {
	if hops <= maxHops {
		return nil
	}
	return &outcome.Error{
		Outcome: outcome.Unknown, Kind: outcome.KindPeerLost,
		Message: "the request was passed on more often than allowed",
		Remedy:  "send it again with the same key; operators compare the configuration versions of the instances",
	}
}
