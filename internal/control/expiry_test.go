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

// Instances that are gone must not leak memory, even if they keep sending
// heartbeats: only the record that they are gone is kept, for goneTTL.
func TestStateOfGoneInstancesIsBounded(t *testing.T) {
	c := newTestControl(t, nil)
	now := epoch
	const runs = 20
	reporter := instance("e2", 1, "a")
	for i := range runs {
		now = now.Add(time.Second)
		in := instance(fmt.Sprintf("x%d", i), 1, "a")
		c.serveExchange(now, heartbeatOf(t, in, 1, nil, []refresh.Record{loadRecord(in, 1)}))
		c.handleMembershipOutput(now)
		c.serveExchange(now, heartbeatOf(t, reporter, 1, []refresh.Record{goneRecord(t, in)}, nil))
		c.handleMembershipOutput(now)
		c.serveExchange(now, heartbeatOf(t, in, 1, nil, []refresh.Record{loadRecord(in, 9)}))
		c.handleMembershipOutput(now)
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
	c.tickRecords(now.Add(refresh.DefaultTombstoneTTL + sweepInterval))
	require.Equal(t, 2, c.records.global.Len(), "e1 and e2")
}

// The record of a moved authority is deleted after movedTTL, by its owner and
// by every instance that received it. The replicas stay equal, and a late copy
// of the record is not accepted.
func TestMovedRecordExpires(t *testing.T) {
	owner, other := newTestControl(t, nil), newTestControl(t, nil)
	other.Self = instance("e2", 1, "a")
	from := once.Home{Zone: "a", ID: "e1", Incarnation: 1}
	owner.AnnounceAuthorityMoved(from, once.Home{Zone: "a", ID: "e2", Incarnation: 1})
	(<-owner.events)(epoch)
	rec, ok := owner.records.global.Get("e1", movedRecordName(from))
	require.True(t, ok)
	require.True(t, json.Valid(rec.Value))

	late := epoch.Add(movedTTL - time.Minute)
	other.records.global.Put(late, rec)
	other.handleRecord(late, rec)
	for _, c := range []*Control{owner, other} {
		c.tickRecords(late)
		_, ok := c.records.global.Get("e1", movedRecordName(from))
		require.True(t, ok, "the record expires in one minute")
		c.tickRecords(epoch.Add(movedTTL))
		_, ok = c.records.global.Get("e1", movedRecordName(from))
		require.False(t, ok)
	}
	require.Equal(t, owner.records.global.Digest(), other.records.global.Digest())
	require.False(t, other.records.global.Put(late, rec), "a late copy must not replace the tombstone")
}

// When an incarnation is replaced by another of the same ID and then found to
// be gone, its successor must stay a configuration source.
func TestReplacedIncarnationKeepsConfigSource(t *testing.T) {
	c := newTestControl(t, nil)
	old, next := instance("e2", 1, "a"), instance("e2", 2, "a")
	next.Peer = "e2b:90"
	for _, in := range []membership.Instance{old, next} {
		c.serveExchange(epoch, heartbeatOf(t, in, 1, nil, nil))
		c.handleMembershipOutput(epoch)
	}
	c.members.ProbeResult(epoch, membership.ProbeResult{Kind: membership.Refused, Target: old.Identity, Zone: "a", Peer: old.Peer})
	c.handleMembershipOutput(epoch)
	require.True(t, c.isUnknownOrGone(old.Identity))
	require.Equal(t, "e2b:90", c.config.addrs["e2"])
}

// A load record that arrives before the record of its instance is used. If the
// instance does not become known, the next sweep deletes the load.
func TestLoadRecordBeforeInstanceRecord(t *testing.T) {
	c := newTestControl(t, nil)
	early, never := instance("e2", 1, "a"), instance("x", 1, "a")
	for _, in := range []membership.Instance{early, never} {
		c.handleRecord(epoch, loadRecord(in, 1))
	}
	require.Len(t, c.steer.loads, 2)
	c.serveExchange(epoch, heartbeatOf(t, early, 1, nil, nil))
	c.handleMembershipOutput(epoch)
	c.tickRecords(epoch.Add(sweepInterval))
	require.Len(t, c.steer.loads, 1)
	require.Contains(t, c.steer.loads, early.Identity)
}
