package links

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// machineWithCap returns the machine of the only instance of a region. It holds
// all rights on the link to sfo, whose cap is inFlight.
func machineWithCap(t *testing.T, region string, inFlight int64) *linkcap.Machine {
	now := time.Now()
	self := membership.Instance{Identity: membership.Identity{ID: "a", Incarnation: 1}, Peer: "192.0.2.1:7"}
	m := linkcap.New(linkcap.Config{Self: self.Identity, Peer: self.Peer, Region: region}, now)
	m.SetCaps(now, map[string]linkcap.Rights{"sfo": {InFlight: inFlight, Rate: 100}}, time.Second)
	m.SetMembers(now, []membership.Instance{self})
	require.NoError(t, m.Row(now, platform.Row{Name: linkcap.RowPrefix + region}))
	for range 30 {
		time.Sleep(time.Second)
		m.Tick(time.Now())
		if w := m.Ready().Write; w != nil {
			row := platform.Row{Name: w.Writes[0].Row, Version: w.Writes[0].Expect + 1, ChangeID: w.ID, Value: w.Writes[0].Value}
			require.NoError(t, m.WriteReplied(time.Now(), w.ID, platform.TxnReply{Committed: true, Rows: []platform.Row{row}}))
		}
	}
	require.Equal(t, inFlight, m.Usable("sfo").InFlight)
	return m
}

// TestGateEnforcesCaps checks that a gate grants rights up to the cap of a link,
// and that the cap of the new link applies after the region of the instance has
// changed while a request was in flight.
func TestGateEnforcesCaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New()
		_, ok := g.Acquire("sfo")
		require.False(t, ok, "a gate without a machine grants no rights")
		g.SetMachine("pos", machineWithCap(t, "pos", 2))
		release, ok := g.Acquire("pos")
		require.True(t, ok, "requests within the region have no cap")
		release()
		first, ok := g.Acquire("sfo")
		require.True(t, ok)
		second, ok := g.Acquire("sfo")
		require.True(t, ok)
		_, ok = g.Acquire("sfo")
		require.False(t, ok)
		second()
		require.Equal(t, int64(1), g.Usage([]string{"sfo"})[0].Used.InFlight)
		require.Equal(t, int64(2), g.Usage([]string{"sfo"})[0].Peak)

		// The region of the instance changes while a request is in flight.
		g.SetMachine("bgi", machineWithCap(t, "bgi", 1))
		third, ok := g.Acquire("sfo")
		require.True(t, ok)
		first()
		_, ok = g.Acquire("sfo")
		require.False(t, ok, "the cap of the link from the new region applies")
		third()
		require.Zero(t, g.Usage([]string{"sfo"})[0].Used.InFlight)
	})
}
