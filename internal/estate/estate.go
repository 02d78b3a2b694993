// Package estate defines the resolved configuration of a deployment, which is
// called its estate: the base file with every site overlay merged into it. Values
// of this package are immutable once published, so readers share them without
// locks.
package estate

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// State is the declared state of a region, zone, site or backend server.
type State string

// Declared states. The zero value means Active.
const (
	// Active receives its configured share of new requests.
	Active State = "active"
	// Draining receives no new requests once its ramp has finished.
	Draining State = "draining"
)

// IsDraining reports whether new requests are to be moved away from the region,
// zone, site or backend server.
func (s State) IsDraining() bool { return s == Draining }

// Estate is one version of the configuration. Slices are sorted by name, and
// Blocks by prefix.
type Estate struct {
	Name string `json:"name"`
	// Version is 0 until the table service has accepted the configuration. It
	// only increases.
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

// Zone is an availability zone: the unit of steering and the unit that a network
// partition isolates.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	State  State  `json:"state,omitempty"`
}

// Site is a group of backend servers in one zone, described by one overlay.
type Site struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State State  `json:"state,omitempty"`
	// Weight scales the site's share of its zone; 1 is the full share.
	Weight float64 `json:"weight"`
	// Since is when the declared state or weight last changed. Ramps start at this
	// time, so that an instance that replaces another resumes them.
	Since time.Time `json:"since,omitzero"`
}

// Link limits the requests from one region (the edge) to another (the centre).
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// MaxInFlight is the largest number of requests in flight at once.
	MaxInFlight int `json:"max_in_flight"`
	// MaxRate is the largest number of requests started per second.
	MaxRate float64 `json:"max_rate"`
}

// Compare orders links by their regions, as they stand in a resolved estate.
func (l Link) Compare(o Link) int {
	return cmp.Or(strings.Compare(l.From, o.From), strings.Compare(l.To, o.To))
}

// MaxKeyTTL is the upper limit of Service.KeyTTL. All instances rely on no
// idempotency key being valid for longer.
const MaxKeyTTL = time.Hour

// Service is a service whose requests are steered.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
	Backends   []Backend   `json:"backends"`
	// Weights is the configured share of each zone by zone name, in (0,1]. The
	// shares add up to 1. Estimates decay towards them as reports get older.
	Weights map[string]float64 `json:"weights"`
	// LookupTTL is how long a caller may cache the response to a lookup.
	LookupTTL time.Duration `json:"lookup_ttl"`
	// Deadline is the upper limit of the duration of a request, and its default.
	Deadline time.Duration `json:"deadline"`
	// MeanTime is the expected time that a backend server spends on one request.
	// Together with the number of slots it determines a zone's capacity in
	// requests per second.
	MeanTime time.Duration `json:"mean_time"`
	// MaxUtilisation is the share of slots that placement may assign, in (0,1].
	MaxUtilisation float64 `json:"max_utilisation"`
	// KeyTTL is how long the outcome of an idempotency key is kept, at most
	// MaxKeyTTL.
	KeyTTL time.Duration `json:"key_ttl"`
	// MaxBody is the upper limit of a request body in bytes.
	MaxBody int64       `json:"max_body"`
	Retry   RetryPolicy `json:"retry"`
	// HedgeAfter is the time after which an idempotent request gets a second,
	// hedged attempt; 0 disables hedging.
	HedgeAfter time.Duration `json:"hedge_after,omitempty"`
}

// Operation classifies requests by method and path prefix. A request that matches
// no operation is treated as not idempotent.
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

// RetryPolicy limits the retries and hedges of one service.
type RetryPolicy struct {
	// BudgetShare is the largest ratio of retries to requests, in [0,1].
	BudgetShare float64 `json:"budget_share"`
	// MaxAttempts is the largest number of attempts of one request, the first one
	// included.
	MaxAttempts int `json:"max_attempts"`
}

// Block is a block of client addresses that are steered together.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	// Region is the edge region nearest to the block.
	Region string `json:"region"`
	// Demand is the expected number of requests per second over all services.
	Demand float64 `json:"demand"`
}

// ShiftPolicy limits how fast traffic may move between zones.
type ShiftPolicy struct {
	// MaxShare is the largest share of a service's traffic that may move per
	// second.
	MaxShare float64 `json:"max_share"`
	// ColdShare replaces MaxShare while the caches of the receiving zone are cold.
	ColdShare float64 `json:"cold_share"`
	// ColdTime is how long a zone counts as cold after traffic started to move to
	// it.
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
