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

// joinPerTick is how many listed but unknown instances are greeted at once.
const joinPerTick = 3

// pollList reads the platform's list. Only relays read it, and an instance
// that knows nobody yet.
func (c *Control) pollList() {
	if !c.isRelay() || c.listing {
		return
	}
	c.listing = true
	c.start(func(ctx context.Context) {
		list, err := c.Platform.Instances(ctx)
		c.platformCall(err)
		c.post(func(now time.Time) {
			c.listing = false
			if err == nil {
				c.takeList(now, list)
			}
		})
	})
}

func (c *Control) isRelay() bool {
	return c.members.View().Zone(c.Self.Zone).IsRelay(c.Self.Identity)
}

func (c *Control) takeList(now time.Time, list []platform.Instance) {
	c.members.PlatformList(now, list)
	c.takeBackendList(now, list)
	joined := 0
	for _, l := range list {
		if l.Kind != platform.KindEntry || l.ID == c.Self.ID || l.Peer == "" || joined == joinPerTick || c.knowsPeer(l.Peer) {
			continue
		}
		joined++
		c.greet(l.Peer)
	}
}

func (c *Control) knowsPeer(addr string) bool {
	return c.anyInstance(func(in membership.Instance) bool { return in.Peer == addr })
}

// runs reports whether a run of the instance may be alive.
func (c *Control) runs(id string) bool {
	return c.anyInstance(func(in membership.Instance) bool { return in.ID == id })
}

// anyInstance reports whether want holds for an instance that may be alive.
func (c *Control) anyInstance(want func(in membership.Instance) bool) bool {
	for _, z := range c.members.View().Zones {
		for _, in := range z.Instances {
			if in.State != membership.Gone && want(in) {
				return true
			}
		}
	}
	return false
}

// sendHeartbeats exchanges records with the targets of the membership machine,
// or greets the configured neighbours while nobody is known.
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
			c.greet(addr)
		}
	}
}

// ReportUnreachable probes the instance at an address that could not be reached. Traffic
// calls it, so it never blocks: there is another failure if control has no time
// for this one.
func (c *Control) ReportUnreachable(addr string) {
	c.offer(func(time.Time) {
		for _, z := range c.members.View().Zones {
			for _, in := range z.Instances {
				if in.Peer == addr && in.State != membership.Gone {
					c.exchange(in)
				}
			}
		}
	})
}

// settleMembers carries out what the membership machine wants done.
func (c *Control) settleMembers(now time.Time) {
	ready := c.members.Ready()
	for _, ch := range ready.Changes {
		c.dirty = true
		c.Log.Info().Str("about", ch.Instance.Identity.String()).Str("zone", ch.Instance.Zone).
			Str("from", ch.From.String()).Str("to", ch.Instance.State.String()).Str("cause", string(ch.Cause)).Msg("instance_state")
		if rec, err := instanceRecord(ch.Instance); err == nil {
			c.records.global.Put(now, rec)
		}
		if ch.Instance.State == membership.Gone {
			c.instanceGone(now, ch.Instance)
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
		c.condemned()
	}
}

func (c *Control) instanceGone(now time.Time, in membership.Instance) {
	c.records.forget(now, in.Identity)
	c.records.expire(c.records.global, in.ID, recordInstance, expiry{incarnation: in.Incarnation, at: now.Add(goneTTL), peer: in.Peer})
	delete(c.steer.loads, in.Identity)
	maps.DeleteFunc(c.health.listed, func(l listing, _ bool) bool { return l.reader == in.ID })
	c.Keeper.Step(once.HomeTerminated{Home: once.Home{Zone: in.Zone, ID: in.ID, Incarnation: in.Incarnation}})
	if !c.runs(in.ID) {
		c.config.forget(publish.Source(in.ID))
	}
}
