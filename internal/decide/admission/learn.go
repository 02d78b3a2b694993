package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// coldObjective and warmObjective are the run times expected of a route
	// until some were seen, as shares of its objective.
	coldObjective = 1.2
	warmObjective = 0.4
	// profileStep is the weight of the newest run in what is expected.
	profileStep = 0.1
)

// profile returns what is known of the requests of a route to a service.
func (m *Machine) profile(r *traffic.Route, service string) *affinity.Profile {
	key := r.Prefix + "\x00" + service
	p := m.profiles[key]
	if p == nil {
		p = &affinity.Profile{
			Cold: time.Duration(coldObjective * float64(r.Objective)),
			Warm: time.Duration(warmObjective * float64(r.Objective)),
		}
		m.profiles[key] = p
	}
	p.Objective = r.Objective
	return p
}

// learn takes a run time into what is expected of the route.
func (m *Machine) learn(t *Ticket, c affinity.Choice, r affinity.Result) {
	p := m.profile(t.Route, t.ServiceName)
	run := m.balancer.RunTime(c, r)
	mean := &p.Cold
	if p.Nearest(run) == p.Warm {
		mean = &p.Warm
	}
	*mean += time.Duration(profileStep * float64(run-*mean))
}
