// Package snapshot defines the immutable state that control publishes for request
// handling: the configuration in force, the current placement, and the instances
// that accept requests.
package snapshot

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// Snapshot is the state at one time. It must not be changed after it was published.
type Snapshot struct {
	// Self is this instance.
	Self Instance
	// Zone is the name of the availability zone of this instance.
	Zone string
	// Region is the name of the region of this instance. It is empty before there
	// is a configuration.
	Region string
	// Estate is the configuration in force. It is nil before there is one.
	Estate *estate.Estate
	// InForceSince is the time at which Estate came into force.
	InForceSince time.Time
	// Leaving is set if this instance is shutting down as planned.
	Leaving bool
	// Tables holds the tables that give the order of zones for a caller, by
	// service.
	Tables map[string]*placement.Table
	// Zones is in the order of Estate.Zones, so that a placement.ZoneIndex is an
	// index into it.
	Zones []Zone
	// Peers holds the peer address of every incarnation that may be alive,
	// including suspect and leaving ones.
	Peers map[membership.Identity]string
	// Version is the number of snapshots published so far.
	Version uint64
}

// Zone is the state of one availability zone for request handling.
type Zone struct {
	// Name is the name of the availability zone.
	Name string
	// Region is the name of the region of the availability zone.
	Region string
	// Instances holds the instances that may receive requests, sorted by id. It
	// contains no leaving and no suspect instances.
	Instances []Instance
	// Slots holds the number of declared slots that may receive requests, by
	// service.
	Slots map[string]int
	// Loads holds the sum of the loads that the instances reported, by service.
	Loads map[string]load.Report
	// Draining is set for a zone that drains. Other zones send it no new requests.
	Draining bool
}

// Instance is an entry instance that may receive requests.
type Instance struct {
	// ID is the id of the instance.
	ID string
	// Incarnation is the incarnation of the instance.
	Incarnation uint64
	// Zone is the name of the availability zone of the instance.
	Zone string
	// Caller is the address for callers, host:port.
	Caller string
	// Peer is the address for other instances, host:port.
	Peer string
	// Loads holds the last reported load of the backend servers that the instance
	// owns, by service.
	Loads map[string]load.Report
}

// Ready reports whether this instance can accept requests, which needs a
// configuration.
func (s *Snapshot) Ready() bool { return s.Estate != nil }

// Find returns the instance with the given id in the zone, and whether there is
// one.
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

// ZoneOf returns the zone with the given name, and whether there is one.
func (s *Snapshot) ZoneOf(name string) (Zone, bool) {
	for _, z := range s.Zones {
		if z.Name == name {
			return z, true
		}
	}
	return Zone{}, false
}
