package control

import (
	"context"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/shift"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/pool"
)

// statusTimeout is the maximum time that an operator's request waits for the
// control goroutine.
const statusTimeout = time.Second

// Status returns the state of this instance for operators. It is the zero
// Status if the control goroutine does not respond within statusTimeout.
func (c *Control) Status() operator.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, _ := runSync(ctx, c, func(time.Time) operator.Status { return c.status() })
	return s
}

func (c *Control) status() operator.Status {
	s := operator.Status{
		Instance: c.Self.ID, Incarnation: c.Self.Incarnation, Zone: c.Self.Zone, Started: c.started,
		Leaving: c.leaving != nil, PlatformUp: c.platformUp.Load(), InForceSince: c.config.activeSince,
		Latency: c.Metrics.Latencies(), Instances: c.instanceStatus(), Drains: c.drains.status(),
	}
	if e := c.steer.estate; e != nil {
		s.Estate, s.Version, s.Ready = e.Name, e.Version, true
		z, _ := e.ZoneOf(c.Self.Zone)
		s.Region = z.Region
		s.Services, s.Links, s.Backends = c.serviceStatus(), c.linkStatus(s.Region), c.backendStatus()
	}
	return s
}

func (c *Control) instanceStatus() []operator.InstanceStatus {
	var out []operator.InstanceStatus
	for _, z := range c.members.View().Zones {
		for _, in := range z.Instances {
			out = append(out, operator.InstanceStatus{
				ID: in.ID, Incarnation: in.Incarnation, Zone: in.Zone, State: in.State.String(),
				Operator: in.Operator, Relay: z.IsRelay(in.Identity),
			})
		}
	}
	return out
}

func (c *Control) serviceStatus() []operator.ServiceStatus {
	if c.steer.plan == nil {
		return nil // the placement failed
	}
	var out []operator.ServiceStatus
	for i, sp := range c.steer.plan.Services {
		st := operator.ServiceStatus{Name: sp.Name}
		now, total := sumByZone(flowOf(c.ramp.ramp.Shares(i), sp.Flow))
		target, _ := sumByZone(sp.Flow)
		for zi, z := range c.steer.plan.Input.Zones {
			st.Zones = append(st.Zones, operator.ServiceZoneStatus{
				Zone: z.Name, Weight: share(now[zi], total), Target: share(target[zi], total),
				Slots: c.steer.slots[z.Name][sp.Name], Free: c.zoneFree(sp.Name, z.Name),
			})
		}
		st.Overflow = share(now[len(now)-1], total)
		out = append(out, st)
	}
	return out
}

// flowOf converts current shares to flows. The demand of each edge region is
// the sum of its row in target.
func flowOf(shares, target placement.Matrix) placement.Matrix {
	out := shares.Clone()
	for e := range out.Edges {
		var demand placement.Rate
		for _, v := range target.Row(e) {
			demand += v
		}
		for z, v := range shares.Row(e) {
			out.Row(e)[z] = placement.Rate(float64(v) / float64(shift.FullShare) * float64(demand))
		}
	}
	return out
}

// sumByZone returns the column sums of a matrix, by zone with the overflow
// last, and their total.
func sumByZone(m placement.Matrix) (sums []placement.Rate, total placement.Rate) {
	sums = make([]placement.Rate, m.Zones+1)
	for e := range m.Edges {
		for z, v := range m.Row(e) {
			sums[z] += v
			total += v
		}
	}
	return sums, total
}

// share returns part/total, or 0 if total is 0.
func share(part, total placement.Rate) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// zoneFree returns the number of free slots of a service in a zone.
func (c *Control) zoneFree(service, zone string) int {
	rep, _ := c.zoneLoad(zone, service)
	return rep.Slots - int(rep.Busy/load.Slot)
}

func (c *Control) linkStatus(region string) []operator.LinkStatus {
	caps := map[string]estate.Link{}
	var to []string
	for _, l := range c.steer.estate.Links {
		if l.From == region {
			caps[l.To] = l
			to = append(to, l.To)
		}
	}
	var out []operator.LinkStatus
	for _, u := range c.Links.Usage(to) {
		out = append(out, operator.LinkStatus{
			From: region, To: u.To, MaxInFlight: caps[u.To].MaxInFlight, MaxRate: caps[u.To].MaxRate,
			RightsInFlight: int(u.Rights.InFlight), RightsRate: float64(u.Rights.Rate),
			InFlight: int(u.Used.InFlight), Peak: int(u.Peak),
		})
	}
	return out
}

func (c *Control) backendStatus() []operator.BackendStatus {
	usage := map[string]pool.Usage{}
	for _, u := range c.Pool.Usage() {
		usage[u.Name] = u
	}
	var out []operator.BackendStatus
	c.eachZoneBackend(func(s *estate.Service, b estate.Backend) {
		st := operator.BackendStatus{Name: b.Name, Service: s.Name, Site: b.Site, Slots: b.Slots}
		if a, ok := c.owners.machine.OwnerOf(b.Name); ok {
			st.Owner = a.Owner.ID
		}
		if u, ok := usage[b.Name]; ok {
			st.InFlight, st.Peak, st.State = u.InFlight, u.Peak, c.health.machine.State(b.Name).String()
		}
		out = append(out, st)
	})
	return out
}
