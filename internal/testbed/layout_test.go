package testbed

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
				perZone[i.Zone]++
			}
			require.Len(t, perZone, len(e.Zones), "each zone has an entry instance of its own")
			rate := 0.0
			for _, w := range Workloads(e, 100) {
				rate += w.Rate
				require.Greater(t, w.Deadline, time.Duration(0))
			}
			require.InDelta(t, 100, rate, 1e-6)
		})
	}
}
