package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/pace"
	"github.com/banyandeal/banyandeal/internal/decide/restart"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// coldWindow is the span to which the bound on requests to a cold backend server
	// applies, and coldGrantLifetime the lifetime of the grants for them.
	coldWindow        = time.Second
	coldGrantLifetime = 2 * time.Second
	// In each span of limitWindow a backend server with a request limit takes at most
	// limitFactor times what the limit allows and limitSlack requests. The users' rules say
	// so. limitGrantLifetime is the lifetime of the grants for them.
	limitWindow        = 4 * time.Second
	limitFactor        = 1.5
	limitSlack         = 5
	limitGrantLifetime = 4 * time.Second
	// minLimit is the rate per second at which requests are sent to a backend server with a
	// lower limit, so that the end of the limit is noticed.
	minLimit = 0.25
	// otherRegionsShare is the share of the grants for a backend server that goes to a
	// region whose callers do not use its region normally.
	otherRegionsShare = 0.02
)

func coldKey(b *traffic.Backend) string  { return "cold " + b.ID }
func limitKey(b *traffic.Backend) string { return "limit " + b.ID }

// identityOf returns the incarnation of a backend server.
func identityOf(b *traffic.Backend) limit.Backend { return limit.Backend{ID: b.ID, Born: b.Born} }

// coldRate returns the rate of requests to a cold backend server of a service.
func (m *Machine) coldRate(s *traffic.Service) pace.Rate {
	return pace.Rate{
		PerSecond: s.ColdRate, Factor: m.cfg.Bounds.ColdOvershoot, Slack: m.cfg.Bounds.ColdSlack,
		Window: coldWindow, Lifetime: coldGrantLifetime,
	}
}

// limitRate returns the rate of requests to a backend server with a request limit.
func limitRate(perSecond float64) pace.Rate {
	return pace.Rate{
		PerSecond: max(minLimit, perSecond), Factor: limitFactor, Slack: limitSlack,
		Window: limitWindow, Lifetime: limitGrantLifetime,
	}
}

// sharedTime returns the time on the clock that all instances share.
func (s *Snapshot) sharedTime(now time.Time) time.Duration {
	if s.ClockZero.IsZero() {
		return now.Sub(time.Unix(0, 0))
	}
	return now.Sub(s.ClockZero)
}

// isCold reports whether the rate of requests to a backend server is limited because it is
// cold, or may be after a start of which the store has not told.
func (m *Machine) isCold(s *traffic.Service, b *traffic.Backend, now time.Time) bool {
	if s.ColdRate == 0 {
		return false
	}
	if now.Before(b.ColdUntil) {
		return true
	}
	_, restarted := m.restarts.Cold(identityOf(b), now)
	return restarted
}

// Restarts returns which backend servers may have become cold before the store tells.
func (m *Machine) Restarts() *restart.Table { return m.restarts }

// coldSince returns since when this instance may have known that a backend server is cold.
func (m *Machine) coldSince(s *traffic.Service, b *traffic.Backend, now time.Time) time.Time {
	if since, restarted := m.restarts.Cold(identityOf(b), now); restarted && !now.Before(b.ColdUntil) {
		return since
	}
	if began := b.ColdUntil.Add(-s.ColdStart); began.After(m.began) && began.Before(now) {
		return began
	}
	return m.began
}

// allows reports whether this instance may send a request to a backend server now, as far
// as the rates of all instances together are concerned.
func (m *Machine) allows(req *RequestState, b *traffic.Backend, now time.Time) bool {
	if m.isCold(req.Service, b, now) && !m.hasGrant(coldKey(b), m.coldRate(req.Service), b, m.coldSince(req.Service, b, now), now) {
		return false
	}
	if m.limits.Empty() {
		return true
	}
	state := m.limits.State(identityOf(b), now)
	return !state.Limited || m.hasGrant(limitKey(b), limitRate(state.PerSecond), b, state.LimitedSince, now)
}

// returned reports whether a backend server gets the requests for an object again after the
// end of its limit. Some objects return earlier, others later.
func (m *Machine) returned(req *RequestState, b *traffic.Backend, now time.Time) bool {
	if m.limits.Empty() {
		return true
	}
	share := m.limits.State(identityOf(b), now).Returned
	return share == 1 || hrw.Fraction(cmp.Or(req.query.Object, req.query.SpreadKey), b.ID) < share
}

// hasGrant reports whether this instance has a grant for a request to a backend server, of
// those issued since a time.
func (m *Machine) hasGrant(key string, r pace.Rate, b *traffic.Backend, since, now time.Time) bool {
	return m.pacer.Available(key, r, m.grantOwners(b), m.snapshot.sharedTime(since), m.snapshot.sharedTime(now))
}

// isPaced reports whether requests to a backend server need grants.
func (m *Machine) isPaced(s *traffic.Service, b *traffic.Backend, now time.Time) bool {
	return m.isCold(s, b, now) || m.limits.State(identityOf(b), now).Limited
}

// takeGrants uses the grants for a request that is sent to a backend server.
func (m *Machine) takeGrants(s *traffic.Service, b *traffic.Backend, now time.Time) {
	if m.isCold(s, b, now) {
		m.pacer.Take(coldKey(b))
	}
	if m.limits.State(identityOf(b), now).Limited {
		m.pacer.Take(limitKey(b))
	}
}

// ownersKey identifies the backend servers whose grants have the same owners.
type ownersKey struct{ service, region string }

// grantOwners returns the instances that own grants for a backend server by region, with a
// weight in proportion to the requests that the region's callers normally send there. All
// instances with the same snapshot return the same.
func (m *Machine) grantOwners(b *traffic.Backend) []pace.Group {
	key := ownersKey{b.Service, m.cfg.RegionOf[b.Zone]}
	owners, ok := m.owners[key]
	if !ok {
		owners = m.newOwners(key)
		m.owners[key] = owners
	}
	return owners
}

// newOwners computes what grantOwners returns.
func (m *Machine) newOwners(key ownersKey) []pace.Group {
	members, zones := map[string][]string{}, map[string]int{}
	for _, member := range m.snapshot.Members {
		region := m.cfg.RegionOf[member.Zone]
		members[region] = append(members[region], member.Name)
	}
	for _, region := range m.cfg.RegionOf {
		zones[region]++
	}
	var groups []pace.Group
	total := 0.0
	for _, region := range slices.Sorted(maps.Keys(members)) {
		demand := float64(zones[region]) * m.shareSentTo(key, region)
		groups = append(groups, pace.Group{Name: region, Weight: demand, Members: members[region]})
		total += demand
	}
	for i := range groups {
		groups[i].Weight = max(groups[i].Weight, otherRegionsShare*total)
	}
	return groups
}

// shareSentTo returns the share of the requests of a region's callers to a service that go
// to its backend servers in key.region.
func (m *Machine) shareSentTo(key ownersKey, callers string) float64 {
	backends := m.snapshot.Backends[key.service]
	shares, sum := affinity.Shares(callers, m.cfg.RegionOf, backends), 0.0
	for _, b := range backends {
		if m.cfg.RegionOf[b.Zone] == key.region {
			sum += shares[b.ID]
		}
	}
	return sum
}

// Limitation describes the request limit because of which a request is refused.
type Limitation struct {
	// Backend is the ID of the limited backend server that gets a request next.
	Backend string
	State   limit.State
	// Issued is the number of requests per second that all instances together send there.
	Issued float64
	// Instances is the number of instances that share them.
	Instances int
	// FreeIn is the time until one of these instances may send a request.
	FreeIn time.Duration
}

// limitation returns the limit that ends first for a request that no candidate may get, or
// nil if none of the candidates has a limit.
func (m *Machine) limitation(req *RequestState, now time.Time) *Limitation {
	var first *Limitation
	for _, b := range req.query.Backends {
		state := m.limits.State(identityOf(b), now)
		if !state.Limited || req.query.Tried[b.ID] {
			continue
		}
		rate := limitRate(state.PerSecond)
		freeIn := rate.UntilNext(m.snapshot.sharedTime(now))
		if first == nil || freeIn < first.FreeIn {
			first = &Limitation{Backend: b.ID, State: state, Issued: rate.Issued(), Instances: len(m.snapshot.Members), FreeIn: freeIn}
		}
	}
	return first
}

// Limits returns the request limits of backend servers as known to this instance.
func (m *Machine) Limits() *limit.Table { return m.limits }

// GrantShare returns the number of requests per second that all instances together send to
// a backend server with the given limit.
func GrantShare(perSecond float64) float64 { return limitRate(perSecond).Issued() }
