// Package outcome defines the possible outcomes of a request and the typed
// errors that callers receive.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Outcome says whether a backend server ran a request.
type Outcome uint8

// Outcomes of a request. The peer protocol uses the same values.
const (
	// Done means that a backend server ran the request and that its response
	// was received completely.
	Done Outcome = 1
	// NotRun means that no backend server has run the request, and that no
	// attempt of it is queued, is running or can still start.
	NotRun Outcome = 2
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = 3
)

// String returns the name of the outcome in headers and logs, or "invalid" for
// a value that is none of the declared outcomes.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Kind names the cause of an error. Kinds appear in error bodies, logs and
// counters, so their values must not change.
type Kind string

// Kinds of errors.
const (
	// KindBadRequest means that the request is malformed.
	KindBadRequest Kind = "bad_request"
	// KindUnknownService means that no service of that name is declared.
	KindUnknownService Kind = "unknown_service"
	// KindForeignKey means that the request's idempotency key belongs to a
	// different request.
	KindForeignKey Kind = "foreign_key"
	// KindTooLarge means that the request's body exceeds the limit of the
	// service.
	KindTooLarge Kind = "too_large"
	// KindNoCapacity means that no backend server with a free slot was found.
	KindNoCapacity Kind = "no_capacity"
	// KindLinkFull means that the cap of the link to another region is reached.
	KindLinkFull Kind = "link_full"
	// KindOverloaded means that the instance is at a limit of requests in
	// progress, of their bodies or of idempotency keys.
	KindOverloaded Kind = "overloaded"
	// KindDeadline means that the request's deadline has passed.
	KindDeadline Kind = "deadline"
	// KindCancelled means that the caller went away or that the attempt was
	// cancelled.
	KindCancelled Kind = "cancelled"
	// KindQuarantined means that such requests have crashed the backend servers
	// that ran them.
	KindQuarantined Kind = "quarantined"
	// KindHomeGone means that the home of the request's idempotency key, or the
	// stored outcome of the key, no longer exists.
	KindHomeGone Kind = "home_gone"
	// KindTableDown means that the idempotency key could not be claimed in the
	// table service.
	KindTableDown Kind = "table_down"
	// KindBackendLost means that the connection to the backend server failed or
	// was lost before a response arrived.
	KindBackendLost Kind = "backend_lost"
	// KindTruncatedResponse means that the response was truncated.
	KindTruncatedResponse Kind = "cut_answer"
	// KindNotReady means that the instance has no configuration yet.
	KindNotReady Kind = "not_ready"
	// KindPeerLost means that another instance could not be reached, or that the
	// connection to it was lost.
	KindPeerLost Kind = "peer_lost"
	// KindResponseDropped means that the request was run, but its response was too
	// large to be stored for a retry.
	KindResponseDropped Kind = "answer_dropped"
	// KindInternal means an error of the instance itself.
	KindInternal Kind = "internal"
)

// Error is the error that a caller receives instead of a response from a
// backend server.
type Error struct {
	Outcome Outcome
	Kind    Kind
	// Message says what happened.
	Message string
	// Remedy says what the caller can do about it.
	Remedy string
	// RetryAfter is the time after which the caller should retry; 0 if a retry
	// does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", e.Kind, e.Outcome, e.Message, e.Remedy)
}

// Status returns the HTTP status code of the error response.
func (e *Error) Status() int {
	switch e.Kind {
	case KindBadRequest, KindForeignKey:
		return http.StatusBadRequest
	case KindUnknownService:
		return http.StatusNotFound
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindQuarantined:
		return http.StatusUnprocessableEntity
	case KindHomeGone, KindResponseDropped:
		return http.StatusConflict
	case KindDeadline:
		return http.StatusGatewayTimeout
	case KindBackendLost, KindTruncatedResponse, KindPeerLost:
		return http.StatusBadGateway
	case KindInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// NotRunError returns an error for a request that was not run and that the
// caller may retry after retryAfter.
func NotRunError(kind Kind, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{
		Outcome: NotRun, Kind: kind, Message: fmt.Sprintf(format, args...),
		Remedy: "send it again after the time in Retry-After", RetryAfter: retryAfter,
	}
}

// UnknownError returns an error for a request that a backend server may have
// run.
func UnknownError(kind Kind, format string, args ...any) *Error {
	return &Error{
		Outcome: Unknown, Kind: kind, Message: fmt.Sprintf(format, args...),
		Remedy: "ask the service whether it was run before sending it with a new key",
	}
}

// RejectedError returns an error for a request that was not run and that the
// caller must change, as remedy says, before it sends the request again.
func RejectedError(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// AsError returns the first Error in err's chain. If there is none, it returns
// an error of KindInternal with an Unknown outcome and err's text.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return UnknownError(KindInternal, "%v", err)
}
