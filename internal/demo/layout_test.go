package demo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config"
)

func TestLayoutOfTheExamples(t *testing.T) {
	for _, name := range []string{"tiszahid", "caroni"} {
		t.Run(name, func(t *testing.T) {
			e, err := config.Load("../../examples/" + name)
			require.NoError(t, err)
			entries := layoutEntries(e)
			require.Len(t, entries, maxEntries)
			perZone := map[string]int{}
			for _, i := range entries {
				perZone[i.zone]++
			}
			require.Len(t, perZone, len(e.Zones), "each zone has an entry instance of its own")

			targets, err := chooseTargets(e, entries)
			require.NoError(t, err)
			zones := map[string]bool{}
			for _, i := range entries {
				if i.id == targets.killEntry || i.id == targets.stopEntry.id {
					require.Equal(t, 2, perZone[i.zone])
					require.NotEqual(t, targets.drainZone, i.zone)
					zones[i.zone] = true
				}
			}
			require.Len(t, zones, 2, "no zone loses both of its instances")

			rate := 0.0
			for _, w := range workloadsOf(e, 100) {
				rate += w.Rate
				require.Greater(t, w.Deadline, time.Duration(0))
			}
			require.InDelta(t, 100, rate, 1e-6)
		})
	}
}
