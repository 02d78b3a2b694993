package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

// slots are the own slots, free and in all.
type slots struct{ free, all int }

func (s slots) Free(string) (free, all int) { return s.free, s.all }

const testService = "scoring"

// testSearch is the search of a request at instance a1: its zone has a second
// instance, b carries three quarters of the weight of the others, c drains.
func testSearch(p Policy, own slots, neighbour int) *search {
	report := func(n int) map[string]load.Report {
		return map[string]load.Report{testService: {Slots: n, At: time.Now()}}
	}
	zone := func(name string, closed bool, instances ...snapshot.Instance) snapshot.Zone {
		return snapshot.Zone{
			Name: name, Region: "r-" + name, Instances: instances, Draining: closed,
			Slots: map[string]int{testService: 10}, Loads: report(10),
		}
	}
	svc := &estate.Service{Name: testService, Weights: map[string]float64{"a": 0.2, "b": 0.6, "c": 0.1, "d": 0.1}}
	snap := &snapshot.Snapshot{
		Self: snapshot.Instance{ID: "a1"}, Zone: "a", Region: "r-a", Estate: &estate.Estate{},
		Zones: []snapshot.Zone{
			zone("a", false, snapshot.Instance{ID: "a1"}, snapshot.Instance{ID: "a2", Loads: report(neighbour)}),
			zone("b", false, snapshot.Instance{ID: "b1"}, snapshot.Instance{ID: "b2"}),
			zone("c", true, snapshot.Instance{ID: "c1"}),
			zone("d", false, snapshot.Instance{ID: "d1"}),
		},
	}
	return &search{
		Filter: Filter{Policy: p, Slots: own, Outbox: NewOutbox()}, snap: snap, seen: newVisited(),
		r: &filter.Request{Service: svc, Avoid: filter.NewAvoid()},
	}
}

func TestSteeredLeavesFullSlotsAloneAndBaselineDoesNot(t *testing.T) {
	for range 100 {
		p, ok := testSearch(Steered{}, slots{0, 3}, 3).choose(time.Now())
		require.True(t, ok)
		require.Equal(t, "neighbour", p.kind)
		p, ok = testSearch(Baseline{}, slots{0, 3}, 0).choose(time.Now())
		require.True(t, ok)
		require.Equal(t, "own", p.kind, "the only slots of the zone, though full")
	}
}

func TestBaselineDrawsByFixedWeights(t *testing.T) {
	const draws = 4000
	seen := map[string]int{}
	for range draws {
		p, ok := testSearch(Baseline{}, slots{}, 0).choose(time.Now())
		require.True(t, ok)
		require.Equal(t, filter.StageZone, p.stage)
		seen[p.to.ID]++
	}
	require.Zero(t, seen["c1"], "a zone that drains")
	// Zone b has 6 of the 7 parts; a tenth of them is far outside of chance.
	require.InDelta(t, draws*6/7, seen["b1"]+seen["b2"], draws/10)
	require.InDelta(t, draws*3/7, seen["b1"], draws/10)
}

func TestBaselineTriesEachInstanceOnce(t *testing.T) {
	s := testSearch(Baseline{}, slots{}, 0)
	tried := map[string]bool{}
	for {
		p, ok := s.choose(time.Now())
		if !ok {
			break
		}
		require.False(t, tried[p.to.ID], p.to.ID)
		tried[p.to.ID] = true
	}
	require.Equal(t, map[string]bool{"b1": true, "b2": true, "d1": true}, tried)

	s = testSearch(Baseline{}, slots{}, 0)
	s.r.Stage = filter.StageZone
	_, ok := s.choose(time.Now())
	require.False(t, ok, "a request that came from another zone goes no further")
}

func TestBaselineHasNoBudget(t *testing.T) {
	svc := &estate.Service{Name: testService, Retry: estate.RetryPolicy{BudgetShare: 0.1}, HedgeAfter: time.Second}
	for _, c := range []struct {
		policy  Policy
		refused bool
	}{{Steered{}, true}, {Baseline{}, false}} {
		cfg, _ := c.policy.retries(svc)
		b := NewBudgets().of(svc.Name, cfg)
		refused := false
		for range 1000 {
			refused = refused || !b.tokens.Take(time.Now())
		}
		require.Equal(t, c.refused, refused)
	}
}
