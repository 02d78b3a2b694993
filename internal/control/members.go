package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// exchangeTimeout bounds one heartbeat with its reply.
const exchangeTimeout = time.Second

// joinPerTick is how many listed but unknown instances are greeted at once.
const joinPerTick = 3

// pollList reads the platform's list. Only relays read it, and an instance
// that knows nobody yet.
func (c *Control) pollList() {
	if !c.isRelay() {
		return
	}
	c.start(func(ctx context.Context) {
		list, err := c.Platform.Instances(ctx)
		c.platformCall(err)
		if err == nil {
			c.post(func(now time.Time) { c.takeList(now, list) })
		}
	})
}

func (c *Control) isRelay() bool {
	return c.members.View().Zone(c.Self.Zone).IsRelay(c.Self.Identity)
}

func (c *Control) takeList(now time.Time, list []platform.Instance) {
	c.members.List(now, list)
	c.takeBackendList(now, list)
	joined := 0
	for _, l := range list {
		if l.Kind != platform.KindEntry || l.ID == c.Self.ID || l.Peer == "" || joined == joinPerTick || c.knowsPeer(l.Peer) {
			continue
		}
		joined++
		c.exchange(l.Peer, nil)
	}
}

func (c *Control) knowsPeer(addr string) bool {
	for _, z := range c.members.View().Zones {
		for _, in := range z.Instances {
			if in.Peer == addr && in.State != membership.Gone {
				return true
			}
		}
	}
	return false
}

// sendHeartbeats exchanges records with the targets of the membership machine,
// or with the configured neighbours while nobody is known.
func (c *Control) sendHeartbeats() {
	targets := c.members.Targets()
	for _, id := range targets {
		if in, ok := c.members.View().Instance(id); ok {
			c.exchange(in.Peer, probeOf(in))
		}
	}
	if len(targets) == 0 {
		for _, addr := range c.Settings.Neighbours {
			if addr != c.Self.Peer {
				c.exchange(addr, nil)
			}
		}
	}
}

// probeOf makes an exchange with an instance tell about it: an address that
// refuses the connection shows at once that the process is dead.
func probeOf(in membership.Instance) *membership.Probe {
	return &membership.Probe{About: in.Identity, Zone: in.Zone, Peer: in.Peer}
}

// Suspect probes the instance at an address that could not be reached.
func (c *Control) Suspect(addr string) {
	c.post(func(time.Time) {
		for _, z := range c.members.View().Zones {
			for _, in := range z.Instances {
				if in.Peer == addr && in.State != membership.Gone {
					c.exchange(addr, probeOf(in))
				}
			}
		}
	})
}

// exchange sends this instance's records to an address and takes those of the
// reply. A non-nil probe gets the outcome as evidence.
func (c *Control) exchange(addr string, probe *membership.Probe) {
	call := &peerpb.Call{Call: &peerpb.Call_Exchange{Exchange: c.exchangeMessage()}}
	c.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		reply, body, err := c.Peers.Call(ctx, addr, call, nil)
		if err == nil {
			body.Close()
		}
		c.post(func(now time.Time) { c.exchanged(now, reply, err, probe) })
	})
}

func (c *Control) exchangeMessage() *peerpb.Exchange {
	return &peerpb.Exchange{
		From: c.identity(), Zone: c.Self.Zone,
		ConfigVersion: c.config.receiver.Version(), Self: c.selfRecord(), Records: c.records.list(),
		Region: c.links.region, OwnersVersion: c.owners.machine.Version(), LinksVersion: c.linkVersion(),
	}
}

func (c *Control) selfRecord() *peerpb.Record {
	rec, err := instanceRecord(c.members.Self())
	if err != nil {
		c.Log.Error().Err(err).Msg("own_record_failed")
	}
	return rec
}

func instanceRecord(in membership.Instance) (*peerpb.Record, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &peerpb.Record{
		Owner: in.ID, Name: recordInstance, Incarnation: in.Incarnation, Sequence: in.RecordSequence(), Value: data,
	}, nil
}

func (c *Control) exchanged(now time.Time, reply *peerpb.Reply, err error, probe *membership.Probe) {
	ex := reply.GetExchange()
	if err != nil || ex == nil {
		c.failedExchange(now, err, probe)
		return
	}
	if probe != nil {
		c.members.Evidence(now, membership.Evidence{
			Kind: membership.Answered, About: probe.About, Zone: probe.Zone, Peer: probe.Peer, Observed: identityOf(ex.From),
		})
	}
	c.takeExchange(now, ex.From, ex.ConfigVersion, ex.Self, ex.Records)
	c.hintRows(now, ex.Zone, ex.Region, ex.OwnersVersion, ex.LinksVersion)
}

func (c *Control) failedExchange(now time.Time, err error, probe *membership.Probe) {
	if probe == nil {
		return
	}
	kind := membership.TimedOut
	var cerr *peer.CallError
	if errors.As(err, &cerr) && cerr.Refused {
		kind = membership.Refused
	}
	c.members.Evidence(now, membership.Evidence{Kind: kind, About: probe.About, Zone: probe.Zone, Peer: probe.Peer})
}

func identityOf(p *peerpb.Identity) membership.Identity {
	return membership.Identity{ID: p.GetId(), Incarnation: p.GetIncarnation()}
}

// takeExchange merges what another instance sent of itself and of others.
func (c *Control) takeExchange(now time.Time, from *peerpb.Identity, version uint64, self *peerpb.Record, recs []*peerpb.Record) {
	if in, ok := decodeInstance(self); ok && in.Identity == identityOf(from) {
		c.members.Heartbeat(now, in)
		c.config.heard(publish.Source(in.ID), in.Peer, version)
	}
	var reports []membership.Instance
	for _, rec := range c.records.merge(append(recs, self)) {
		if rec.Name != recordInstance {
			c.takeSteering(now, rec)
		} else if in, ok := decodeInstance(rec); ok {
			reports = append(reports, in)
		}
	}
	c.members.Reports(now, reports)
}

func decodeInstance(rec *peerpb.Record) (membership.Instance, bool) {
	var in membership.Instance
	if rec == nil || rec.Name != recordInstance || json.Unmarshal(rec.Value, &in) != nil || in.ID != rec.Owner {
		return in, false
	}
	return in, true
}

// settleMembers carries out what the membership machine wants done.
func (c *Control) settleMembers(now time.Time) {
	ready := c.members.Ready()
	for _, ch := range ready.Changes {
		c.dirty = true
		c.Log.Info().Str("about", ch.Instance.Identity.String()).Str("zone", ch.Instance.Zone).
			Str("from", ch.From.String()).Str("to", ch.Instance.State.String()).Str("cause", string(ch.Cause)).Msg("instance_state")
		if rec, err := instanceRecord(ch.Instance); err == nil {
			c.records.merge([]*peerpb.Record{rec})
		}
		if ch.Instance.State == membership.Gone {
			c.instanceGone(ch.Instance)
		}
	}
	for _, p := range ready.Probes {
		c.exchange(p.Peer, &p)
	}
	if ready.Announce {
		c.records.merge([]*peerpb.Record{c.selfRecord()})
		c.sendHeartbeats()
	}
	if ready.Condemned {
		c.condemned()
	}
}

func (c *Control) instanceGone(in membership.Instance) {
	c.Keeper.Step(once.Gone{Home: once.Home{Zone: in.Zone, ID: in.ID, Incarnation: in.Incarnation}})
	c.config.receiver.Forget(publish.Source(in.ID))
}
