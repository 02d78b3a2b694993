package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// ErrorResponse returns a response that the instance itself generates. text
// tells the caller what happened and what to do next.
func ErrorResponse(status int, text string) *ingress.Response {
	return &ingress.Response{
		Status: status,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   fmt.Appendf(nil, "{\"error\":%q}\n", text),
	}
}

// UnavailableResponse returns the response to a request that has not run and
// will not run. The caller may retry after retryAfter.
func UnavailableResponse(retryAfter time.Duration, text string) *ingress.Response {
	resp := ErrorResponse(http.StatusServiceUnavailable, text)
	resp.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return resp
}
