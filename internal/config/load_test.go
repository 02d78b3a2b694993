package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// The examples are the estates of today's size.
func TestExamples(t *testing.T) {
	for _, tc := range []struct {
		dir      string
		port     int
		backends map[string]int
		slots    map[string]int
	}{
		{"tiszahid", 21000, map[string]int{"scoring": 20, "documents": 15}, map[string]int{"scoring": 60, "documents": 45}},
		{"caroni", 23000, map[string]int{"directory": 20, "casework": 10}, map[string]int{"directory": 100, "casework": 40}},
	} {
		t.Run(tc.dir, func(t *testing.T) {
			e, err := Load("../../examples/" + tc.dir)
			require.NoError(t, err)
			require.Equal(t, tc.dir, e.Name)
			require.Len(t, e.Regions, 3)
			require.Len(t, e.Zones, 6)
			require.Len(t, e.Links, 6)
			require.Len(t, e.Services, 2)
			for _, s := range e.Services {
				require.Len(t, s.Backends, tc.backends[s.Name], s.Name)
				slots := 0
				for _, b := range s.Backends {
					slots += b.Slots
				}
				require.Equal(t, tc.slots[s.Name], slots, s.Name)
			}
			requireRegionsCanEmpty(t, e)
		})
	}
}

// requireRegionsCanEmpty drains each region alone: its demand must fit the
// links and the other regions.
func requireRegionsCanEmpty(t *testing.T, e *estate.Estate) {
	for i := range e.Regions {
		e.Regions[i].State = estate.Draining
		c := &collector{places: map[string]place{}}
		c.checkCommitted(e)
		require.NoError(t, c.faults.orNil(), e.Regions[i].Name)
		e.Regions[i].State = estate.Active
	}
}
