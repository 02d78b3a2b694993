package capacity

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// prefixOf returns block i of /24 blocks spread over the address space, no two
// alike.
func prefixOf(i int) netip.Prefix {
	a := uint32(i) * 5987 << 8
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8)}), 24)
}

func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i) }
func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// newEstate returns an estate of the size.
func newEstate(s Size) *estate.Estate {
	e := &estate.Estate{Name: "large", Version: 1, Shift: estate.ShiftPolicy{MaxShare: 0.05, ColdShare: 0.01, ColdTime: time.Minute}}
	for i := range s.Regions {
		e.Regions = append(e.Regions, estate.Region{Name: regionName(i), State: estate.Active})
		for to := range s.Regions {
			if to != i {
				e.Links = append(e.Links, estate.Link{From: regionName(i), To: regionName(to), MaxInFlight: 100_000, MaxRate: 500_000})
			}
		}
	}
	for i := range s.Zones {
		e.Zones = append(e.Zones, estate.Zone{Name: zoneName(i), Region: regionName(i % s.Regions), State: estate.Active})
	}
	for i := range s.Services {
		e.Services = append(e.Services, newService(s, i))
	}
	for i := range s.Sites {
		site := estate.Site{Name: fmt.Sprintf("site-%04d", i), Zone: zoneName(i % s.Zones), State: estate.Active, Weight: 1}
		e.Sites = append(e.Sites, site)
		for j := range s.SiteBackends {
			svc := &e.Services[j%s.Services]
			svc.Backends = append(svc.Backends, estate.Backend{
				Name: fmt.Sprintf("backend-%04d-%02d", i, j), Site: site.Name, Zone: site.Zone, State: estate.Active,
				Address: fmt.Sprintf("10.%d.%d.%d:80", i>>8, i&255, j), Slots: 4, MaxConnections: 400,
			})
		}
	}
	for i := range s.Blocks {
		e.Blocks = append(e.Blocks, estate.Block{Prefix: prefixOf(i), Region: regionName(i % s.Regions), Demand: float64(i % 40)})
	}
	slices.SortFunc(e.Blocks, func(a, b estate.Block) int { return a.Prefix.Addr().Compare(b.Prefix.Addr()) })
	return e
}

func newService(s Size, i int) estate.Service {
	svc := estate.Service{
		Name: fmt.Sprintf("service-%d", i), Weights: map[string]float64{}, LookupTTL: 3 * time.Second, Deadline: 2 * time.Second,
		MeanTime: 10 * time.Millisecond, MaxUtilisation: 0.8, KeyTTL: time.Minute, MaxBody: 1 << 20,
	}
	for z := range s.Zones {
		svc.Weights[zoneName(z)] = 1 / float64(s.Zones)
	}
	return svc
}

// newInstance returns the k-th instance of a zone.
func newInstance(zone, k int) membership.Instance {
	id := fmt.Sprintf("%s-%04d", zoneName(zone), k)
	host := fmt.Sprintf("10.%d.%d.%d", 100+zone, k>>8, k&255)
	return membership.Instance{
		Identity: membership.Identity{ID: id, Incarnation: 1_764_000_000_000_000_000 + uint64(k)}, Zone: zoneName(zone),
		Caller: host + ":7001", Peer: host + ":7002", Operator: host + ":7003", Sequence: 1,
	}
}

// newInstances returns n instances spread over zones.
func newInstances(n, zones int) []membership.Instance {
	out := make([]membership.Instance, n)
	for i := range out {
		out[i] = newInstance(i%zones, i/zones)
	}
	return out
}
