package affinity

import "time"

const (
	// darkBackends is the number of backend servers of one availability zone that must have
	// been silent, with none that responded, for the zone to count as dark.
	darkBackends = 3
	// silenceMemory is the time after which the silence of a backend server no longer counts.
	silenceMemory = 3 * time.Second
	// darkTrialInterval is the time between two requests to a dark zone, which show when it is
	// back.
	darkTrialInterval = time.Second
)

// zone is what is known of the backend servers of one availability zone together: power and
// links fail for all of them at once, while to find that out one by one costs each request the
// time to open a connection.
type zone struct {
	// silent holds when a connection to a backend server was last not opened in time, by ID.
	silent map[string]time.Time
	// nextTrial is the earliest time of the next request while the zone is dark.
	nextTrial time.Time
}

// recordZone records what the end of a request shows about its availability zone.
func (b *Balancer) recordZone(c Choice, r Result, now time.Time) {
	name := c.Backend.Zone
	switch {
	case r.Silent:
		z := b.zones[name]
		if z == nil {
			z = &zone{silent: map[string]time.Time{}}
			b.zones[name] = z
		}
		z.silent[c.Backend.ID] = now
	case r.Outcome != Abandoned:
		delete(b.zones, name)
	}
}

// recordTrial records that a request is sent to an availability zone, which may be dark.
func (b *Balancer) recordTrial(name string, now time.Time) {
	if z := b.zones[name]; z != nil && z.dark(now) {
		z.nextTrial = now.Add(darkTrialInterval)
	}
}

// dark reports whether the backend servers of a zone do not respond.
func (z *zone) dark(now time.Time) bool {
	silent := 0
	for _, at := range z.silent {
		if now.Sub(at) <= silenceMemory {
			silent++
		}
	}
	return silent >= darkBackends
}

// avoidsZone reports whether an availability zone gets no request now because it is dark.
func (b *Balancer) avoidsZone(name string, now time.Time) bool {
	z := b.zones[name]
	return z != nil && now.Before(z.nextTrial) && z.dark(now)
}
