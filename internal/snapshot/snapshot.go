// Package snapshot holds the immutable picture that control publishes and
// traffic reads: the configuration in force, where its placement stands, and
// which instances are there to take requests.
package snapshot

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// Snapshot is one picture. Nothing in it changes after it was published.
type Snapshot struct {
	// Self is this instance; Zone and Region are where it runs.
	Self   Instance
	Zone   string
	Region string
	// Estate is the configuration in force, nil before there is one.
	Estate       *estate.Estate
	InForceSince time.Time
	Leaving      bool
	// Tables holds the order of zones for callers, by service.
	Tables map[string]*placement.Table
	// Zones stand in the order of Estate.Zones, which is that of
	// placement.ZoneIndex.
	Zones []Zone
	// Peers holds the peer address of every incarnation that may be alive,
	// suspect and leaving ones included.
	Peers map[membership.Identity]string
	// Version counts published snapshots.
	Version uint64
}

// Zone is one availability zone as traffic sees it.
type Zone struct {
	Name   string
	Region string
	// Instances may be given work, sorted by id; a leaving or suspect instance
	// is not among them.
	Instances []Instance
	// Slots counts the declared slots that take work, Loads sums what the
	// instances reported; both by service.
	Slots map[string]int
	Loads map[string]load.Report
	// Draining is set for a zone that drains: it gets no new work from others.
	Draining bool
}

// Instance is an entry instance that may be given work.
type Instance struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Caller and Peer are its addresses, host:port.
	Caller string
	Peer   string
	// Loads is what it last reported of the backend servers that it owns, by
	// service.
	Loads map[string]load.Report
}

// Ready reports whether requests may be taken.
func (s *Snapshot) Ready() bool { return s.Estate != nil }

// Find returns the instance with the id in the zone.
func (s *Snapshot) Find(zone, id string) (Instance, bool) {
	for _, z := range s.Zones {
		if z.Name != zone {
			continue
		}
		for _, in := range z.Instances {
			if in.ID == id {
				return in, true
			}
		}
	}
	return Instance{}, false
}

// ZoneOf returns the named zone.
func (s *Snapshot) ZoneOf(name string) (Zone, bool) {
	for _, z := range s.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}
