package once

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Remedies of errors that this package makes.
const (
	remedySameKey = "send it again with the same key to get its answer; it runs at most once"
	remedyNewKey  = "send it with a new key after the time in Retry-After; under this key it never runs"
	remedyAsk     = "ask the service whether it was run before sending it with a new key"
)

// resumeAfter is when a caller comes back with the same key.
const resumeAfter = time.Second

// resumable returns an unknown outcome that a resend with the same key can
// clear up.
func resumable(kind outcome.Kind, message string) Result {
	return failed(&outcome.Error{
		Outcome: outcome.Unknown, Kind: kind, Message: message, Remedy: remedySameKey, RetryAfter: resumeAfter,
	})
}

// lost returns an unknown outcome that nothing can clear up.
func lost(kind outcome.Kind, message string) Result {
	return failed(&outcome.Error{Outcome: outcome.Unknown, Kind: kind, Message: message, Remedy: remedyAsk})
}

// withdrawn returns the end of a request whose deadline passed before it was
// sent to a backend server.
func withdrawn() Result {
	return failed(&outcome.Error{
		Outcome: outcome.NotRun, Kind: outcome.KindDeadline,
		Message: "the deadline passed while the request was queued",
		Remedy:  remedyNewKey,
	})
}

// sealed returns the error of a request that was not run, with the remedy that
// fits a key which never runs any more.
func sealed(err *outcome.Error) *outcome.Error {
	if err == nil {
		return nil
	}
	switch err.Kind {
	case outcome.KindQuarantined, outcome.KindBadRequest, outcome.KindTooLarge, outcome.KindUnknownService:
		return err
	}
	told := *err
	told.Remedy = remedyNewKey
	return &told
}

func failed(err *outcome.Error) Result { return Result{Outcome: err.Outcome, Err: err} }

func foreignKey() *outcome.Error {
	return outcome.RejectedError(outcome.KindForeignKey,
		"take a new key for a new request, or send the first request again unchanged",
		"the idempotency key belongs to a request with another method, path or body")
}
