package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

var route = &traffic.Route{
	Name: "r", Prefix: "/r/", Idempotent: true, MaxAttempts: 2, Objective: 500 * time.Millisecond,
	Targets: []traffic.Target{{Service: "shop", Weight: 1}},
}

func view(members int) *control.View {
	v := &control.View{Config: &traffic.Config{Services: map[string]*traffic.Service{"shop": {Name: "shop"}}}}
	for n := range members {
		v.Members = append(v.Members, traffic.Member{Name: fmt.Sprint(n)})
	}
	return v
}

func exchange(v *control.View, deadline time.Duration) *gateway.Exchange {
	now := time.Now()
	return &gateway.Exchange{
		Request: &ingress.Request{Received: now}, View: v, Route: route,
		Deadline: now.Add(deadline), CallerDeadline: now.Add(deadline),
	}
}

func newDesk() *Desk {
	return NewDesk(&traffic.Settings{Bounds: traffic.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second}})
}

// taken returns how many further attempts the desk allows at once.
func taken(d *Desk, t *try) int {
	n := 0
	for d.takeRetry(t) {
		n++
	}
	return n
}

// TestMassRestart: instances that do not know yet how many they are use no more
// of the common budget than their part.
func TestMassRestart(t *testing.T) {
	d := newDesk()
	require.LessOrEqual(t, taken(d, d.begin(exchange(view(0), time.Second))), 1)
	d = newDesk()
	alone := d.begin(exchange(view(1), time.Second))
	d.begin(exchange(view(20), time.Second))
	require.LessOrEqual(t, taken(d, alone), 2)
}

// TestReturningCallerWaitsLonger: a caller that has been turned away is not
// turned away again for a wait that new callers are refused for.
func TestReturningCallerWaitsLonger(t *testing.T) {
	d := newDesk()
	fresh := d.begin(exchange(view(1), 3*time.Second))
	first := d.patience(fresh)
	back := d.begin(exchange(view(1), 2500*time.Millisecond))
	require.Equal(t, returnPatience*first, d.patience(back))
}

// TestRetryAfterFollowsTheLoad: callers come back when a slot is expected to be
// free, never later than a quarter of what is left to them.
func TestRetryAfterFollowsTheLoad(t *testing.T) {
	d := newDesk()
	waiting := d.begin(exchange(view(1), 3*time.Second))
	for range 100 {
		waiting.freeIn = 200 * time.Millisecond
		require.InDelta(t, 300, d.retryAfter(waiting).Milliseconds(), 101)
		waiting.freeIn = time.Minute
		require.LessOrEqual(t, d.retryAfter(waiting), 750*time.Millisecond)
	}
}
