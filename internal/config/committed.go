package config

import (
	"math"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// load is a region's declared demand and the capacity of its backend servers
// that take work, both in requests per second over all services.
type load struct {
	demand, capacity float64
}

// excess is what the region cannot carry itself, spare what it has left.
func (l load) excess() float64 { return math.Max(0, l.demand-l.capacity) }
func (l load) spare() float64  { return math.Max(0, l.capacity-l.demand) }

// checkCommitted finds regions whose demand has no way to a region that can
// carry it. It bounds each region by itself: a pass is necessary for a
// placement under all caps, and not sufficient.
func (c *collector) checkCommitted(e *estate.Estate) {
	loads, fastest := regionLoads(e)
	var demand, capacity float64
	for _, r := range e.Regions {
		demand += loads[r.Name].demand
		capacity += loads[r.Name].capacity
	}
	if demand > capacity {
		c.fault(KindOvercommitted, c.at("services"), "add backend servers or slots, fill what drains, or lower the demand of the blocks",
			"the blocks need %.6g requests/s and the backend servers that take work carry %.6g/s", demand, capacity)
		return
	}
	for _, r := range e.Regions {
		excess := loads[r.Name].excess()
		out := 0.0
		for _, l := range e.Links {
			if l.From == r.Name {
				out += math.Min(linkRate(l, fastest), loads[l.To].spare())
			}
		}
		if excess > out*(1+weightTolerance) {
			c.fault(KindOvercommitted, c.at("links"), "raise max_rate or max_in_flight of the links from "+r.Name+", add backend servers there, or lower its demand",
				"region %s must send %.6g requests/s to other regions and its links and their spare capacity take %.6g/s", r.Name, excess, out)
		}
	}
}

// linkRate is the most requests per second that a link's caps let through when
// each is in flight for mean seconds.
func linkRate(l estate.Link, mean float64) float64 {
	return math.Min(l.MaxRate, float64(l.MaxInFlight)/mean)
}

// regionLoads returns the load of each region and the shortest mean time of a
// service in seconds.
func regionLoads(e *estate.Estate) (map[string]load, float64) {
	loads := make(map[string]load, len(e.Regions))
	for _, b := range e.Blocks {
		l := loads[b.Region]
		l.demand += b.Demand
		loads[b.Region] = l
	}
	fastest := math.Inf(1)
	for i := range e.Services {
		s := &e.Services[i]
		fastest = math.Min(fastest, s.MeanTime.Seconds())
		for _, b := range s.Backends {
			if e.BackendDraining(b) {
				continue
			}
			zone, _ := e.ZoneOf(b.Zone)
			l := loads[zone.Region]
			site, _ := e.SiteOf(b.Site)
			l.capacity += BackendRate(s, b) * site.Weight
			loads[zone.Region] = l
		}
	}
	return loads, fastest
}

// BackendRate is the requests per second that placement may plan on for one
// backend server.
func BackendRate(s *estate.Service, b estate.Backend) float64 {
	return float64(b.Slots) * s.MaxUtilisation / s.MeanTime.Seconds()
}
