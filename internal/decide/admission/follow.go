package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// Match is what a configuration has for a request.
type Match struct {
	// Route is the route of the request; nil if there is none.
	Route *traffic.Route
	// Account is its client account; nil if it has none. Unauthorized is set if the route
	// requires one.
	Account      *traffic.Account
	Unauthorized bool
}

// Follow replaces the route and the client account of a request by those that it has in a newer
// configuration, and returns the reason why the request may not be
// sent to a backend server any more, or an empty reason. The next call of Next selects from
// the services and home regions of the new route. The deadline may only become earlier.
func (m *Machine) Follow(req *RequestState, snapshot *Snapshot, match Match, now time.Time) Reason {
	m.useSnapshot(snapshot, now)
	req.Snapshot = snapshot
	route := match.Route
	switch {
	case route == nil:
		return RouteGone
	case match.Unauthorized:
		return KeyRemoved
	}
	req.Route, req.route, req.Account = route, m.route(route, now), match.Account
	if limit := req.Received.Add(route.Timeout); route.Timeout > 0 && limit.Before(req.Deadline) {
		req.Deadline = limit
	}
	switch {
	case !now.Before(req.Deadline):
		return Expired
	case req.MayHaveRun() && !route.Kind.Idempotent():
		return MayHaveRun
	case req.MayHaveRun() && !req.MayRepeat():
		return AttemptLimit
	case !m.followService(req, now):
		return RetryBudgetEmpty
	}
	m.buildQuery(req, now)
	return ""
}

// followService keeps the service of a request if its route still has it as a target, and
// otherwise selects one of the new targets. It returns false if the retry budget of that one
// allows no retry: CheckRetry has charged the budget of the former service.
func (m *Machine) followService(req *RequestState, now time.Time) bool {
	isTarget := func(t traffic.Target) bool { return t.Service == req.ServiceName }
	if !slices.ContainsFunc(req.Route.Targets, isTarget) {
		req.ServiceName = req.route.pickService(req.Route)
		if req.arrived && !m.budget(req.ServiceName, now).Take(now) {
			return false
		}
	}
	req.Service = m.snapshot.Services[req.ServiceName]
	return true
}

// buildQuery sets the query of the request for its route, service and the current snapshot.
// Backend servers that were tried stay so.
func (m *Machine) buildQuery(req *RequestState, now time.Time) {
	r, object := req.Route, ""
	req.objectKey = assign.Key{}
	if req.Object != "" && r.Sticky {
		object = r.Prefix + req.Object
		req.objectKey = assign.Key{Service: req.ServiceName, Prefix: placementPrefix(r, req.Account, m.placementZone(r)), Object: req.Object}
	}
	req.homes, req.hasHome = traffic.HomeRegions(r, req.Account)
	tried := req.query.Tried
	if tried == nil {
		tried = map[string]bool{}
	}
	req.query = affinity.Query{
		Object: object, SpreadKey: req.ID, Profile: *req.route.profile(req.ServiceName, r.Objective),
		Backends: m.candidates(req.ServiceName, req.homes), Weights: m.weightsFor(req.ServiceName, m.placementZone(r)),
		Tried: tried, Sharers: m.snapshot.RegionInstances,
	}
	if m.placementZone(r) != "" {
		req.query.Sharers = m.snapshot.ZoneInstances
	}
	m.findPlacement(req, now)
}

// placementPrefix returns the prefix under which the placement of an object is known. Accounts with
// home regions, and the callers of one zone, have placements of their own, since those of others may
// lie elsewhere.
func placementPrefix(r *traffic.Route, a *traffic.Account, zone string) string {
	prefix := r.Prefix
	if zone != "" {
		prefix += " " + zone
	}
	if a != nil && len(a.HomeRegions) > 0 {
		prefix += " " + strings.Join(slices.Sorted(slices.Values(a.HomeRegions)), " ")
	}
	return prefix
}
