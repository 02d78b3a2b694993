package control

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/operator"
)

// Headroom is the spare capacity of each zone and link, and the durations of
// drains. It is part of the metrics of this instance.
type Headroom struct {
	Services []operator.ServiceStatus `json:"services"`
	Links    []operator.LinkStatus    `json:"links"`
	Drains   []operator.DrainStatus   `json:"drains"`
}

// Headroom returns the headroom as this instance knows it. It is empty before a
// configuration is active.
func (c *Control) Headroom() Headroom {
	h, _ := runSync(c.ctx, c, func(time.Time) Headroom {
		h := Headroom{Drains: c.drains.status()}
		if e := c.steer.estate; e != nil {
			z, _ := e.ZoneOf(c.Self.Zone)
			h.Services, h.Links = c.serviceStatus(), c.linkStatus(z.Region)
		}
		return h
	})
	return h
}
