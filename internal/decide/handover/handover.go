// Package handover decides to which other instance a request is handed over that this instance
// cannot send to any backend server.
//
// Machine is a pure state machine and not safe for concurrent use.
package handover

import (
	"math"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// declinedTime is how long an instance gets no requests after it has declined one, and
	// unreachableTime after it could not be reached or did not reply.
	declinedTime    = time.Second
	unreachableTime = 2 * time.Second
	// nearTries is how many instances of this region get the request before those of other
	// regions, since all of this region may be cut off together.
	nearTries = 3
	// minWeight is the weight of an instance of unknown capacity, in Mbit/s.
	minWeight = 1.0
)

// Result is how a handover ended.
type Result int

const (
	// Replied means that the other instance has handled the request.
	Replied Result = iota
	// Declined means that it does not take the request.
	Declined
	// Unreachable means that no session could be opened.
	Unreachable
	// Lost means that it got the request, and that no reply came.
	Lost
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"replied", "declined", "unreachable", "lost"}[r]
}

// Machine holds which instances took no requests lately.
type Machine struct {
	self, region string
	regionOf     map[string]string
	// avoid maps instances to the time until which they get no requests.
	avoid map[string]time.Time
}

// New returns a Machine of the instance self of a region. regionOf maps zones to regions.
func New(self, region string, regionOf map[string]string) *Machine {
	return &Machine{self: self, region: region, regionOf: regionOf, avoid: map[string]time.Time{}}
}

// Query describes the request to hand over.
type Query struct {
	// ID is the id of the request, which spreads requests over instances.
	ID string
	// HomeRegions, if any, are the only regions that may have the request.
	HomeRegions []string
	// Members holds all instances, Tried the names of those that had the request.
	Members []traffic.Member
	Tried   map[string]bool
}

// Choose returns the instance that gets the request: one of this region if there is any and
// few were tried, more often one that can carry more. It returns false if there is none.
func (m *Machine) Choose(q Query, now time.Time) (traffic.Member, bool) {
	var best traffic.Member
	found, near, highest := false, false, math.Inf(-1)
	for _, member := range q.Members {
		if !m.mayTake(q, member, now) {
			continue
		}
		own := m.regionOf[member.Zone] == m.region && len(q.Tried) < nearTries
		score := hrw.Score(q.ID, member.Name, max(minWeight, member.Capacity))
		if !found || own && !near || own == near && score > highest {
			best, found, near, highest = member, true, own, score
		}
	}
	return best, found
}

// mayTake reports whether an instance may get the request.
func (m *Machine) mayTake(q Query, member traffic.Member, now time.Time) bool {
	if member.Name == m.self || q.Tried[member.Name] || now.Before(m.avoid[member.Name]) {
		return false
	}
	return len(q.HomeRegions) == 0 || slices.Contains(q.HomeRegions, m.regionOf[member.Zone])
}

// Record records how a handover to an instance ended.
func (m *Machine) Record(instance string, r Result, now time.Time) {
	switch r {
	case Replied:
		delete(m.avoid, instance)
	case Declined:
		m.avoid[instance] = now.Add(declinedTime)
	default:
		m.avoid[instance] = now.Add(unreachableTime)
	}
}
