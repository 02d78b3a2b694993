// Package traffic defines the types that the entry instance routes requests by:
// settings, routes, services and backend servers. The platform adapter decodes
// the external formats to these types; this package does not depend on them.
package traffic

import (
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/credential"
)

// Settings holds the start settings of a process.
type Settings struct {
	// Instance is the name of this entry instance. It stays the same over
	// restarts.
	Instance string
	// Zone is the availability zone of this instance.
	Zone string
	// Region is the region of Zone.
	Region string
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
	// Listen holds the addresses that this instance listens on.
	Listen Listen
	// PeerPort is the TCP port for traffic between instances.
	PeerPort int
	// IP is the address of this instance, without a port.
	IP string
	// Store describes the platform's store.
	Store Store
	// Bounds holds the limits that the operator has set.
	Bounds Bounds
	// MemoryBytes is the memory size above which the process is killed.
	MemoryBytes int64
	// LinkMbps is the rate of the instance's link in Mbit/s, Cores the part of a core
	// that it may use; 0 if unknown.
	LinkMbps, Cores float64
}

// mbpsPerCore is the rate in Mbit/s at which one core passes on what it receives.
const mbpsPerCore = 250

// RelayCapacity returns what the instance can pass on to others, in Mbit/s; 0 if unknown.
func (s *Settings) RelayCapacity() float64 { return min(s.LinkMbps, s.Cores*mbpsPerCore) }

// Listen holds the addresses of the listeners, as host:port.
type Listen struct {
	// Callers receives the requests of callers.
	Callers string
	// Ready serves the readiness checks.
	Ready string
	// Directory serves the lookups of instance addresses.
	Directory string
	// Metrics serves the metrics as text. If it is empty, metrics are not
	// served.
	Metrics string
}

// Store holds the address and the properties of the platform's store.
type Store struct {
	// Address is host:port.
	Address string
	// HistoryRetention is how long the store keeps the changes that feeds read.
	HistoryRetention time.Duration
}

// Bounds holds the time limits and ratios that the operator has set.
type Bounds struct {
	// DeadInstanceListing is how long lookup responses may list a dead
	// instance, beyond the allowed margin.
	DeadInstanceListing time.Duration
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// MaxTTL is the longest lifetime of a lookup response.
	MaxTTL time.Duration
	// RetryRatio is the number of retries per request that the retry budget of
	// a service allows. The budget is RetryRatio x requests + RetrySlack,
	// summed over all instances, in each window of RetryWindow.
	RetryRatio float64
	// RetrySlack is the number of retries that the retry budget allows in a
	// window regardless of the number of requests.
	RetrySlack float64
	// RetryWindow is the time window of the retry budget.
	RetryWindow time.Duration
	// ColdOvershoot is the factor by which the requests per second to a cold
	// backend server may exceed its rate. The limit is
	// rate x ColdOvershoot + ColdSlack.
	ColdOvershoot float64
	// ColdSlack is the number of requests per second to a cold backend server
	// that are allowed on top of rate x ColdOvershoot.
	ColdSlack float64
	// Quota is the tolerance of the quotas of client accounts.
	Quota QuotaBounds
	// RevocationTime is how long an instance that cannot read the configuration may accept
	// keys, which may have been removed; 0 is no limit.
	RevocationTime time.Duration
}

// QuotaBounds is the tolerance of the quotas of client accounts: in each span of Window at most
// (rate x Window + burst) x (1 + Overshoot) + Slack requests of an account may run.
type QuotaBounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Limits bounds the requests of callers.
type Limits struct {
	// HeaderBytes is the maximum size of the request header.
	HeaderBytes int
	// BodyBytes is the maximum size of the request body.
	BodyBytes int64
	// HeaderTimeout bounds the time to read the request header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time that a connection waits for a request, and
	// the time to read a request body.
	IdleTimeout time.Duration
	// Provisional is set for limits that are in use until a configuration has been
	// received. It may allow larger requests.
	Provisional bool
}

// Target is one service of a route with its share of the requests.
type Target struct {
	// Service is the name of the service.
	Service string
	// Weight is the share of the requests, relative to the other targets of the
	// route. It is positive.
	Weight float64
}

// Route defines how the requests below a path prefix of a host are handled.
type Route struct {
	// Name identifies the route in logs and metrics.
	Name string
	// Host is the host name of the requests, without a port.
	Host string
	// Prefix is the path prefix of the requests. It begins and ends with a
	// slash.
	Prefix string
	// Kind says whether the requests may run more than once.
	Kind RouteKind
	// Targets holds the services that the requests are split among.
	Targets []Target
	// Timeout is the maximum time until the caller receives a response.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a response has
	// its full value.
	Objective time.Duration
	// MaxAttempts is the maximum number of backend servers that one request is
	// sent to.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Sticky is set when requests run faster on a backend server that has
	// served the same object before.
	Sticky bool
	// HomeRegions holds the only regions that may run the requests. If it is
	// empty, all regions may.
	HomeRegions []string
	// Public is set if callers need no key of a client account.
	Public bool
}

// Service is a set of backend servers that run the same requests.
type Service struct {
	// Name identifies the service.
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns is the maximum number of connections that a backend server
	// accepts, summed over all its clients.
	MaxConns int
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// ColdRate is the rate that a cold backend server can handle, in requests
	// per second.
	ColdRate float64
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version grows with each change of the configuration.
	Version uint64
	// Limits bounds the requests of callers.
	Limits Limits
	// Services maps a service name to the service.
	Services map[string]*Service
	// Hosts maps a host name to its routes.
	Hosts map[string][]*Route
	// Accounts holds the client accounts by name. Without any, callers need no key.
	Accounts map[string]*Account
	// Keys maps the digest of each key to the account that holds it.
	Keys map[credential.Digest]*Account
	// index holds the routes of each host as Match needs them. Index sets it.
	index map[string]*hostIndex
	// hasHomes is set by Index if a route or a client account has home regions.
	hasHomes bool
	// largeHosts holds the hosts that have a route with large bodies.
	largeHosts map[string]bool
}

// HasLargeBodies reports whether a route of a host, which may include a port, has large bodies.
func (c *Config) HasLargeBodies(host string) bool { return c.largeHosts[hostName(host)] }

// HasHomes reports whether a route or a client account has home regions.
func (c *Config) HasHomes() bool { return c.hasHomes }

// Index builds what Match and HasHomes read. It must be called before them, and again after
// a change of Hosts or Accounts.
func (c *Config) Index() {
	c.index, c.hasHomes, c.largeHosts = make(map[string]*hostIndex, len(c.Hosts)), false, map[string]bool{}
	for host, routes := range c.Hosts {
		c.index[host] = newHostIndex(routes)
		for _, r := range routes {
			c.hasHomes = c.hasHomes || len(r.HomeRegions) > 0
			if r.Kind.Large() {
				c.largeHosts[host] = true
			}
		}
	}
	for _, a := range c.Accounts {
		c.hasHomes = c.hasHomes || len(a.HomeRegions) > 0
	}
}

// Match returns the route with the longest prefix that matches host and path, or
// nil if there is none. host may include a port, and path may include a query.
func (c *Config) Match(host, path string) *Route {
	routes := c.index[hostName(host)]
	if routes == nil {
		return nil
	}
	path, _, _ = strings.Cut(path, "?")
	return routes.match(path)
}

// hostName returns a host as Config has it: without its port, in small letters.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// Backend is one incarnation of a backend server.
type Backend struct {
	// ID identifies the backend server.
	ID string
	// Service is the name of the service that the backend server runs.
	Service string
	// Address is host:port. It may later belong to another backend server.
	Address string
	// Zone is the availability zone of the backend server.
	Zone string
	// Slots is the number of requests that the backend server runs at a time.
	Slots int
	// Draining is set when the backend server accepts no new requests.
	Draining bool
	// ColdUntil is when the backend server stops being cold, on the clock of
	// this process. It is zero if the backend server is not cold.
	ColdUntil time.Time
	// Born is the start time of the incarnation in Unix milliseconds, 0
	// if unknown.
	Born int64
	// Seq counts what the incarnation has reported of itself.
	Seq int64
}

// Member is the entry that an entry instance publishes in the store.
type Member struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Callers is the address for requests of callers.
	Callers string `json:"callers"`
	// Peer is the address for traffic between instances.
	Peer string `json:"peer"`
	// Capacity is what the instance can pass on to others, in Mbit/s; 0 if unknown.
	Capacity float64 `json:"capacity,omitempty"`
	// Incarnation is the start time of the process in Unix nanoseconds. It
	// changes with each restart.
	Incarnation int64 `json:"incarnation"`
	// RowVersion is the version of the member's row in the store.
	RowVersion uint64 `json:"-"`
}
