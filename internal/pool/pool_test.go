package pool

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// What a backend server has in flight counts until it ends, also after the
// backend server has left the configuration: its owner must not give it up
// before.
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
