package demo

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/testbed"
)

func TestTargetsOfTheExamples(t *testing.T) {
	for _, name := range []string{"tiszahid", "caroni"} {
		t.Run(name, func(t *testing.T) {
			bed, err := testbed.New(testbed.Options{Dir: "../../examples/" + name, Work: t.TempDir()})
			require.NoError(t, err)
			t.Cleanup(bed.Close)
			perZone := map[string]int{}
			for _, i := range bed.Entries {
				perZone[i.Zone]++
			}
			targets, err := chooseTargets(bed.Estate, bed.Entries)
			require.NoError(t, err)
			zones := map[string]bool{}
			for _, i := range bed.Entries {
				if i.ID == targets.killEntry || i.ID == targets.stopEntry.ID {
					require.Equal(t, 2, perZone[i.Zone])
					require.NotEqual(t, targets.drainZone, i.Zone)
					zones[i.Zone] = true
				}
			}
			require.Len(t, zones, 2, "no zone loses both of its instances")
		})
	}
}
