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

// slots implements Slots with fixed numbers of free and total slots.
type slots struct{ free, total int }

func (s slots) Free(string) (free, total int) { return s.free, s.total }

const testService = "scoring"

// testSearch returns the search for a request at instance a1 of zone a, which has
// the slots own. The zone's other instance, a2, has the given number of slots. Of
// the other zones, b has three quarters of the weight and c drains.
func testSearch(p Policy, own slots, neighbour int) *search {
	report := func(n int) map[string]load.Report {
		return map[string]load.Report{testService: {Slots: n, At: time.Now()}}
	}
	zone := func(name string, closed bool, instances ...snapshot.Instance) snapshot.Zone {
		return snapshot.Zone{
			Name: name, Region: "r-" + name, Instances: instances, Closed: closed,
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
		Filter: Filter{Policy: p, Slots: own, PeerObservations: NewPeerObservations()}, snap: snap, tried: newTriedDestinations(),
		request: &filter.Request{Service: svc, ExcludedBackends: filter.NewExcludedBackends()},
	}
}

func TestOnlySteeredAvoidsFullInstances(t *testing.T) {
	for range 100 {
		dest, ok := testSearch(Steered{}, slots{0, 3}, 3).choose(time.Now())
		require.True(t, ok)
		require.Equal(t, "neighbour", dest.kind)
		dest, ok = testSearch(Baseline{}, slots{0, 3}, 0).choose(time.Now())
		require.True(t, ok)
		require.Equal(t, "own", dest.kind, "the instance owns the only slots of the zone, although they are full")
	}
}

func TestBaselineChoosesZonesByWeight(t *testing.T) {
	const draws = 4000
	chosen := map[string]int{}
	for range draws {
		dest, ok := testSearch(Baseline{}, slots{}, 0).choose(time.Now())
		require.True(t, ok)
		require.Equal(t, filter.StageZone, dest.stage)
		chosen[dest.instance.ID]++
	}
	require.Zero(t, chosen["c1"], "a draining zone gets no requests from other zones")
	// Zone b has 6/7 of the weight of the zones that do not drain. A deviation of
	// a tenth of the draws is far beyond random variation.
	require.InDelta(t, draws*6/7, chosen["b1"]+chosen["b2"], draws/10)
	require.InDelta(t, draws*3/7, chosen["b1"], draws/10)
}

func TestBaselineTriesEachInstanceOnce(t *testing.T) {
	s := testSearch(Baseline{}, slots{}, 0)
	tried := map[string]bool{}
	for {
		dest, ok := s.choose(time.Now())
		if !ok {
			break
		}
		require.False(t, tried[dest.instance.ID], dest.instance.ID)
		tried[dest.instance.ID] = true
	}
	require.Equal(t, map[string]bool{"b1": true, "b2": true, "d1": true}, tried)

	s = testSearch(Baseline{}, slots{}, 0)
	s.request.Stage = filter.StageZone
	_, ok := s.choose(time.Now())
	require.False(t, ok, "a request from another zone is not forwarded to a third zone")
}

func TestBaselineHasNoRetryBudget(t *testing.T) {
	svc := &estate.Service{Name: testService, Retry: estate.RetryPolicy{BudgetShare: 0.1}, HedgeAfter: time.Second}
	for _, c := range []struct {
		policy  Policy
		refused bool
	}{{Steered{}, true}, {Baseline{}, false}} {
		cfg, _ := c.policy.retryPolicy(svc)
		b := NewRetryBudgets().get(svc.Name, cfg)
		refused := false
		for range 1000 {
			refused = refused || !b.tokens.Take(time.Now())
		}
		require.Equal(t, c.refused, refused)
	}
}
