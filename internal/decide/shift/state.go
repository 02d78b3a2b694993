package shift

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/decide/proportion"
)

// State is the state of a ramp in the form that an instance publishes. An
// instance that has just started adopts it to continue the ramp.
type State struct {
	// At is when the shares were in force.
	At time.Time `json:"at"`
	// Services holds the state of each service's ramp.
	Services []ServiceState `json:"services"`
}

// ServiceState is the state of one service's ramp.
type ServiceState struct {
	Name string `json:"name"`
	// Cells lists the cells that have a share or a peak.
	Cells []CellState `json:"cells"`
	// Cold lists the zones that are cold.
	Cold []ColdZone `json:"cold,omitempty"`
}

// CellState is the share of one zone, or of the overflow, in an edge region's
// traffic.
type CellState struct {
	// Edge is the name of the edge region.
	Edge string `json:"edge"`
	// Zone is the name of the zone; it is empty for the overflow.
	Zone string `json:"zone,omitempty"`
	// Share is the share in force, as a multiple of 1/FullShare.
	Share placement.Rate `json:"share,omitempty"`
	// Peak is the largest share that callers may still use, if that is more
	// than Share.
	Peak placement.Rate `json:"peak,omitempty"`
}

// ColdZone is a zone that receives traffic with cold caches.
type ColdZone struct {
	Zone string `json:"zone"`
	// Until is when the zone stops being cold.
	Until time.Time `json:"until"`
}

// State returns the state after the last step.
func (r *Ramp) State() State {
	state := State{At: time.Unix(0, r.step*int64(StepInterval)).UTC()}
	for i := range r.services {
		state.Services = append(state.Services, r.serviceState(&r.services[i], state.At))
	}
	return state
}

// serviceState returns the state of one service's ramp.
func (r *Ramp) serviceState(s *service, at time.Time) ServiceState {
	out := ServiceState{Name: s.name}
	for e, edge := range r.plan.Input.Regions {
		for z, share := range s.shares.Row(e) {
			c := CellState{Edge: edge, Share: share}
			if z < s.shares.Zones {
				c.Zone = r.plan.Input.Zones[z].Name
			}
			if peak := s.peaks.zones.peak.Row(e)[z]; peak > share {
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

// MaxClockSkew is how far a neighbour's state may be ahead of this instance's
// clock.
const MaxClockSkew = time.Minute

// Adopt replaces the state of the ramp by a neighbour's state, if that is later
// than any state adopted before and at most MaxClockSkew ahead of now. It
// reports whether it did. It adopts states only before the first Tick: once an
// instance has done a step, its shares change by steps alone, so that no
// traffic moves abruptly.
func (r *Ramp) Adopt(now time.Time, state State) bool {
	if r.stepped || r.plan == nil || !state.At.After(r.adoptedAt) || state.At.After(now.Add(MaxClockSkew)) {
		return false
	}
	r.adoptedAt = state.At
	for i := range r.services {
		for k := range state.Services {
			if state.Services[k].Name == r.services[i].name {
				r.adoptService(i, &state.Services[k], now)
			}
		}
	}
	return true
}

// adoptService replaces the shares, peaks and cold zones of service i. It
// ignores cells with unknown names or shares out of range, and rows that add up
// to more than FullShare. A zone is cold for at most ColdTime from now.
func (r *Ramp) adoptService(i int, state *ServiceState, now time.Time) {
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
	for _, c := range state.Cells {
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
			s.distributeRemainder(e)
		}
	}
	s.peaks.restart(s.shares, peak)
	s.changed = true
	for _, c := range state.Cold {
		if z, ok := zones[c.Zone]; ok && z < len(s.zones) {
			s.zones[z].coldUntil = c.Until
			if latest := now.Add(r.settings.ColdTime); c.Until.After(latest) {
				s.zones[z].coldUntil = latest
			}
		}
	}
}
