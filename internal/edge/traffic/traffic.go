// Package traffic holds the typed view of what the entry instance steers:
// settings, routes, services and backend servers. The platform adapter fills
// these types; nothing here knows how they are spelled outside.
package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Settings is what a process is told at its start.
type Settings struct {
	// Instance is the name of this entry instance, the same over restarts.
	Instance string
	Zone     string
	Region   string
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
	Listen   Listen
	// PeerPort is the TCP port for traffic between instances.
	PeerPort int
	// IP is the address of this instance, without a port.
	IP     string
	Store  Store
	Bounds Bounds
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
}

// Listen holds the addresses of the listeners, as host:port.
type Listen struct {
	Callers   string
	Ready     string
	Directory string
	// Metrics serves the counters as text; empty serves none.
	Metrics string
}

// Store tells how to reach the platform's store and what it bears.
type Store struct {
	Address string
	// HistoryRetention is how long the store keeps changes for feeds.
	HistoryRetention time.Duration
}

// Bounds holds the time bounds and ratios that the operator has set.
type Bounds struct {
	// DeadInstanceListing is how long a dead instance may be named beyond the margin.
	DeadInstanceListing time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// MaxTTL is the longest lifetime of a directory answer.
	MaxTTL time.Duration
	// RetryRatio and RetrySlack bound the further attempts to a service, summed
	// over all instances, in a window of RetryWindow: ratio x requests + slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOvershoot and ColdSlack bound the requests per second to a cold
	// backend server: pace x overshoot + slack.
	ColdOvershoot float64
	ColdSlack     float64
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route; positive.
	Weight float64
}

// Route tells how the requests below a path prefix of a host are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	Targets    []Target
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// MaxAttempts is the most backend servers one request is sent to.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Sticky routes are faster at a backend server that knows the object.
	Sticky bool
	// HomeRegions, if any, are the only regions that may run the requests.
	HomeRegions []string
}

// Service is a set of backend servers that run the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the most connections a backend server takes from all callers.
	MaxConns int
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// ColdRate is the requests per second that a cold backend server bears.
	ColdRate float64
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	// Hosts maps a host name to its routes, the longest prefix first.
	Hosts map[string][]*Route
}

// Index sorts the routes of each host so that Match finds the longest prefix.
func (c *Config) Index() {
	for _, routes := range c.Hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Match returns the route of a host and path, or nil. The host may have a
// port, the path a query.
func (c *Config) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.Hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Backend is one incarnation of a backend server.
type Backend struct {
	ID      string
	Service string
	// Address is host:port; it may later belong to another backend server.
	Address string
	Zone    string
	Slots   int
	// Draining backend servers take no new requests.
	Draining bool
	// ColdUntil is when the backend server is warm again, on the clock of this
	// process; zero if it is not cold.
	ColdUntil time.Time
	// Incarnation is the start of the incarnation in Unix milliseconds, 0 if unknown.
	Incarnation int64
}

// Member is an entry instance as the others see it.
type Member struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress is the address for requests, Peer the one for other instances.
	CallerAddress string `json:"callers"`
	PeerAddress    string `json:"peer"`
	// Incarnation is the Unix nanosecond of the start, which tells a restart.
	Incarnation int64 `json:"incarnation"`
	// RowVersion is the version of the member's row in the store.
	RowVersion uint64 `json:"-"`
}

// PeerAddresses returns the names of instances and their peer addresses by name.
func PeerAddresses(members []Member) (names []string, addresses map[string]string) {
	addresses = make(map[string]string, len(members))
	for _, m := range members {
		names = append(names, m.Name)
		addresses[m.Name] = m.PeerAddress
	}
	return names, addresses
}
