package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// Final returns an answer of the system's own. The text tells the caller what
// to do.
func Final(status int, text string) *ingress.Answer {
	return &ingress.Answer{
		Status: status,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   fmt.Appendf(nil, "{\"error\":%q}\n", text),
	}
}

// NotRun returns the answer to a request that has not run and never will.
func NotRun(retryAfter time.Duration, text string) *ingress.Answer {
	a := Final(http.StatusServiceUnavailable, text)
	a.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return a
}
