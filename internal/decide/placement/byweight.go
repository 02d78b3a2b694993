package placement

import "github.com/banyandeal/banyandeal/internal/decide/proportion"

// ComputeByWeight is the baseline that Compute is compared with. It divides
// each edge region's demand among all zones by their weights, regardless of
// distance and of the capacities of zones and links. It fails with a *SizeError
// if the input has more than MaxZones zones.
func ComputeByWeight(in Input) (*Plan, error) {
	if len(in.Zones) > MaxZones {
		return nil, &SizeError{Zones: len(in.Zones)}
	}
	p := &Plan{Input: in}
	for i := range in.Services {
		s := &in.Services[i]
		sp := ServicePlan{Name: s.Name, Flow: NewMatrix(len(in.Regions), len(in.Zones)), FailoverWeights: NewMatrix(len(in.Regions), len(in.Zones))}
		weights, limits := make([]Rate, len(in.Zones)), make([]Rate, len(in.Zones))
		for z, w := range s.Weight {
			weights[z] = Rate(w)
			if w > 0 {
				limits[z] = Unlimited
			}
		}
		for e, d := range s.Demand {
			row := sp.Flow.Row(e)
			copy(row, proportion.Divide(max(d, nominalDemand), weights, limits))
			row[len(in.Zones)] = max(d, nominalDemand) - proportion.Sum(row)
		}
		p.Services = append(p.Services, sp)
	}
	return p, nil
}
