package shift

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/proportion"
)

// State is the state of a ramp, for an instance that takes the place of
// another.
type State struct {
	// At is when the shares were in force.
	At       time.Time         `json:"at"`
	Services []ServiceState `json:"services"`
}

// ServiceState is the state of one service's ramp.
type ServiceState struct {
	Name  string         `json:"name"`
	Cells []CellState `json:"cells"`
	Cold  []ColdZone     `json:"cold,omitempty"`
}

// CellState is the share of a zone in an edge region's traffic, of Unit.
// Cells without one are left out.
type CellState struct {
	Edge string `json:"edge"`
	// Zone is empty for the overflow.
	Zone  string         `json:"zone,omitempty"`
	Share placement.Rate `json:"share,omitempty"`
	// Peak is the most that callers may still go by, if that is more.
	Peak placement.Rate `json:"peak,omitempty"`
}

// ColdZone is a zone that fills with cold caches.
type ColdZone struct {
	Zone  string    `json:"zone"`
	Until time.Time `json:"until"`
}

// State returns the state at the last step.
func (r *Ramp) State() State {
	p := State{At: time.Unix(0, r.slot*int64(StepInterval)).UTC()}
	for i := range r.services {
		p.Services = append(p.Services, r.servicePosition(&r.services[i], p.At))
	}
	return p
}

func (r *Ramp) servicePosition(s *service, at time.Time) ServiceState {
	out := ServiceState{Name: s.name}
	for e, edge := range r.plan.Input.Regions {
		for z, share := range s.shares.Row(e) {
			c := CellState{Edge: edge, Share: share}
			if z < s.shares.Zones {
				c.Zone = r.plan.Input.Zones[z].Name
			}
			if peak := s.recent.zones.peak.Row(e)[z]; peak > share {
				c.Peak = peak
			}
			if c.Share > 0 || c.Peak > 0 {
				out.Cells = append(out.Cells, c)
			}
		}
	}
	for z := range s.zones {
		if until := s.zones[z].coldUntil; until.After(at) {
			out.Cold = append(out.Cold, ColdZone{r.plan.Input.Zones[z].Name, until.UTC()})
		}
	}
	return out
}

// MaxClockSkew is how far in the future a neighbour's position may be by this
// instance's clock.
const MaxClockSkew = time.Minute

// Adopt takes a neighbour's position over, if it is further in time than any
// taken before, and reports whether it did. It does so only before the first
// Tick: an instance that has answered look-ups by its own shares goes on by
// steps, so that nothing jumps.
func (r *Ramp) Adopt(now time.Time, p State) bool {
	if r.anchored || r.plan == nil || !p.At.After(r.adopted) || p.At.After(now.Add(MaxClockSkew)) {
		return false
	}
	r.adopted = p.At
	for i := range r.services {
		for k := range p.Services {
			if p.Services[k].Name == r.services[i].name {
				r.adoptService(i, &p.Services[k], now)
			}
		}
	}
	return true
}

func (r *Ramp) adoptService(i int, p *ServiceState, now time.Time) {
	s := &r.services[i]
	s.shares = s.shares.Clone()
	zones, edges := map[string]int{"": s.shares.Zones}, map[string]int{}
	for z := range r.plan.Input.Zones {
		zones[r.plan.Input.Zones[z].Name] = z
	}
	for e, name := range r.plan.Input.Regions {
		edges[name] = e
	}
	shares := placement.NewMatrix(s.shares.Edges, s.shares.Zones)
	peak := shares.Clone()
	for _, c := range p.Cells {
		e, okEdge := edges[c.Edge]
		z, okZone := zones[c.Zone]
		if okEdge && okZone && c.Share >= 0 && c.Share <= FullShare {
			shares.Row(e)[z] = c.Share
			peak.Row(e)[z] = min(max(c.Share, c.Peak), FullShare)
		}
	}
	for e := range s.demand {
		if sum := proportion.Sum(shares.Row(e)); sum > 0 && sum <= FullShare {
			copy(s.shares.Row(e), shares.Row(e))
			s.complete(e)
		}
	}
	s.recent.restart(s.shares, peak)
	s.changed = true
	for _, c := range p.Cold {
		if z, ok := zones[c.Zone]; ok && z < len(s.zones) {
			s.zones[z].coldUntil = c.Until
			if latest := now.Add(r.set.ColdTime); c.Until.After(latest) {
				s.zones[z].coldUntil = latest
			}
		}
	}
}
