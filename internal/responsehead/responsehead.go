// Package responsehead decides which heads of backend servers' responses are valid.
package responsehead

import (
	"fmt"
	"net/http"
	"strings"
)

// MaxInterim bounds the informational responses before a final one.
const MaxInterim = 16

// Error is the error of a response that is not valid. What it says of the request is not known: the
// backend server may have run it.
type Error struct {
	// Status is the status line behind the version, as it was sent.
	Status string
	// Fault says what is wrong.
	Fault string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the backend server sent the status %q, %s; look at its log, and at what stands before it", e.Status, e.Fault)
}

// maxQuoted is the number of bytes of a status that an error quotes.
const maxQuoted = 64

func newError(status, fault string) *Error {
	return &Error{Status: status[:min(len(status), maxQuoted)], Fault: fault}
}

// CheckFinal returns the error of a response that cannot be the final one; nil if it can. Errors:
// *Error.
func CheckFinal(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return newError(r.Status, "in a version of HTTP that was not asked for")
	case !isCode(r.Status):
		return newError(r.Status, "which is not three digits")
	case r.StatusCode < http.StatusOK || r.StatusCode > 599:
		return newError(r.Status, "which is not a final status")
	}
	return nil
}

// isCode reports whether a status begins with a code of three digits.
func isCode(status string) bool {
	code, _, _ := strings.Cut(status, " ")
	return len(code) == 3 && strings.Trim(code, "0123456789") == ""
}

// CheckInterim returns the error of an informational response that may not stand before a final one;
// nil if it may. count is how many have come, this one included. Errors: *Error.
func CheckInterim(code int, h http.Header, count int) error {
	status := fmt.Sprint(code)
	switch {
	case code != http.StatusContinue && code != http.StatusProcessing && code != http.StatusEarlyHints:
		return newError(status, "which nobody defined, or which was not asked for")
	case len(h["Content-Length"]) > 0 || len(h["Transfer-Encoding"]) > 0:
		// What follows would be read as the next response.
		return newError(status, "an informational response with a body")
	case count > MaxInterim:
		return newError(status, "too many informational responses")
	}
	return nil
}
