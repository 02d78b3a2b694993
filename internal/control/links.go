package control

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// linkState is this instance's state for the caps of its region's links.
type linkState struct {
	// region is this instance's region. It is empty until a configuration is
	// active.
	region string
	// view is the membership view that was last passed to the link machine. It
	// is nil if the members must be passed again.
	view *membership.View
}

// updateLinkCaps passes the configured caps of the region's links to the link
// machine. It creates the machine when the region becomes known or changes.
func (c *Control) updateLinkCaps(now time.Time) {
	e := c.steer.estate
	z, ok := e.ZoneOf(c.Self.Zone)
	if !ok {
		return
	}
	if c.links.region != z.Region {
		c.links.region = z.Region
		c.Links.SetMachine(z.Region, linkcap.New(linkcap.Config{Self: c.Self.Identity, Peer: c.Self.Peer, Region: z.Region}, now))
	}
	// The configuration may have changed the zones of the region, so the
	// members are passed again at the next tick.
	c.links.view = nil
	caps := map[string]linkcap.Rights{}
	for _, l := range e.Links {
		if l.From == z.Region {
			caps[l.To] = linkcap.Rights{InFlight: int64(l.MaxInFlight), Rate: int64(l.MaxRate)}
		}
	}
	var maxRequestTime time.Duration
	for i := range e.Services {
		maxRequestTime = max(maxRequestTime, e.Services[i].Deadline)
	}
	c.Links.WithMachine(func(m *linkcap.Machine) { m.SetCaps(now, caps, maxRequestTime) })
}

func (c *Control) tickLinks(now time.Time) {
	v := c.members.View()
	changed := v != c.links.view
	c.links.view = v
	c.Links.WithMachine(func(m *linkcap.Machine) {
		if changed {
			m.SetMembers(now, c.regionMembers())
		}
		m.Tick(now)
	})
}

// regionMembers returns the instances of all zones of the region.
func (c *Control) regionMembers() []membership.Instance {
	var out []membership.Instance
	for _, z := range c.steer.estate.Zones {
		if z.Region == c.links.region {
			out = append(out, c.members.View().Zone(z.Name).Instances...)
		}
	}
	return out
}

// handleLinkOutput performs the actions that the link machine requests.
func (c *Control) handleLinkOutput() {
	var ready linkcap.Ready
	c.Links.WithMachine(func(m *linkcap.Machine) { ready = m.Ready() })
	if ready.Read {
		c.readLinks()
	}
	if ready.Write != nil {
		c.writeLinks(*ready.Write)
	}
	for _, t := range ready.Transfers {
		c.transferRights(t)
	}
	for _, w := range ready.RightsRequests {
		if addr, ok := c.peerAddress(w.To); ok {
			c.sendOneWay(addr, &peerpb.Call{Call: &peerpb.Call_RightsWanted{RightsWanted: &peerpb.RightsWanted{
				From: c.identity(), Link: w.Link, InFlight: w.InFlight, Rate: w.Rate,
			}}})
		}
	}
	for _, p := range ready.Probes {
		c.probe(p)
	}
	if ready.RightsLost {
		c.Log.Error().Msg("link_rights_lost")
	}
}

// peerAddress returns the peer address of an instance. ok is false if the
// instance or its address is unknown.
func (c *Control) peerAddress(id membership.Identity) (addr string, ok bool) {
	in, ok := c.members.View().Instance(id)
	return in.Peer, ok && in.Peer != ""
}

func (c *Control) readLinks() {
	name := linkcap.RowPrefix + c.links.region
	c.start(func(ctx context.Context) {
		row, err := readRow(ctx, c.Platform, name)
		c.recordPlatformResult(err)
		c.post(func(now time.Time) {
			c.applyLinkRow(func(m *linkcap.Machine) error {
				if err != nil {
					m.ReadFailed(now)
					return nil
				}
				return m.Row(now, row)
			})
		})
	})
}

func (c *Control) writeLinks(txn platform.Txn) {
	c.start(func(ctx context.Context) {
		reply, err := commit(ctx, c.Platform, txn)
		c.recordPlatformResult(err)
		c.post(func(now time.Time) {
			c.applyLinkRow(func(m *linkcap.Machine) error {
				if err != nil {
					m.WriteFailed(now, txn.ID)
					return nil
				}
				return m.WriteReplied(now, txn.ID, reply)
			})
		})
	})
}

// applyLinkRow passes the result of a read or write of the links row to the
// link machine. An error is logged only after the lock, which request handling
// also takes, is released.
func (c *Control) applyLinkRow(f func(m *linkcap.Machine) error) {
	var err error
	c.Links.WithMachine(func(m *linkcap.Machine) { err = f(m) })
	c.logError("links_row_unusable", err)
}

// transferRights sends rights to another instance. The link machine has lowered
// its own rights before, so if the message is lost the rights are unused until
// it is sent again, but never held twice.
func (c *Control) transferRights(t linkcap.Transfer) {
	addr, ok := c.peerAddress(t.To)
	if !ok {
		return
	}
	call := &peerpb.Call{Call: &peerpb.Call_RightsTransfer{RightsTransfer: &peerpb.RightsTransfer{
		From: c.identity(), To: &peerpb.Identity{Id: t.To.ID, Incarnation: t.To.Incarnation},
		Link: t.Link, InFlight: t.Total.InFlight, Rate: t.Total.Rate,
	}}}
	c.start(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		reply, body, err := c.Peers.Call(ctx, addr, call, nil)
		if err != nil {
			return
		}
		body.Close()
		if reply.GetAck().GetAccepted() {
			c.post(func(time.Time) { c.Links.WithMachine(func(m *linkcap.Machine) { m.TransferAcked(t) }) })
		}
	})
}

// serveRightsTransfer handles rights that another instance sends. It accepts
// them only if they are addressed to this incarnation.
func (c *Control) serveRightsTransfer(t *peerpb.RightsTransfer) *peerpb.Reply {
	accepted := false
	if identityOf(t.To) == c.Self.Identity {
		c.Links.WithMachine(func(m *linkcap.Machine) {
			accepted = m.TransferReceived(time.Now(), identityOf(t.From), t.Link, linkcap.Rights{InFlight: t.InFlight, Rate: t.Rate})
		})
	}
	return ack(accepted, nil)
}

// serveRightsWanted handles another instance's request for rights.
func (c *Control) serveRightsWanted(w *peerpb.RightsWanted) *peerpb.Reply {
	c.Links.WithMachine(func(m *linkcap.Machine) {
		m.RightsRequested(time.Now(), identityOf(w.From), w.Link, linkcap.Rights{InFlight: w.InFlight, Rate: w.Rate})
	})
	return ack(true, nil)
}

// linkVersion returns the version of the region's links row, for heartbeats.
func (c *Control) linkVersion() (v uint64) {
	c.Links.WithMachine(func(m *linkcap.Machine) { v = m.Version() })
	return v
}

// recordRowVersions passes on the row versions that another instance reports,
// so that the machines read a row again if it is newer.
func (c *Control) recordRowVersions(now time.Time, zone, region string, owners, links uint64) {
	if zone == c.Self.Zone {
		c.owners.machine.Hint(now, owners)
	}
	if region != "" && region == c.links.region {
		c.Links.WithMachine(func(m *linkcap.Machine) { m.Hint(now, links) })
	}
}
