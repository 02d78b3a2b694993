package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/assign"
)

const (
	// askInterval is the time between asks for the place of one object.
	askInterval = 300 * time.Millisecond
	// maxAsked bounds the objects whose last ask is remembered.
	maxAsked = 5000
)

// PlacementRequest asks the instance that assigns objects for the place of one.
type PlacementRequest struct {
	Key assign.Key
	// HomeRegions, if any, are the only regions that may run its requests.
	HomeRegions []string
}

// find looks for the place of the ticket's object.
func (m *Machine) find(t *RequestState, now time.Time) {
	place := m.places.Find(t.key, now)
	for _, b := range t.query.Backends {
		if b.ID == place {
			t.query.Placement = place
			return
		}
	}
}

// PendingPlacement returns what to ask for the place of the ticket's object, or false if
// it is known, was asked for just before, or there is no object.
func (m *Machine) PendingPlacement(t *RequestState, now time.Time) (PlacementRequest, bool) {
	if t.query.Placement != "" || t.key == (assign.Key{}) || len(t.query.Backends) == 0 {
		return PlacementRequest{}, false
	}
	if now.Sub(m.asked[t.key]) < askInterval {
		return PlacementRequest{}, false
	}
	if len(m.asked) >= maxAsked {
		clear(m.asked)
	}
	m.asked[t.key] = now
	return PlacementRequest{Key: t.key, HomeRegions: t.Route.HomeRegions}, true
}

// Assign gives an object a place, as the instance that does so for the region,
// and returns the entries that are newer than the version.
func (m *Machine) Assign(e *Snapshot, r PlacementRequest, version uint64, now time.Time) []assign.Entry {
	m.adopt(e)
	if r.Key != (assign.Key{}) {
		m.places.Assign(r.Key, len(r.HomeRegions) > 0, m.placeCandidates(r.Key.Service, r.HomeRegions, now), now)
	}
	return m.places.Since(version)
}

// Balance moves an object to a backend server that has fewer, now and then. Only
// the instance that assigns does so.
func (m *Machine) Balance(e *Snapshot, now time.Time) {
	m.adopt(e)
	for service := range e.Backends {
		m.places.Balance(service, m.placeCandidates(service, nil, now), now)
	}
}

// MergePlacements takes in entries of the instance that assigns, and looks for the place
// of the ticket's object again.
func (m *Machine) MergePlacements(t *RequestState, entries []assign.Entry, now time.Time) {
	m.places.Merge(entries, now)
	if t != nil {
		m.find(t, now)
	}
}

// TakeOver begins to assign in the place of another instance.
func (m *Machine) TakeOver() { m.places.TakeOver() }

// PlacementsVersion returns the version of the newest known place.
func (m *Machine) PlacementsVersion() uint64 { return m.places.Version() }

// placeCandidates returns the backend servers that may have objects.
func (m *Machine) placeCandidates(service string, homes []string, now time.Time) []assign.Candidate {
	backends := m.candidates(service, homes)
	candidates := make([]assign.Candidate, 0, len(backends))
	for _, b := range backends {
		candidates = append(candidates, assign.Candidate{
			ID: b.ID, Region: m.cfg.RegionOf[b.Zone], Weight: m.weights[service][b.ID], Cold: now.Before(b.ColdUntil),
		})
	}
	return candidates
}
