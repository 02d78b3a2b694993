package handover

import (
	"context"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/memory"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
)

// Bounds on the requests of other instances that are in flight at a time.
const (
	maxTaken      = 128
	maxTakenBytes = 8 << 20
)

// Reasons why an instance declines a request.
const (
	declinedStopping  = "stopping"
	declinedIsolated  = "isolated"
	declinedBusy      = "busy"
	declinedOldConfig = "old_config"
	declinedMemory    = "memory_full"
)

// Taker takes the requests that other instances hand over. It implements relay.Taker.
type Taker struct {
	gateway  *gateway.Gateway
	reach    Reach
	view     func() *control.View
	stopping func() bool
	budget   *memory.Budget
	metrics  *metrics.Metrics

	mu sync.Mutex
	// taken counts the requests in flight, bytes their bodies.
	taken, bytes int
	// idle is closed when no request is in flight; nil while nobody waits for that.
	idle chan struct{}
}

// NewTaker returns a Taker that passes requests to g. view returns the current view, stopping
// reports whether this instance shuts down. budget bounds what the requests hold.
func NewTaker(g *gateway.Gateway, r Reach, view func() *control.View, stopping func() bool, budget *memory.Budget, m *metrics.Metrics) *Taker {
	return &Taker{gateway: g, reach: r, view: view, stopping: stopping, budget: budget, metrics: m}
}

// Take implements relay.Taker.
func (t *Taker) Take(ctx context.Context, from string, r *relaypb.Handover) *relaypb.HandoverReply {
	if reason := t.begin(r); reason != "" {
		t.metrics.Add("handovers_refused_"+reason, 1)
		return &relaypb.HandoverReply{Declined: true, Reason: reason}
	}
	defer t.end(r)
	account := t.budget.Account()
	defer account.Close()
	if err := account.Take(int64(len(r.Body))); err != nil {
		t.metrics.Add("handovers_refused_"+declinedMemory, 1)
		return &relaypb.HandoverReply{Declined: true, Reason: declinedMemory}
	}
	t.metrics.Add("handovers_taken", 1)
	request := &ingress.Request{
		Method: string(r.Method), Target: string(r.Target), Host: string(r.Host), Header: decodeHeader(r.Headers), Body: memory.Body{r.Body}, Memory: account,
		Received: time.Now(), Handover: &ingress.Handover{From: from, Runs: int(r.Runs), Credential: decodeCredential(r.Credential)},
	}
	resp, outcome := t.gateway.ServeObserved(ctx, request)
	return &relaypb.HandoverReply{
		Status: uint32(resp.Status), Headers: encodeHeader(resp.Header), Body: resp.Body,
		MayHaveRun: outcome.Runs() > 0, Reason: outcome.Reason,
	}
}

// begin counts a request, or returns the reason why it is declined.
func (t *Taker) begin(r *relaypb.Handover) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	config := t.view().Config
	switch {
	case t.stopping():
		return declinedStopping
	case t.reach.Isolated():
		return declinedIsolated
	case config == nil || config.Version < r.ConfigVersion:
		return declinedOldConfig
	case t.taken >= maxTaken || t.bytes+len(r.Body) > maxTakenBytes:
		return declinedBusy
	}
	t.taken++
	t.bytes += len(r.Body)
	return ""
}

// end counts the end of a request.
func (t *Taker) end(r *relaypb.Handover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken--
	t.bytes -= len(r.Body)
	if t.taken == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait waits until no request of another instance is in flight, or ctx is done.
func (t *Taker) Wait(ctx context.Context) {
	t.mu.Lock()
	if t.taken == 0 {
		t.mu.Unlock()
		return
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
