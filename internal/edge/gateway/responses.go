package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/platform"
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

// UnauthorizedResponse returns the response to a request that shows no client account on a route
// that requires one.
func UnauthorizedResponse() *ingress.Response {
	resp := ErrorResponse(http.StatusUnauthorized, "send the request with one key of a client account, or ask the operators of the service for one")
	platform.SetUnauthorized(resp.Header)
	return resp
}

// quarantinedText is the text of the responses to quarantined requests.
const quarantinedText = "equal requests crashed the backend servers that ran them; do not send the request again unchanged, report it to the operators of the service"

// Quarantined returns the response to a quarantined request that has not run in this
// attempt of its caller. retryAfter is the time until the quarantine ends.
func Quarantined(retryAfter time.Duration) *ingress.Response {
	return UnavailableResponse(retryAfter, quarantinedText)
}

// QuarantinedAfterRun returns the response to a request that was quarantined after it
// may have run in this attempt of its caller.
func QuarantinedAfterRun() *ingress.Response {
	return ErrorResponse(http.StatusBadGateway, quarantinedText)
}
