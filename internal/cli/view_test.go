package cli

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/operator/client"
)

// TestDrainIsDoneWhenNobodySteersThere guards against a drain that is shown as done by the
// zone's own instance while another one still sends callers there.
func TestDrainIsDoneWhenNobodySteersThere(t *testing.T) {
	status := func(instance, zone string, weight, target float64, drains ...operator.DrainStatus) client.Result {
		return client.Result{Status: operator.Status{Instance: instance, Zone: zone, Drains: drains, Services: []operator.ServiceStatus{
			{Name: "notes", Zones: []operator.ServiceZoneStatus{{Zone: "south", Weight: weight, Target: target}}},
		}}}
	}
	drained := operator.DrainStatus{What: "zone south", DurationSeconds: 2.3}
	took := func(answers ...client.Result) float64 { return newView(answers).Drains[0].TookSeconds }
	require.Zero(t, took(status("n", "north", 0.06, 0), status("s", "south", 0, 0, drained)))
	require.Equal(t, 2.3, took(status("n", "north", 0, 0), status("s", "south", 0, 0, drained)))
	require.Equal(t, 2.3, took(status("n", "north", 0.5, 0.5), status("s", "south", 0.5, 0.5, drained)), "it was filled again since")
}
