package refusal

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// TestNoPromiseAfterRun guards against a status that promises that a request has not run, from
// whatever filter, while an attempt or a handover of it may have run.
func TestNoPromiseAfterRun(t *testing.T) {
	ran := map[string]gateway.Outcome{
		"attempt":             {Attempts: []gateway.Attempt{{MayHaveRun: true}}},
		"attempt before":      {Attempts: []gateway.Attempt{{MayHaveRun: true}, {}}},
		"handover":            {Handovers: []gateway.Handover{{MayHaveRun: true}}},
		"handover afterwards": {Attempts: []gateway.Attempt{{}}, Handovers: []gateway.Handover{{}, {MayHaveRun: true}}},
	}
	notRun := map[string]gateway.Outcome{
		"nothing sent": {}, "refused": {Attempts: []gateway.Attempt{{}, {}}, Handovers: []gateway.Handover{{}}},
	}
	serve := func(outcome gateway.Outcome, status int) *ingress.Response {
		header := http.Header{"Retry-After": {"3"}, "X-Banyandeal-Server-Stamp": {"s"}}
		return Filter{}.Serve(t.Context(), &gateway.Exchange{Outcome: outcome}, func(context.Context, *gateway.Exchange) *ingress.Response {
			return &ingress.Response{Status: status, Header: header}
		})
	}
	for _, status := range []int{408, 421, 429, 503} {
		for name, outcome := range ran {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				resp := serve(outcome, status)
				require.Equal(t, http.StatusBadGateway, resp.Status)
				require.Empty(t, resp.Header.Get("Retry-After"))
				require.Empty(t, resp.Header.Get("X-Banyandeal-Server-Stamp"))
			})
		}
		for _, outcome := range notRun {
			require.Equal(t, status, serve(outcome, status).Status)
		}
	}
	for _, status := range []int{200, 404, 500, 502, 504} {
		resp := serve(ran["attempt"], status)
		require.Equal(t, status, resp.Status)
		require.NotEmpty(t, resp.Header.Get("X-Banyandeal-Server-Stamp"))
	}
}
