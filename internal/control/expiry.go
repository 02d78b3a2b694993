package control

import (
	"context"
	"maps"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
)

const (
	// sweepInterval is the interval between searches for expired records.
	sweepInterval = time.Minute
	// movedTTL is how long a record of moved authority is kept. It exceeds the
	// longest validity of a key, and leaves time for instances that receive the
	// record late.
	movedTTL = 90 * time.Minute
	// goneTTL is how long the record of an incarnation that is gone is kept. An
	// incarnation that was paused for less than this learns from it that other
	// instances have declared it gone.
	goneTTL = 24 * time.Hour
)

// expiries holds the times at which records of other owners are deleted. Every
// instance that has such a record deletes it in the same way, so that the
// replicas stay equal.
type expiries map[expiryKey]expiry

// expiryKey identifies a record in a record set.
type expiryKey struct {
	set         *refresh.Set
	owner, name string
}

// expiry is when the record of one incarnation is deleted.
type expiry struct {
	incarnation uint64
	at          time.Time
	// peer is the peer address of an instance that is gone, or empty.
	peer string
}

// expire schedules the deletion of the record of one incarnation. It replaces
// an existing schedule unless that is for a later incarnation.
func (r *records) expire(set *refresh.Set, owner, name string, e expiry) {
	k := expiryKey{set, owner, name}
	if old, ok := r.expiries[k]; !ok || old.incarnation <= e.incarnation {
		r.expiries[k] = e
	}
}

// sweep deletes the records that have expired and removes old tombstones. It
// returns the peer addresses of the instances whose records were deleted.
func (r *records) sweep(now time.Time) (peers []string) {
	for k, e := range r.expiries {
		if now.Before(e.at) {
			continue
		}
		delete(r.expiries, k)
		r.delete(now, k.set, k.owner, k.name, e.incarnation)
		if e.peer != "" {
			peers = append(peers, e.peer)
		}
	}
	r.global.Expire(now)
	r.local.Expire(now)
	return peers
}

// delete replaces a record by a tombstone, if it is from the given incarnation.
func (r *records) delete(now time.Time, set *refresh.Set, owner, name string, incarnation uint64) {
	if rec, ok := set.Get(owner, name); ok && rec.Incarnation == incarnation {
		rec.Sequence, rec.Deleted, rec.Value = rec.Sequence+1, true, nil
		set.Put(now, rec)
	}
}

// tickRecords deletes expired records and loads of unknown instances, and
// closes the sessions to addresses that no instance uses any more.
func (c *Control) tickRecords(now time.Time) {
	if !due(&c.timers.sweep, now, sweepInterval) {
		return
	}
	maps.DeleteFunc(c.steer.loads, func(id membership.Identity, _ map[string]load.Report) bool { return c.isUnknownOrGone(id) })
	for _, addr := range c.records.sweep(now) {
		if !c.knowsPeer(addr) {
			c.start(func(context.Context) { c.Peers.CloseSession(addr) })
		}
	}
}

// isGone reports whether an incarnation is known to be gone.
func (c *Control) isGone(id membership.Identity) bool {
	in, ok := c.members.View().Instance(id)
	return ok && in.State == membership.Gone
}

// isUnknownOrGone reports whether an incarnation is unknown or gone. No state
// is kept for such an incarnation.
func (c *Control) isUnknownOrGone(id membership.Identity) bool {
	in, ok := c.members.View().Instance(id)
	return !ok || in.State == membership.Gone
}
