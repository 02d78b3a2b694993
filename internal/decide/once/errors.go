package once

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Remedies in the errors of this package.
const (
	remedySameKey    = "send the request again with the same key to get its response; it runs at most once"
	remedyNewKey     = "send the request with a new key after the time in Retry-After; it never runs under this key"
	remedyAskService = "ask the service whether the request was run before sending it with a new key"
)

// retryAfter is the delay after which a caller should retry with the same key.
const retryAfter = time.Second

// retryableUnknown returns an unknown outcome that the caller can resolve by
// sending the request again with the same key.
func retryableUnknown(kind outcome.Kind, message string) Result {
	return errorResult(&outcome.Error{
		Outcome: outcome.Unknown, Kind: kind, Message: message, Remedy: remedySameKey, RetryAfter: retryAfter,
	})
}

// permanentUnknown returns an unknown outcome that no retry can resolve.
func permanentUnknown(kind outcome.Kind, message string) Result {
	return errorResult(&outcome.Error{Outcome: outcome.Unknown, Kind: kind, Message: message, Remedy: remedyAskService})
}

// queuedPastDeadline returns the result of a request whose deadline passed
// before the request was sent to a backend server.
func queuedPastDeadline() Result {
	return errorResult(&outcome.Error{
		Outcome: outcome.NotRun, Kind: outcome.KindDeadline,
		Message: "the deadline passed while the request was queued",
		Remedy:  remedyNewKey,
	})
}

// withNewKeyRemedy returns the error of a request that was not run, with the
// remedy replaced by remedyNewKey because the key never runs again. An error
// about the request itself keeps its remedy, since a new key would not help.
func withNewKeyRemedy(err *outcome.Error) *outcome.Error {
	if err == nil {
		return nil
	}
	switch err.Kind {
	case outcome.KindQuarantined, outcome.KindBadRequest, outcome.KindTooLarge, outcome.KindUnknownService:
		return err
	}
	adjusted := *err
	adjusted.Remedy = remedyNewKey
	return &adjusted
}

// errorResult returns the result with the error and its outcome.
func errorResult(err *outcome.Error) Result { return Result{Outcome: err.Outcome, Err: err} }

// foreignKeyError returns the error for a key that was used with another request.
func foreignKeyError() *outcome.Error {
	return outcome.RejectedError(outcome.KindForeignKey,
		"use a new key for a new request, or send the first request again unchanged",
		"the idempotency key was already used for a request with another method, path or body")
}
