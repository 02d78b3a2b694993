package admission

import "github.com/banyandeal/banyandeal/internal/edge/traffic"

// splitter distributes the requests of a route over its targets in proportion
// to their weights, by smooth weighted round robin.
type splitter struct{ credit map[string]float64 }

// next returns the service of the target whose turn it is. The target with the
// highest credit is chosen and pays the sum of all weights.
func (s *splitter) next(targets []traffic.Target) string {
	total, best := 0.0, ""
	for _, t := range targets {
		total += t.Weight
		s.credit[t.Service] += t.Weight
		if best == "" || s.credit[t.Service] > s.credit[best] {
			best = t.Service
		}
	}
	s.credit[best] -= total
	return best
}

// pickService returns the target service for the next request of the route.
func (s *routeState) pickService(r *traffic.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	return s.split.next(r.Targets)
}
