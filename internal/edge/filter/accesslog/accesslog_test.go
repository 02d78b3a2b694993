package accesslog

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// TestInvalidLimitIsLogged guards against a request limit that is ignored without a trace,
// since only few requests that succeed are logged.
func TestInvalidLimitIsLogged(t *testing.T) {
	const requests = 10
	for invalid, lines := range map[bool]int{true: requests, false: maxSuccessLines} {
		var out bytes.Buffer
		m := metrics.New()
		f := New(zerolog.New(&out), m)
		for range requests {
			ex := &gateway.Exchange{Request: &ingress.Request{Received: time.Now()}, View: &control.View{}}
			ex.Outcome.Attempts = []gateway.Attempt{{
				Choice: affinity.Choice{Backend: &traffic.Backend{ID: "i-1"}}, Limit: platform.RequestLimit{Header: "Server-Limit", Invalid: invalid},
			}}
			f.Serve(t.Context(), ex, func(context.Context, *gateway.Exchange) *ingress.Response {
				return &ingress.Response{Status: http.StatusOK, Header: http.Header{}}
			})
		}
		require.Equal(t, lines, strings.Count(out.String(), `"event":"attempt"`))
	}
}
