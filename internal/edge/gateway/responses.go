package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// ErrorResponse returns an answer of the system's own. The text tells the caller what
// to do.
func ErrorResponse(status int, text string) *ingress.Response {
	return &ingress.Response{
		Status: status,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   fmt.Appendf(nil, "{\"error\":%q}\n", text),
	}
}

// UnavailableResponse returns the answer to a request that has not run and never will.
func UnavailableResponse(retryAfter time.Duration, text string) *ingress.Response {
	a := ErrorResponse(http.StatusServiceUnavailable, text)
	a.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return a
}
