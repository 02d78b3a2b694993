package pool

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/attempt"
	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

var scoring = []estate.Service{{Name: "scoring"}}

func backends(address string) []Backend {
	return []Backend{{
		Backend: estate.Backend{Name: "b1", Address: address, Slots: 2, MaxConnections: 8},
		Service: "scoring", Standing: balance.Open,
	}}
}

func newPool(t *testing.T, h http.HandlerFunc) (*Pool, *[]Result) {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	var results []Result
	p := New(balance.LeastLoaded, func(r Result) { results = append(results, r) })
	p.Set(scoring, backends(srv.Listener.Addr().String()))
	return p, &results
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func TestServiceTakenFromTheEstateUnderLoad(t *testing.T) {
	p, _ := newPool(t, ok)
	lease, got := p.Acquire("scoring", nil)
	require.True(t, got)
	p.Set(nil, nil)
	_, got = p.Acquire("scoring", nil)
	require.False(t, got, "a request accepted before the change finds no backend server")
	require.Equal(t, outcome.Done, lease.Do(t.Context(), &attempt.Request{Method: "GET", Path: "/"}).Outcome)
	lease.Release(&attempt.Reply{Outcome: outcome.Done, Draining: true})
}

// TestSlotsAcrossChanges: a slot is given back once, and a backend server that
// is taken away and back keeps the count of what it has in flight.
func TestSlotsAcrossChanges(t *testing.T) {
	p, results := newPool(t, ok)
	address := p.Usage()[0].Address
	first, _ := p.Acquire("scoring", nil)
	second, _ := p.Acquire("scoring", nil)
	p.Set(scoring, nil)
	p.Set(scoring, backends(address))
	_, got := p.Acquire("scoring", nil)
	require.False(t, got)
	for range 2 {
		first.Release(&attempt.Reply{Outcome: outcome.Done})
		first.Cancel()
	}
	require.Equal(t, 1, p.InFlight("b1"))
	require.Len(t, *results, 1)
	second.Cancel()
	second.Release(&attempt.Reply{Outcome: outcome.Done})
	require.Zero(t, p.Total())
	require.Len(t, *results, 1, "a slot given back unused is no result")
}

func TestDrainingCountsAtOnce(t *testing.T) {
	p, _ := newPool(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(attempt.HeaderDraining, "true")
		ok(w, r)
	})
	lease, _ := p.Acquire("scoring", nil)
	lease.Release(lease.Do(t.Context(), &attempt.Request{Method: "GET", Path: "/"}))
	_, got := p.Acquire("scoring", nil)
	require.False(t, got)
}
