package handover

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/memory"
	"github.com/banyandeal/banyandeal/internal/edge/metrics"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// isolated is a Reach whose open connections still work.
type isolated struct{}

func (isolated) Isolated() bool { return true }
func (isolated) OpenWork() bool { return true }

// clientFunc is a Client.
type clientFunc func(ctx context.Context) (*relaypb.HandoverReply, error)

func (f clientFunc) Handover(ctx context.Context, _ string, _ *relaypb.Handover) (*relaypb.HandoverReply, error) {
	return f(ctx)
}

// TestLostHandoverIsNotCalledNotRun guards against a refusal that says that a request has not run
// although another instance had it and may have sent it (rule REFUSED).
func TestLostHandoverIsNotCalledNotRun(t *testing.T) {
	const timeout = 50 * time.Millisecond
	lost := func(context.Context) (*relaypb.HandoverReply, error) { return nil, errors.New("no reply") }
	late := func(ctx context.Context) (*relaypb.HandoverReply, error) { <-ctx.Done(); return nil, ctx.Err() }
	unreachable := func(context.Context) (*relaypb.HandoverReply, error) {
		return nil, &relay.NotSentError{Cause: errors.New("refused")}
	}
	for _, c := range []struct {
		name   string
		kind   traffic.RouteKind
		client clientFunc
		status int
	}{
		{"lost", traffic.NonIdempotent, lost, http.StatusBadGateway},
		{"lost, idempotent", traffic.Idempotent, lost, http.StatusBadGateway},
		{"lost, download", traffic.Download, lost, http.StatusBadGateway},
		{"late", traffic.NonIdempotent, late, http.StatusGatewayTimeout},
		{"late, idempotent", traffic.Idempotent, late, http.StatusGatewayTimeout},
		{"unreachable", traffic.NonIdempotent, unreachable, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewFilter(&traffic.Settings{Instance: "self", Region: "a", RegionOf: map[string]string{"a1": "a"}}, isolated{}, c.client, metrics.New())
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			ex := &gateway.Exchange{
				Request: &ingress.Request{Header: http.Header{}}, ID: "1", CallerDeadline: time.Now().Add(timeout),
				Route: &traffic.Route{Kind: c.kind, MaxAttempts: 2},
				View:  &control.View{Members: []traffic.Member{{Name: "other", Zone: "a1"}, {Name: "third", Zone: "a1"}}},
			}
			refuse := func(_ context.Context, ex *gateway.Exchange) *ingress.Response {
				ex.Outcome.Attempts = []gateway.Attempt{{Reason: "not_dialed"}}
				return gateway.UnavailableResponse(time.Second, "")
			}
			require.Equal(t, c.status, f.Serve(ctx, ex, refuse).Status)
		})
	}
}

// TestLargeBodyIsNotHandedOver guards against a body that no instance can take, which the sender
// would have to call a request that may have run.
func TestLargeBodyIsNotHandedOver(t *testing.T) {
	for size, status := range map[int]int{maxTakenBytes: http.StatusOK, maxTakenBytes + 1: http.StatusServiceUnavailable} {
		take := clientFunc(func(context.Context) (*relaypb.HandoverReply, error) {
			return &relaypb.HandoverReply{Status: http.StatusOK}, nil
		})
		f := NewFilter(&traffic.Settings{Instance: "self", Region: "a", RegionOf: map[string]string{"a1": "a"}}, isolated{}, take, metrics.New())
		ex := &gateway.Exchange{
			Request: &ingress.Request{Header: http.Header{}, Body: memory.Body{make([]byte, size)}}, ID: "1", CallerDeadline: time.Now().Add(time.Second),
			Route: &traffic.Route{Kind: traffic.NonIdempotent, MaxAttempts: 2},
			View:  &control.View{Members: []traffic.Member{{Name: "other", Zone: "a1"}}},
		}
		refuse := func(_ context.Context, ex *gateway.Exchange) *ingress.Response {
			ex.Outcome.Attempts = []gateway.Attempt{{Reason: "not_dialed"}}
			return gateway.UnavailableResponse(time.Second, "")
		}
		require.Equal(t, status, f.Serve(t.Context(), ex, refuse).Status)
	}
}
