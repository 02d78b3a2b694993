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
	// sweepPeriod is the period at which old records are looked for.
	sweepPeriod = time.Minute
	// movedTTL is how long it is told where a home's authority went. It exceeds
	// the longest time that a key is valid, and tells late hearers as well.
	movedTTL = 90 * time.Minute
	// goneTTL is how long the record of a dead incarnation is kept. One that was
	// paused for less learns from it that others hold it for dead.
	goneTTL = 24 * time.Hour
)

// expiries holds when records of others' making are deleted. Every instance
// that has such a record deletes it the same way, so that replicas stay equal.
type expiries map[expiryKey]expiry

type expiryKey struct {
	set         *refresh.Set
	owner, name string
}

type expiry struct {
	incarnation uint64
	at          time.Time
	// peer is the address of a dead instance, or empty.
	peer string
}

// expire has the record of one incarnation deleted at a time.
func (r *records) expire(set *refresh.Set, owner, name string, e expiry) {
	k := expiryKey{set, owner, name}
	if old, ok := r.expiries[k]; !ok || old.incarnation <= e.incarnation {
		r.expiries[k] = e
	}
}

// sweep deletes the records that are due and drops old tombstones. It returns
// the addresses of instances that were dead for long.
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

// delete replaces a record of one incarnation by a tombstone.
func (r *records) delete(now time.Time, set *refresh.Set, owner, name string, incarnation uint64) {
	if rec, ok := set.Get(owner, name); ok && rec.Incarnation == incarnation {
		rec.Sequence, rec.Deleted, rec.Value = rec.Sequence+1, true, nil
		set.Put(now, rec)
	}
}

// tickRecords lets old records go, and the sessions to addresses that nobody
// uses any more.
func (c *Control) tickRecords(now time.Time) {
	if !due(&c.timers.sweep, now, sweepPeriod) {
		return
	}
	maps.DeleteFunc(c.steer.loads, func(id membership.Identity, _ map[string]load.Report) bool { return c.isStranger(id) })
	for _, addr := range c.records.sweep(now) {
		if !c.knowsPeer(addr) {
			c.start(func(context.Context) { c.Peers.CloseSession(addr) })
		}
	}
}

// isGone reports whether an incarnation is known to be dead.
func (c *Control) isGone(id membership.Identity) bool {
	in, ok := c.members.View().Instance(id)
	return ok && in.State == membership.Gone
}

// isStranger reports whether an incarnation is unknown or dead: nothing is kept
// for it.
func (c *Control) isStranger(id membership.Identity) bool {
	in, ok := c.members.View().Instance(id)
	return !ok || in.State == membership.Gone
}
