package control

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
)

func loadRecord(in membership.Instance, sequence uint64) refresh.Record {
	return refresh.Record{Owner: in.ID, Name: recordLoad, Incarnation: in.Incarnation, Sequence: sequence, Value: []byte(`{}`)}
}

// Nothing is kept for instances that are dead, however often they speak after
// it, but the record of their death for goneTTL.
func TestStateOfDeadInstancesIsBounded(t *testing.T) {
	c := newTestControl(t, nil)
	now := epoch
	const runs = 20
	teller := instance("e2", 1, "a")
	for i := range runs {
		now = now.Add(time.Second)
		in := instance(fmt.Sprintf("x%d", i), 1, "a")
		c.serveExchange(now, heartbeatOf(t, in, 1, nil, []refresh.Record{loadRecord(in, 1)}))
		c.settleMembers(now)
		c.serveExchange(now, heartbeatOf(t, teller, 1, []refresh.Record{gone(t, in)}, nil))
		c.settleMembers(now)
		c.serveExchange(now, heartbeatOf(t, in, 1, nil, []refresh.Record{loadRecord(in, 9)}))
		c.settleMembers(now)
	}
	require.Len(t, c.records.neighbours, 1)
	require.Len(t, c.config.addrs, 1)
	require.Empty(t, c.steer.loads)
	require.Len(t, c.records.expiries, runs)

	now = now.Add(goneTTL)
	c.tickRecords(now)
	require.Empty(t, c.records.expiries)
	_, known := c.records.global.Get("x0", recordInstance)
	require.False(t, known)
	c.tickRecords(now.Add(refresh.DefaultTombstoneTTL + sweepPeriod))
	require.Equal(t, 2, c.records.global.Len(), "e1 and e2")
}

// The record that tells where keys went is deleted after movedTTL, alike by its
// owner and by those it was told.
func TestMovedRecordExpires(t *testing.T) {
	owner, other := newTestControl(t, nil), newTestControl(t, nil)
	other.Self = instance("e2", 1, "a")
	from := once.Home{Zone: "a", ID: "e1", Incarnation: 1}
	owner.AnnounceAuthorityMoved(from, once.Home{Zone: "a", ID: "e2", Incarnation: 1})
	(<-owner.events)(epoch)
	rec, ok := owner.records.global.Get("e1", movedName(from))
	require.True(t, ok)
	require.True(t, json.Valid(rec.Value))

	late := epoch.Add(movedTTL - time.Minute)
	other.records.global.Put(late, rec)
	other.takeRecord(late, rec)
	for _, c := range []*Control{owner, other} {
		c.tickRecords(late)
		_, ok := c.records.global.Get("e1", movedName(from))
		require.True(t, ok, "one minute is left")
		c.tickRecords(epoch.Add(movedTTL))
		_, ok = c.records.global.Get("e1", movedName(from))
		require.False(t, ok)
	}
	require.Equal(t, owner.records.global.Digest(), other.records.global.Digest())
	require.False(t, other.records.global.Put(late, rec), "a late copy does not bring it back")
}

// A run that is replaced under the same id does not take its successor's
// configuration source with it.
func TestReplacedRunKeepsSource(t *testing.T) {
	c := newTestControl(t, nil)
	old, next := instance("e2", 1, "a"), instance("e2", 2, "a")
	next.Peer = "e2b:90"
	for _, in := range []membership.Instance{old, next} {
		c.serveExchange(epoch, heartbeatOf(t, in, 1, nil, nil))
		c.settleMembers(epoch)
	}
	c.members.ProbeResult(epoch, membership.ProbeResult{Kind: membership.Refused, Target: old.Identity, Zone: "a", Peer: old.Peer})
	c.settleMembers(epoch)
	require.True(t, c.isStranger(old.Identity))
	require.Equal(t, "e2b:90", c.config.addrs["e2"])
}

// A load record that comes before the record of its instance counts; if the
// instance never becomes known, it goes with the next sweep.
func TestLoadBeforeInstance(t *testing.T) {
	c := newTestControl(t, nil)
	early, never := instance("e2", 1, "a"), instance("x", 1, "a")
	for _, in := range []membership.Instance{early, never} {
		c.takeRecord(epoch, loadRecord(in, 1))
	}
	require.Len(t, c.steer.loads, 2)
	c.serveExchange(epoch, heartbeatOf(t, early, 1, nil, nil))
	c.settleMembers(epoch)
	c.tickRecords(epoch.Add(sweepPeriod))
	require.Len(t, c.steer.loads, 1)
	require.Contains(t, c.steer.loads, early.Identity)
}
