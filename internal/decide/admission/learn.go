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
	// maxRoutes bounds the routes that are remembered, routeMemory is how long
	// an unused one is kept beyond.
	maxRoutes   = 10000
	routeMemory = time.Minute
	// shortestInterval is the time between looks for a service's shortest work.
	shortestInterval = time.Second
)

// routeKey names a route over configurations.
type routeKey struct{ host, prefix string }

// routeState is what is remembered of a route.
type routeState struct {
	// profiles holds what is expected of a run by service.
	profiles map[string]*affinity.Profile
	split    splitter
	// probed is when a request was last sent against expectation.
	probed time.Time
	// fullDeadline is the longest time that a caller has given.
	fullDeadline time.Duration
	used         time.Time
}

// route returns the memory of a route.
func (m *Machine) route(r *traffic.Route, now time.Time) *routeState {
	key := routeKey{host: r.Host, prefix: r.Prefix}
	s := m.routes[key]
	if s == nil {
		m.forgetRoutes(now)
		s = &routeState{profiles: map[string]*affinity.Profile{}, split: splitter{credit: map[string]float64{}}}
		m.routes[key] = s
	}
	s.used = now
	return s
}

func (m *Machine) forgetRoutes(now time.Time) {
	if len(m.routes) < maxRoutes {
		return
	}
	for key, s := range m.routes {
		if now.Sub(s.used) > routeMemory {
			delete(m.routes, key)
		}
	}
}

// profile returns what is known of the requests of a route to a service.
func (s *routeState) profile(service string, objective time.Duration) *affinity.Profile {
	p := s.profiles[service]
	if p == nil {
		p = &affinity.Profile{
			Cold: time.Duration(coldObjective * float64(objective)),
			Warm: time.Duration(warmObjective * float64(objective)),
		}
		s.profiles[service] = p
	}
	p.Objective = objective
	return p
}

// learn takes a run time into what is expected of the route.
func (m *Machine) learn(t *RequestState, c affinity.Choice, r affinity.Result) {
	p := t.route.profile(t.ServiceName, t.Route.Objective)
	run := m.balancer.RunTime(c, r)
	mean := &p.Cold
	if p.Nearest(run) == p.Warm {
		mean = &p.Warm
	}
	*mean += time.Duration(profileStep * float64(run-*mean))
}

// shortest is the least run time that is expected of the routes to a service.
type shortest struct {
	work time.Duration
	at   time.Time
}

// shortestWork returns the least run time that is expected of the routes to a
// service, at most d.
func (m *Machine) shortestWork(service string, d time.Duration, now time.Time) time.Duration {
	known := m.shortest[service]
	if known.at.IsZero() || now.Sub(known.at) >= shortestInterval {
		known = shortest{work: d, at: now}
		for _, s := range m.routes {
			if p := s.profiles[service]; p != nil {
				known.work = min(known.work, p.Warm)
			}
		}
		m.shortest[service] = known
	}
	return min(d, known.work)
}
