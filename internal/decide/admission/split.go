package admission

import "github.com/banyandeal/banyandeal/internal/edge/traffic"

// splitter spreads the requests of a route over its targets in the proportion
// of their weights.
type splitter struct{ credit map[string]float64 }

func (s *splitter) draw(targets []traffic.Target) string {
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

// target draws the service of a request.
func (s *routeState) target(r *traffic.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	return s.split.draw(r.Targets)
}
