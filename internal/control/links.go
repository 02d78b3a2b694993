package control

import "github.com/banyandeal/banyandeal/internal/links"

// applyLinks gives the gate this instance's rights: an equal part of each cap
// for every instance of the region.
func (c *Control) applyLinks(region string) {
	e := c.steer.estate
	if e == nil {
		return
	}
	holders := 0
	for _, z := range e.Zones {
		if z.Region == region {
			holders += len(c.members.View().Zone(z.Name).Instances)
		}
	}
	rights := map[string]links.Rights{}
	for _, l := range e.Links {
		if l.From == region && holders > 0 {
			rights[l.To] = links.Rights{InFlight: l.MaxInFlight / holders, Rate: l.MaxRate / float64(holders)}
		}
	}
	c.Links.Set(region, rights)
}
