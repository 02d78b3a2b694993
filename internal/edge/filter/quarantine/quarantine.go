// Package quarantine rejects requests that crashed the backend servers which ran them.
package quarantine

import (
	"context"
	"time"

	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/quarantine"
)

// Filter implements gateway.Filter. It rejects a quarantined request at once: the
// request has not run and will not run.
type Filter struct{ Guard *quarantine.Guard }

// Serve implements gateway.Filter.
func (f Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	verdict, evidence := f.Guard.Evidence(ex.Fingerprint)
	ex.Outcome.Verdict, ex.Outcome.Evidence = verdict, evidence
	if verdict != decide.Quarantined {
		return next(ctx, ex)
	}
	ex.Outcome.Reason = gateway.ReasonQuarantined
	return gateway.Quarantined(time.Until(evidence.Expiry))
}
