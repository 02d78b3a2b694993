package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/health"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/decide/shift"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// drainedEstate returns an estate whose zone b is draining, declared at since.
func drainedEstate(since time.Time) *estate.Estate {
	e := testEstate(block("10.1.0.0/16", "north"), block("10.2.0.0/16", "south"))
	e.Zones[1].State = estate.Draining
	e.Sites[1].Since = since
	return e
}

// The ramp of a new instance starts at the time of a drain that may be in
// progress, not at the time of the latest version. A drain that has certainly
// ended applies at once, and so does one declared with the first version.
func TestNewInstanceRampStartsAtDrainTime(t *testing.T) {
	now := epoch.Add(time.Hour)
	for _, tc := range []struct {
		name  string
		ago   time.Duration
		since bool
	}{
		{"just declared", 0, true},
		{"in progress", 40 * time.Second, true},
		{"ended", 100 * time.Second, false},
		{"first version", now.Sub(time.Time{}), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := drainedEstate(now.Add(-tc.ago))
			if tc.name == "first version" {
				e.Sites[1].Since = time.Time{}
			}
			before, since := beforeDrains(e, now)
			require.Equal(t, tc.since, !before.ZoneDraining("b"))
			require.Equal(t, tc.since, since.Equal(now.Add(-tc.ago)))
			require.True(t, e.ZoneDraining("b"))
		})
	}
}

// A later version that does not change a drain must not restart the drain's
// ramp on an instance that starts after it.
func TestNewInstanceRampIgnoresLaterVersions(t *testing.T) {
	now := epoch.Add(time.Hour)
	remainingShare := func(headTime time.Time) float64 {
		c := newTestControl(t, nil)
		in := installed(t, 7, drainedEstate(now.Add(-20*time.Second)), nil, nil)
		in.Head.Time = headTime
		c.install(now, in)
		flows, total := sumByZone(flowOf(c.ramp.ramp.Shares(0), c.steer.plan.Services[0].Flow))
		return share(flows[1], total)
	}
	early, late := remainingShare(now.Add(-20*time.Second)), remainingShare(now)
	require.Equal(t, early, late)
	require.InDelta(t, 0.3, late, 0.01, "0.5 minus 0.01 per second")
}

// The backend servers of a draining site are given requests only while the
// shift is in progress and cached lookups are valid. After that they become
// ineligible and the drain ends.
func TestDrainedSiteLosesTraffic(t *testing.T) {
	c := newTestControl(t, nil)
	e := testEstate(block("10.1.0.0/16", "north"))
	e.Sites = append([]estate.Site{e.Sites[0], {Name: "a-2", Zone: "a", Weight: 1}}, e.Sites[1:]...)
	e.Services[0].Backends = append(e.Services[0].Backends, estate.Backend{
		Name: "a-2-1", Site: "a-2", Zone: "a", Address: "10.0.0.3:80", Slots: 4, MaxConnections: 8,
	})
	c.install(epoch, installed(t, 1, e, nil, nil))
	own(c, epoch)
	eligibilityAt := func(now time.Time) balance.Eligibility {
		c.health.machine.Step(health.Event{Name: listedBackend, Source: health.Probe, Signal: health.OK, At: now})
		c.tickSteer(now)
		c.publish(now)
		c.updateDrains(now)
		return c.Pool.Usage()[0].Eligibility
	}
	settled := epoch.Add(5 * time.Minute)
	for now := epoch; now.Before(settled); now = now.Add(time.Second) {
		require.Equal(t, balance.Eligible, eligibilityAt(now))
	}
	require.False(t, c.ramp.moving)

	e.Sites[0].State, e.Sites[0].Since = estate.Draining, settled
	c.install(settled, installed(t, 2, e, nil, nil))
	require.Equal(t, balance.LastResort, eligibilityAt(settled), "callers still use cached lookups")
	require.Equal(t, "site a-1", c.drains.status()[0].What)
	require.Zero(t, c.drains.status()[0].DurationSeconds)
	for now := settled; now.Before(settled.Add(5 * time.Minute)); now = now.Add(time.Second) {
		eligibilityAt(now)
	}
	require.Equal(t, balance.Ineligible, c.Pool.Usage()[0].Eligibility)
	require.NotZero(t, c.drains.status()[0].DurationSeconds)
	require.Len(t, c.drains.status(), 1)
}

// A zone with two instances is not lost while one of them leaves, is lost once
// both have left, and is no longer lost when one starts again.
func TestZoneLostWithLastInstance(t *testing.T) {
	c := newTestControl(t, nil)
	c.install(epoch, installed(t, 1, testEstate(), nil, nil))
	now := epoch.Add(startupGrace)
	lost := func(id string, incarnation uint64, state membership.State) bool {
		in := instance(id, incarnation, "b")
		in.State, in.Sequence = state, 1
		c.serveExchange(now, heartbeatOf(t, in, 1, nil, nil))
		c.handleMembershipOutput(now)
		c.updateLostZones(now)
		return c.ramp.lost["b"]
	}
	require.False(t, lost("b1", 1, membership.Live))
	require.False(t, lost("b2", 1, membership.Live))
	require.False(t, lost("b1", 1, membership.Leaving))
	require.True(t, lost("b2", 1, membership.Leaving))
	require.False(t, lost("b1", 2, membership.Live))
}

// A neighbour whose clock is far ahead must not prevent a new instance from
// adopting the ramp state of another neighbour.
func TestRampStateOfFastClockIsIgnored(t *testing.T) {
	c := newTestControl(t, nil)
	deliver := func(owner string, at time.Time) {
		value, err := json.Marshal(shift.State{At: at})
		require.NoError(t, err)
		c.handleRecord(epoch, refresh.Record{Owner: owner, Name: recordRamp, Value: value})
	}
	deliver("e2", epoch.Add(time.Hour))
	deliver("e3", epoch.Add(-time.Second))
	require.Equal(t, epoch.Add(-time.Second), c.ramp.neighbourState.At)
}
