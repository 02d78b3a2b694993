package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// The baseline must distribute demand by the configured weights, regardless of the
// region, and exclude draining zones.
func TestBaselineUsesWeightsOfZonesWithCapacity(t *testing.T) {
	e := benchEstate("127.0.0.1:1")
	e.Regions = append(e.Regions, estate.Region{Name: "south"})
	e.Zones = append(e.Zones, estate.Zone{Name: "b", Region: "south"}, estate.Zone{Name: "c", Region: "south"})
	s := &e.Services[0]
	s.Weights = map[string]float64{"a": 0.25, "b": 0.25, "c": 0.5}
	for _, zone := range []string{"b", "c"} {
		b := s.Backends[0]
		b.Name, b.Zone = zone, zone
		s.Backends = append(s.Backends, b)
	}
	e.Zones[2].State = estate.Draining

	p := newPolicy(static.PolicyBaseline)
	require.Equal(t, balance.Random, p.balance)
	in := placement.NewInput(e, placement.NewDemand(e))
	plan, err := p.place(in)
	require.NoError(t, err)
	flow := plan.Services[0].Flow.Row(0)
	require.Equal(t, flow[0], flow[1], "zones in the same and in another region must get equal weights")
	require.Zero(t, flow[2], "a draining zone must get no demand")
	require.NotZero(t, in.Services[0].Weight[2], "the input must not be modified")
	require.Equal(t, balance.LeastLoaded, newPolicy(static.PolicySteered).balance)
}
