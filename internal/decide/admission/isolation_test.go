package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// TestSuspectGoesToOneBackendAtAllInstances guards against a crashing request that reaches
// as many backend servers as there are instances before its next crash is known (rule
// BUDGET): instances of other regions, and those that saw failures, chose others.
func TestSuspectGoesToOneBackendAtAllInstances(t *testing.T) {
	regionOf := map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	snapshot := newSnapshot(77)
	snapshot.Backends = map[string][]*traffic.Backend{}
	for n := range 13 {
		zone := []string{"a1", "a2", "b1", "c1", "c1"}[n%5]
		snapshot.Backends["shop"] = append(snapshot.Backends["shop"], &traffic.Backend{ID: fmt.Sprint("i-", n), Service: "shop", Zone: zone, Slots: 3})
	}
	for suspect := range 20 {
		chosen := map[string]bool{}
		for n := range 77 {
			m := New(Config{
				Region: []string{"a", "b", "c"}[n%3], RegionOf: regionOf, Rand: rand.New(rand.NewPCG(1, uint64(n))),
				Bounds: traffic.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second},
			})
			if n%2 == 0 {
				failFirstChoice(t, m, snapshot, suspect)
			}
			r := m.Begin(snapshot, request(time.Second), start)
			r.Isolation = isolationOf(suspect)
			choice, reason := m.Next(r, snapshot, start)
			require.Empty(t, reason)
			chosen[choice.Backend.ID] = true
		}
		require.Len(t, chosen, 1)
	}
}

func isolationOf(suspect int) *Isolation {
	return &Isolation{Key: fmt.Sprint("suspect ", suspect), Avoid: func(*traffic.Backend) bool { return false }}
}

// failFirstChoice lets attempts at the backend server of a suspect fail and hang.
func failFirstChoice(t *testing.T, m *Machine, snapshot *Snapshot, suspect int) {
	for n := range 4 {
		r := m.Begin(snapshot, request(time.Second), start)
		r.Isolation = isolationOf(suspect)
		choice, reason := m.Next(r, snapshot, start)
		require.Empty(t, reason)
		if n%2 == 0 {
			m.RecordEnd(r, choice, affinity.Result{Outcome: affinity.Failed}, true, start)
		}
	}
}

// TestSuspectsAreConfined guards against many crashing requests that end all backend servers
// of a service one after another: they go to a few, and nowhere while these are down.
func TestSuspectsAreConfined(t *testing.T) {
	const most = 4 // a sixth of 24
	snapshot := newSnapshot(5)
	snapshot.Backends = map[string][]*traffic.Backend{}
	for n := range 24 {
		b := &traffic.Backend{ID: fmt.Sprint("i-", n), Service: "shop", Zone: []string{"a1", "a2", "b1"}[n%3], Slots: 3}
		snapshot.Backends["shop"] = append(snapshot.Backends["shop"], b)
	}
	m := New(Config{
		Region: "a", RegionOf: map[string]string{"a1": "a", "a2": "a", "b1": "b"}, Rand: rand.New(rand.NewPCG(1, 2)),
		Bounds: traffic.Bounds{RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second},
	})
	chosen, zones := map[string]bool{}, map[string]bool{}
	for suspect := range 200 {
		r := m.Begin(snapshot, request(time.Second), start)
		r.Isolation = isolationOf(suspect)
		r.Isolation.Confined = true
		choice, reason := m.Next(r, snapshot, start)
		if reason == Confined {
			require.Len(t, chosen, most, "no backend server although one of the few is up")
			continue
		}
		require.Empty(t, reason)
		chosen[choice.Backend.ID], zones[choice.Backend.Zone] = true, true
		m.RecordEnd(r, choice, affinity.Result{Outcome: affinity.Unreachable}, true, start)
	}
	require.Len(t, chosen, most)
	require.Len(t, zones, 3)
	other := m.Begin(snapshot, request(time.Second), start)
	_, reason := m.Next(other, snapshot, start)
	require.Empty(t, reason)
}
