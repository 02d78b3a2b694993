package quota

import (
	"context"
	"net/http"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
)

// Filter implements gateway.Filter. It rejects requests beyond the quota of their client account.
// A request that another instance has handed over has its credit.
type Filter struct{ Keeper *Keeper }

// Serve implements gateway.Filter.
func (f Filter) Serve(ctx context.Context, ex *gateway.Exchange, next gateway.Next) *ingress.Response {
	account := ex.Account
	if account == nil || !account.Quota.Limited() || ex.Handover != nil {
		return next(ctx, ex)
	}
	began := time.Now()
	verdict := f.Keeper.take(ctx, account)
	ex.Outcome.Quota = &gateway.QuotaDecision{Quota: account.Quota, Verdict: verdict, Waited: time.Since(began)}
	f.Keeper.metrics.Observe("quota_wait_seconds", ex.Outcome.Quota.Waited.Seconds())
	if !verdict.Allowed {
		f.Keeper.metrics.Add("quota_refused", 1)
		ex.Outcome.Reason = gateway.ReasonQuota
		resp := gateway.UnavailableResponse(verdict.RetryAfter, "the client account is over its quota; come back at the time that Retry-After states")
		resp.Status = http.StatusTooManyRequests
		return resp
	}
	f.Keeper.metrics.Add("quota_allowed", 1)
	resp := next(ctx, ex)
	if ex.Outcome.Runs() == 0 {
		f.Keeper.metrics.Add("quota_returned", 1)
		f.Keeper.giveBack(account, verdict.Credit)
	}
	return resp
}
