package pool

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// TestInFlightOutlivesConfiguration checks that requests in flight at a backend
// server are counted until they end, even after the backend server was removed
// from the configuration. Its owner must not release it before that.
func TestInFlightOutlivesConfiguration(t *testing.T) {
	p := New(balance.LeastLoaded, func(Result) {})
	services := []estate.Service{{Name: "loans"}}
	b := Backend{
		Backend: estate.Backend{Name: "b1", Address: "10.0.0.1:80", Slots: 2, MaxConnections: 2}, Service: "loans", Eligibility: balance.Eligible,
	}
	p.Set(services, []Backend{b})
	l, ok := p.Acquire("loans", nil)
	require.True(t, ok)
	p.Set(services, nil)
	require.Equal(t, 1, p.InFlight("b1"))
	_, ok = p.Acquire("loans", nil)
	require.False(t, ok)
	l.Cancel()
	require.Zero(t, p.InFlight("b1"))
}
