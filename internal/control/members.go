package control

import (
	"context"
	"maps"
	"time"

	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// maxDiscoveries is the maximum number of unknown instances of one platform
// list to which heartbeats are sent.
const maxDiscoveries = 3

// pollList starts a read of the platform's list, unless one is in progress.
// Only relays read it; an instance that knows no other instance is a relay.
func (c *Control) pollList() {
	if !c.isRelay() || c.listReadPending {
		return
	}
	c.listReadPending = true
	c.start(func(ctx context.Context) {
		list, err := c.Platform.Instances(ctx)
		c.recordPlatformResult(err)
		c.post(func(now time.Time) {
			c.listReadPending = false
			if err == nil {
				c.handlePlatformList(now, list)
			}
		})
	})
}

func (c *Control) isRelay() bool {
	return c.members.View().Zone(c.Self.Zone).IsRelay(c.Self.Identity)
}

// handlePlatformList applies the platform's list, and sends heartbeats to
// listed instances that are unknown.
func (c *Control) handlePlatformList(now time.Time, list []platform.Instance) {
	c.members.PlatformList(now, list)
	c.handleBackendList(now, list)
	discovered := 0
	for _, l := range list {
		if l.Kind != platform.KindEntry || l.ID == c.Self.ID || l.Peer == "" || discovered == maxDiscoveries || c.knowsPeer(l.Peer) {
			continue
		}
		discovered++
		c.discover(l.Peer)
	}
}

// knowsPeer reports whether an instance that is not gone has the given peer
// address.
func (c *Control) knowsPeer(addr string) bool {
	return c.anyNotGone(func(in membership.Instance) bool { return in.Peer == addr })
}

// mayBeRunning reports whether an incarnation of the instance may be alive.
func (c *Control) mayBeRunning(id string) bool {
	return c.anyNotGone(func(in membership.Instance) bool { return in.ID == id })
}

// anyNotGone reports whether match is true for any instance that is not gone.
func (c *Control) anyNotGone(match func(in membership.Instance) bool) bool {
	for _, z := range c.members.View().Zones {
		for _, in := range z.Instances {
			if in.State != membership.Gone && match(in) {
				return true
			}
		}
	}
	return false
}

// sendHeartbeats sends heartbeats to the targets of the membership machine. If
// there are none, it sends heartbeats to the configured neighbours to discover
// them.
func (c *Control) sendHeartbeats() {
	targets := c.members.HeartbeatTargets()
	for _, id := range targets {
		if in, ok := c.members.View().Instance(id); ok {
			c.exchange(in)
		}
	}
	if len(targets) > 0 {
		return
	}
	for _, addr := range c.Settings.Neighbours {
		if addr != c.Self.Peer {
			c.discover(addr)
		}
	}
}

// ReportUnreachable starts a probe of the instance at an address that could not
// be reached. Request handling calls it, so it never blocks: if the event queue
// is full, the report is dropped, and a later failure reports the address
// again.
func (c *Control) ReportUnreachable(addr string) {
	c.tryPost(func(time.Time) {
		for _, z := range c.members.View().Zones {
			for _, in := range z.Instances {
				if in.Peer == addr && in.State != membership.Gone {
					c.exchange(in)
				}
			}
		}
	})
}

// handleMembershipOutput performs the actions that the membership machine
// requests.
func (c *Control) handleMembershipOutput(now time.Time) {
	ready := c.members.Ready()
	for _, ch := range ready.Changes {
		c.dirty = true
		c.Log.Info().Str("about", ch.Instance.Identity.String()).Str("zone", ch.Instance.Zone).
			Str("from", ch.From.String()).Str("to", ch.Instance.State.String()).Str("cause", string(ch.Cause)).Msg("instance_state")
		if rec, err := instanceRecord(ch.Instance); err == nil {
			c.records.global.Put(now, rec)
		}
		if ch.Instance.State == membership.Gone {
			c.handleInstanceGone(now, ch.Instance)
		}
	}
	for _, p := range ready.Probes {
		c.probe(p)
	}
	if ready.Announce {
		c.records.global.Put(now, decodeRecord(c.selfRecord()))
		c.sendHeartbeats()
	}
	if ready.DeclaredGone {
		c.handleDeclaredGone()
	}
}

// handleInstanceGone deletes the state kept for an incarnation that is gone.
func (c *Control) handleInstanceGone(now time.Time, in membership.Instance) {
	c.records.forget(now, in.Identity)
	c.records.expire(c.records.global, in.ID, recordInstance, expiry{incarnation: in.Incarnation, at: now.Add(goneTTL), peer: in.Peer})
	delete(c.steer.loads, in.Identity)
	maps.DeleteFunc(c.health.listed, func(l listEntry, _ bool) bool { return l.reader == in.ID })
	c.Keeper.Step(once.HomeTerminated{Home: once.Home{Zone: in.Zone, ID: in.ID, Incarnation: in.Incarnation}})
	if !c.mayBeRunning(in.ID) {
		c.config.forget(publish.Source(in.ID))
	}
}
