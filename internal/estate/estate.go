// Package estate holds the typed, resolved form of the declared estate: the
// base file with every site overlay merged into it. Values of this package are
// immutable once published; readers share them without locks.
package estate

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the declared state of a region, zone, site or backend server.
type State string

// Declared states. The zero value means Active.
const (
	// Active takes its configured share of new work.
	Active State = "active"
	// Draining takes no new work once its ramp has finished.
	Draining State = "draining"
)

// IsDraining reports whether new work is to leave the declared thing.
func (s State) IsDraining() bool { return s == Draining }

// Estate is one accepted configuration. Slices are sorted by name, blocks by
// prefix.
type Estate struct {
	Name string `json:"name"`
	// Version is 0 until the table service has accepted the configuration. It
	// only rises.
	Version  uint64      `json:"version"`
	Regions  []Region    `json:"regions"`
	Zones    []Zone      `json:"zones"`
	Sites    []Site      `json:"sites"`
	Links    []Link      `json:"links"`
	Services []Service   `json:"services"`
	Blocks   []Block     `json:"blocks"`
	Shift    ShiftPolicy `json:"shift"`
}

// Region is a group of availability zones that share the region's links.
type Region struct {
	Name  string `json:"name"`
	State State  `json:"state,omitempty"`
}

// Zone is an availability zone: the unit of steering and of partition.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  State  `json:"state,omitempty"`
}

// Site is a group of backend servers inside one zone that an overlay
// describes.
type Site struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State State  `json:"state,omitempty"`
	// Weight scales the site's share of its zone; 1 is the full share.
	Weight float64 `json:"weight"`
	// Since is when the declared state or weight last changed; a ramp is
	// counted from it, so that a replaced instance resumes it.
	Since time.Time `json:"since,omitzero"`
}

// Link caps what flows from one region (the edge) to another (the centre).
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// MaxInFlight is the most requests in flight at once.
	MaxInFlight int `json:"max_in_flight"`
	// MaxRate is the most requests started per second.
	MaxRate float64 `json:"max_rate"`
}

// MaxKeyTTL is the longest Service.KeyTTL: all instances count on no key being
// valid for longer.
const MaxKeyTTL = time.Hour

// Service is one steered service.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
	Backends   []Backend   `json:"backends"`
	// Weights is the configured share of each zone by zone name, in (0,1],
	// adding up to 1. Estimates decay towards it when reports are old.
	Weights map[string]float64 `json:"weights"`
	// LookupTTL is how long a caller may keep a look-up's answer.
	LookupTTL time.Duration `json:"lookup_ttl"`
	// Deadline is the longest a request may take, and the default.
	Deadline time.Duration `json:"deadline"`
	// MeanTime is the expected time a backend server works on one request;
	// with slots it gives a zone's capacity in requests per second.
	MeanTime time.Duration `json:"mean_time"`
	// MaxUtilisation is the share of slots that placement may plan on, (0,1].
	MaxUtilisation float64 `json:"max_utilisation"`
	// KeyTTL is how long the outcome of an idempotency key is kept, at most
	// MaxKeyTTL.
	KeyTTL time.Duration `json:"key_ttl"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64       `json:"max_body"`
	Retry   RetryPolicy `json:"retry"`
	// HedgeAfter starts a second attempt of an idempotent request; 0 is never.
	HedgeAfter time.Duration `json:"hedge_after,omitempty"`
}

// Operation classifies requests by method and path prefix. A request that
// matches none is treated as not idempotent.
type Operation struct {
	Name       string `json:"name"`
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
}

// Backend is one backend server.
type Backend struct {
	Name           string    `json:"name"`
	Site           string    `json:"site"`
	Zone           string    `json:"zone"`
	Address        string    `json:"address"`
	Slots          int       `json:"slots"`
	MaxConnections int       `json:"max_connections"`
	State          State     `json:"state,omitempty"`
	Since          time.Time `json:"since,omitzero"`
}

// RetryPolicy bounds further attempts of one service.
type RetryPolicy struct {
	// BudgetShare is the most retries per request, as a share in [0,1].
	BudgetShare float64 `json:"budget_share"`
	// MaxAttempts includes the first attempt.
	MaxAttempts int `json:"max_attempts"`
}

// Block is a block of client addresses that is steered as one.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	// Region is the edge region nearest to the block.
	Region string `json:"region"`
	// Demand is the expected requests per second over all services.
	Demand float64 `json:"demand"`
}

// ShiftPolicy caps how fast traffic may move between zones.
type ShiftPolicy struct {
	// MaxShare is the largest share of a service's traffic moved per second.
	MaxShare float64 `json:"max_share"`
	// ColdShare replaces MaxShare while the receiver's caches are cold.
	ColdShare float64 `json:"cold_share"`
	// ColdTime is how long a zone counts as cold after it began to fill.
	ColdTime time.Duration `json:"cold_time"`
}

// ZoneOf returns the named zone.
func (e *Estate) ZoneOf(name string) (Zone, bool) {
	i, ok := slices.BinarySearchFunc(e.Zones, name, func(z Zone, n string) int { return strings.Compare(z.Name, n) })
	if !ok {
		return Zone{}, false
	}
	return e.Zones[i], true
}

// SiteOf returns the named site.
func (e *Estate) SiteOf(name string) (Site, bool) {
	i, ok := slices.BinarySearchFunc(e.Sites, name, func(s Site, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return Site{}, false
	}
	return e.Sites[i], true
}

// RegionOf returns the named region.
func (e *Estate) RegionOf(name string) (Region, bool) {
	i, ok := slices.BinarySearchFunc(e.Regions, name, func(r Region, n string) int { return strings.Compare(r.Name, n) })
	if !ok {
		return Region{}, false
	}
	return e.Regions[i], true
}

// ServiceOf returns the named service, or nil.
func (e *Estate) ServiceOf(name string) *Service {
	i, ok := slices.BinarySearchFunc(e.Services, name, func(s Service, n string) int { return strings.Compare(s.Name, n) })
	if !ok {
		return nil
	}
	return &e.Services[i]
}

// LinkOf returns the link between two regions.
func (e *Estate) LinkOf(from, to string) (Link, bool) {
	for _, l := range e.Links {
		if l.From == from && l.To == to {
			return l, true
		}
	}
	return Link{}, false
}

// ZoneDraining reports whether the zone or its region is declared draining.
func (e *Estate) ZoneDraining(name string) bool {
	z, ok := e.ZoneOf(name)
	if !ok {
		return false
	}
	r, _ := e.RegionOf(z.Region)
	return z.State.IsDraining() || r.State.IsDraining()
}

// BackendDraining reports whether the backend server, its site, zone or region
// is declared draining.
func (e *Estate) BackendDraining(b Backend) bool {
	s, _ := e.SiteOf(b.Site)
	return b.State.IsDraining() || s.State.IsDraining() || e.ZoneDraining(b.Zone)
}

// Operation returns the operation that a request belongs to: the longest
// matching path prefix of the method. ok is false for an unknown operation,
// which counts as not idempotent.
func (s *Service) Operation(method, path string) (op Operation, ok bool) {
	best := -1
	for _, o := range s.Operations {
		if o.Method == method && strings.HasPrefix(path, o.PathPrefix) && len(o.PathPrefix) > best {
			op, ok, best = o, true, len(o.PathPrefix)
		}
	}
	return op, ok
}
