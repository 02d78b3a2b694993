package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// initialColdShare is the expected cold run time of a route before any run
	// was measured, as a share of the route's objective.
	initialColdShare = 1.2
	// initialWarmShare is the expected warm run time of a route before any run
	// was measured, as a share of the route's objective.
	initialWarmShare = 0.4
	// profileSmoothing is the weight of the newest run in the moving averages
	// of run times.
	profileSmoothing = 0.1
	// maxRouteStates is the number of routes from which on the states of idle
	// routes are removed.
	maxRouteStates = 10000
	// routeIdleTimeout is the time without requests after which a route counts
	// as idle.
	routeIdleTimeout = time.Minute
	// shortestRunInterval is the time for which a computed shortest warm run
	// time of a service is reused.
	shortestRunInterval = time.Second
)

// routeKey identifies a route across configuration versions.
type routeKey struct{ host, prefix string }

// routeState is the recorded state of a route.
type routeState struct {
	// profiles holds the expected run times by service name.
	profiles map[string]*affinity.Profile
	// split distributes the requests of the route over its target services.
	split splitter
	// lastProbe is the time at which a request was last sent although it was
	// not expected to finish before its deadline.
	lastProbe time.Time
	// longestTimeout is the longest timeout that a caller of the route has
	// set.
	longestTimeout time.Duration
	// lastUsed is the time of the newest request.
	lastUsed time.Time
}

// route returns the state of a route and creates it if needed.
func (m *Machine) route(r *traffic.Route, now time.Time) *routeState {
	key := routeKey{host: r.Host, prefix: r.Prefix}
	s := m.routes[key]
	if s == nil {
		m.evictIdleRoutes(now)
		s = &routeState{profiles: map[string]*affinity.Profile{}, split: splitter{credit: map[string]float64{}}}
		m.routes[key] = s
	}
	s.lastUsed = now
	return s
}

// evictIdleRoutes removes the states of idle routes when there are
// maxRouteStates or more.
func (m *Machine) evictIdleRoutes(now time.Time) {
	if len(m.routes) < maxRouteStates {
		return
	}
	for key, s := range m.routes {
		if now.Sub(s.lastUsed) > routeIdleTimeout {
			delete(m.routes, key)
		}
	}
}

// profile returns the run time profile of the route's requests to a service
// and creates it if needed.
func (s *routeState) profile(service string, objective time.Duration) *affinity.Profile {
	p := s.profiles[service]
	if p == nil {
		p = &affinity.Profile{
			Cold: time.Duration(initialColdShare * float64(objective)),
			Warm: time.Duration(initialWarmShare * float64(objective)),
		}
		s.profiles[service] = p
	}
	p.Objective = objective
	return p
}

// updateProfile adds the measured run time of an answered attempt to the
// moving average of the route that the run time is closer to, warm or cold.
func (m *Machine) updateProfile(req *RequestState, c affinity.Choice, r affinity.Result) {
	p := req.route.profile(req.ServiceName, req.Route.Objective)
	run := m.balancer.RunTime(c, r)
	mean := &p.Cold
	if p.Nearest(run) == p.Warm {
		mean = &p.Warm
	}
	*mean += time.Duration(profileSmoothing * float64(run-*mean))
	p.Transfer += time.Duration(profileSmoothing * float64(r.Transfer-p.Transfer))
}

// shortestRun is the shortest expected warm run time among the routes to a
// service.
type shortestRun struct {
	// runTime is that shortest run time.
	runTime time.Duration
	// computedAt is the time at which runTime was computed.
	computedAt time.Time
}

// shortestWarmRun returns the shortest expected warm run time among the routes
// to a service, at most limit.
func (m *Machine) shortestWarmRun(service string, limit time.Duration, now time.Time) time.Duration {
	cached := m.shortestRun[service]
	if cached.computedAt.IsZero() || now.Sub(cached.computedAt) >= shortestRunInterval {
		cached = shortestRun{runTime: limit, computedAt: now}
		for _, s := range m.routes {
			if p := s.profiles[service]; p != nil {
				cached.runTime = min(cached.runTime, p.Warm)
			}
		}
		m.shortestRun[service] = cached
	}
	return min(limit, cached.runTime)
}
