package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// Every target of the examples can be drained and filled again; each edit
// changes that state alone, and the fill restores the estate.
func TestDrainAndFillEverything(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, dir := range []string{"testdata/small", "../../examples/tiszahid", "../../examples/caroni"} {
		files, err := ReadFiles(dir)
		require.NoError(t, err)
		before, err := Parse(files)
		require.NoError(t, err)
		for _, target := range targets(before) {
			drained, err := SetState(files, target, estate.Draining, now)
			require.NoError(t, err, target)
			require.Len(t, drained.Files, 1, target)
			states := 0
			for _, c := range Diff(before, drained.Estate) {
				if c.Old == "active" && c.New == "draining" {
					states++
				} else {
					require.Equal(t, "none", c.Old, "%s: %s", target, c)
				}
			}
			require.Equal(t, 1, states, target)
			filled, err := SetState(drained.Merge(files), target, estate.Active, now)
			require.NoError(t, err, target)
			after, err := Parse(filled.Merge(drained.Merge(files)))
			require.NoError(t, err, target)
			require.Empty(t, Diff(before, after), target)
		}
	}
}

func targets(e *estate.Estate) []Target {
	var out []Target
	for _, r := range e.Regions {
		out = append(out, Target{TargetRegion, r.Name})
	}
	for _, z := range e.Zones {
		out = append(out, Target{TargetZone, z.Name})
	}
	for _, s := range e.Sites {
		out = append(out, Target{TargetSite, s.Name})
	}
	for _, s := range e.Services {
		for _, b := range s.Backends {
			out = append(out, Target{TargetBackend, b.Name})
		}
	}
	return out
}
