package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// placementRequestInterval is the minimum time between two requests for
	// the placement of one object.
	placementRequestInterval = 300 * time.Millisecond
	// maxPlacementRequests bounds the number of objects whose last placement
	// request is remembered. All of them are forgotten when the bound is
	// reached.
	maxPlacementRequests = 5000
)

// PlacementRequest asks the assigning instance of the region for the placement
// of an object. The zero Key asks only for new placements.
type PlacementRequest struct {
	// Key identifies the object.
	Key assign.Key
	// HomeRegions holds the only regions that may run the requests for the
	// object. All regions may run them if it is empty.
	HomeRegions []string
	// Zone is the availability zone whose callers the placement is for; empty if it is for all
	// of the region.
	Zone string
}

// findPlacement sets the placement of the request's object, if the placement
// table has one among the candidates of the request.
func (m *Machine) findPlacement(req *RequestState, now time.Time) {
	backendID := m.placements.Find(req.objectKey, now)
	for _, b := range req.query.Backends {
		if b.ID == backendID {
			req.query.Placement = backendID
			return
		}
	}
}

// PendingPlacement returns the request for the placement of the request's
// object. It returns false if the placement is known, was requested less than
// placementRequestInterval ago, or if there is no object or no candidate.
func (m *Machine) PendingPlacement(req *RequestState, now time.Time) (PlacementRequest, bool) {
	if req.query.Placement != "" || req.objectKey == (assign.Key{}) || len(req.query.Backends) == 0 {
		return PlacementRequest{}, false
	}
	if now.Sub(m.lastPlacementRequest[req.objectKey]) < placementRequestInterval {
		return PlacementRequest{}, false
	}
	if len(m.lastPlacementRequest) >= maxPlacementRequests {
		clear(m.lastPlacementRequest)
	}
	m.lastPlacementRequest[req.objectKey] = now
	return PlacementRequest{Key: req.objectKey, HomeRegions: req.homes, Zone: m.placementZone(req.Route)}, true
}

// Assign places the object of a placement request on a backend server and
// returns the placements that are newer than version, the oldest first. Only
// the assigning instance of the region calls it.
func (m *Machine) Assign(snapshot *Snapshot, r PlacementRequest, version uint64, now time.Time) []assign.Entry {
	m.useSnapshot(snapshot, now)
	if r.Key != (assign.Key{}) {
		candidates := m.placementCandidates(r.Key.Service, r.HomeRegions, m.weightsFor(r.Key.Service, r.Zone), now)
		m.placements.Assign(r.Key, len(r.HomeRegions) > 0 || r.Zone != "", candidates, now)
	}
	return m.placements.Since(version)
}

// Balance moves at most one object of each service to a backend server with
// fewer objects, at a limited rate. Only the assigning instance of the region
// calls it.
func (m *Machine) Balance(snapshot *Snapshot, now time.Time) {
	m.useSnapshot(snapshot, now)
	for service := range snapshot.Backends {
		m.placements.Balance(service, m.placementCandidates(service, nil, m.weights[service], now), now)
	}
}

// MergePlacements adds placements of the assigning instance to the table and
// then sets the placement of the request's object. req may be nil.
func (m *Machine) MergePlacements(req *RequestState, entries []assign.Entry, now time.Time) {
	m.placements.Merge(entries, now)
	if req != nil {
		m.findPlacement(req, now)
	}
}

// AdoptPlacements adds the placements of an instance that was the assigning instance
// until now. Only the assigning instance of the region calls it.
func (m *Machine) AdoptPlacements(entries []assign.Entry, now time.Time) {
	m.placements.Adopt(entries, now)
}

// TakeOver prepares this instance to become the assigning instance after
// another one.
func (m *Machine) TakeOver() { m.placements.TakeOver() }

// PlacesVersion returns the version of the newest known placement.
func (m *Machine) PlacesVersion() uint64 { return m.placements.Version() }

// placementZone returns the zone whose callers an object of a route has a placement for, empty if it
// has one for the whole region. Large bodies stay in the zone where that is possible.
func (m *Machine) placementZone(r *traffic.Route) string {
	if r.Kind.Large() {
		return m.cfg.Zone
	}
	return ""
}

// weightsFor returns the shares of objects of the backend servers of a service, for the callers of a
// zone or, if it is empty, of the region.
func (m *Machine) weightsFor(service, zone string) map[string]float64 {
	if zone == "" {
		return m.weights[service]
	}
	key := zoneKey{service: service, zone: zone}
	if m.zoneWeights[key] == nil {
		m.zoneWeights[key] = affinity.ZoneShares(zone, m.cfg.RegionOf, m.snapshot.Backends[service])
	}
	return m.zoneWeights[key]
}

// zoneKey identifies the callers of one zone at one service.
type zoneKey struct{ service, zone string }

// placementCandidates returns the backend servers of a service on which
// objects may be placed, with their shares of objects.
func (m *Machine) placementCandidates(service string, homeRegions []string, weights map[string]float64, now time.Time) []assign.Candidate {
	backends := m.candidates(service, homeRegions)
	candidates := make([]assign.Candidate, 0, len(backends))
	for _, b := range backends {
		state := m.rests.State(identityOf(b), now)
		if state.Gone() {
			continue
		}
		candidates = append(candidates, assign.Candidate{
			ID: b.ID, Region: m.cfg.RegionOf[b.Zone], Weight: weights[b.ID],
			Cold: now.Before(b.ColdUntil) || m.limits.State(identityOf(b), now).Limited || state.Left > 0,
		})
	}
	return candidates
}
