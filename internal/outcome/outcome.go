// Package outcome defines how a request can end, and the typed errors that a
// caller of the system is answered with.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Outcome is how a request ended.
type Outcome uint8

// The three outcomes. The values are those of the peer protocol.
const (
	// Done means that a backend server answered and the answer is whole.
	Done Outcome = 1
	// NotRun means that no backend server has run the request, and that no
	// attempt of it is queued, running or able to start.
	NotRun Outcome = 2
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = 3
)

// String returns the outcome as it stands in headers and logs.
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

// Kind names the cause of an outcome other than Done; it is stable and appears
// in error bodies, logs and counters.
type Kind string

// Kinds of errors.
const (
	KindBadRequest        Kind = "bad_request"
	KindUnknownService    Kind = "unknown_service"
	KindForeignKey        Kind = "foreign_key"
	KindTooLarge          Kind = "too_large"
	KindNoCapacity        Kind = "no_capacity"
	KindLinkFull          Kind = "link_full"
	KindOverloaded        Kind = "overloaded"
	KindDeadline          Kind = "deadline"
	KindCancelled         Kind = "cancelled"
	KindQuarantined       Kind = "quarantined"
	KindHomeGone          Kind = "home_gone"
	KindTableDown         Kind = "table_down"
	KindBackendLost       Kind = "backend_lost"
	KindTruncatedResponse Kind = "cut_answer"
	KindNotReady          Kind = "not_ready"
	KindPeerLost          Kind = "peer_lost"
	KindResponseDropped   Kind = "answer_dropped"
	KindInternal          Kind = "internal"
)

// Error is the end of a request that has no answer of a backend server.
type Error struct {
	Outcome Outcome
	Kind    Kind
	// Message says what happened and Remedy what the caller can do about it.
	Message string
	Remedy  string
	// RetryAfter tells when to come back; 0 when coming back does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s; %s", e.Kind, e.Outcome, e.Message, e.Remedy)
}

// Status returns the HTTP status that carries the error to a caller.
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

// NotRunError returns an error for a request that was not run and may be sent
// again after retryAfter.
func NotRunError(kind Kind, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{
		Outcome: NotRun, Kind: kind, Message: fmt.Sprintf(format, args...),
		Remedy: "send it again after the time in Retry-After", RetryAfter: retryAfter,
	}
}

// UnknownError returns an error for a request that may have been run.
func UnknownError(kind Kind, format string, args ...any) *Error {
	return &Error{
		Outcome: Unknown, Kind: kind, Message: fmt.Sprintf(format, args...),
		Remedy: "ask the service whether it was run before sending it with a new key",
	}
}

// RejectedError returns an error for a request that was not run and must be
// changed before it is sent again.
func RejectedError(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Outcome: NotRun, Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// AsError returns the Error in err's chain, or wraps err as an internal error
// of unknown outcome.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return UnknownError(KindInternal, "%v", err)
}
