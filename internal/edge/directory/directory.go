// Package directory serves the lookups by which callers find the addresses of
// entry instances, and the operator's readiness checks.
package directory

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/lookup"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/random"
)

// maxAddresses is the maximum number of addresses in a lookup response.
const maxAddresses = 64

// lookupTTL is how long callers may cache a lookup response.
const lookupTTL = 2 * time.Second

// Directory serves lookups from the current view. It is safe for concurrent use.
type Directory struct {
	control  *control.Control
	settings *traffic.Settings
	// isDead reports whether this instance holds another one for dead, whose entry may
	// still be there.
	isDead func(instance string) bool
	random *random.Source
	// stopping is set during a planned shutdown.
	stopping atomic.Bool
}

// New returns a Directory that does not name the instances for which isDead returns true.
func New(c *control.Control, s *traffic.Settings, isDead func(instance string) bool, r *random.Source) *Directory {
	return &Directory{control: c, settings: s, isDead: isDead, random: r}
}

// Stop makes the readiness check fail and removes the instance from its own
// lookup responses.
func (d *Directory) Stop() { d.stopping.Store(true) }

// Stopping reports whether Stop has been called.
func (d *Directory) Stopping() bool { return d.stopping.Load() }

// Ready responds to a readiness check: 200 while the instance accepts requests,
// else 503. An instance without a configuration is not ready.
func (d *Directory) Ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.control.View().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// resolveResponse is the JSON body of a lookup response.
type resolveResponse struct {
	// Addresses holds the addresses as host:port.
	Addresses []string `json:"addrs"`
	// TTL is how long the response may be cached, in seconds.
	TTL float64 `json:"ttl_s"`
}

// Resolve responds to a lookup, with 503 if no instance is known.
func (d *Directory) Resolve(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	addresses := d.Addresses(Query{Host: values.Get("name"), Region: values.Get("region"), Zone: values.Get("zone")})
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	lifetime := min(lookupTTL, d.settings.Bounds.MaxTTL)
	// The encoding fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(resolveResponse{Addresses: addresses, TTL: lifetime.Seconds()})
}

// minAddresses is the number of instances below which a lookup response names those of a
// wider area too, so that a caller has an alternative when its first choice fails.
const minAddresses = 2

// Query is what a caller asks for.
type Query struct {
	// Host is the host that the caller sends requests to; it may be empty.
	Host string
	// Region and Zone are those of the caller.
	Region, Zone string
}

// Addresses returns the addresses of the instances in the availability zone. If
// there are fewer than minAddresses, it returns those in the region, and if these
// are too few as well, all instances. While a route has home regions, one instance in the
// region is enough: those of other regions may be in neither a home nor the caller's region.
// Callers of a host with large bodies get the addresses of the wide ones among them.
func (d *Directory) Addresses(q Query) []string {
	v := d.control.View()
	chosen := d.nearest(v, q)
	if v.Config != nil && v.Config.HasLargeBodies(q.Host) {
		chosen = lookup.Wide(chosen, minAddresses)
	}
	addresses := make([]string, len(chosen))
	for n, m := range chosen {
		addresses[n] = m.Callers
	}
	return addresses
}

// nearest returns the instances from which Addresses chooses, maxAddresses at most.
func (d *Directory) nearest(v *control.View, q Query) []traffic.Member {
	first, capacity := 0, len(v.Members)
	if len(v.Members) > maxAddresses {
		// A response has no room for all; each is to be named about equally often.
		first, capacity = d.random.IntN(len(v.Members)), maxAddresses
	}
	inZone, inRegion, all := make([]traffic.Member, 0, capacity), make([]traffic.Member, 0, capacity), make([]traffic.Member, 0, capacity)
	for n := range v.Members {
		m := &v.Members[(first+n)%len(v.Members)]
		if m.Name == d.settings.Instance && d.stopping.Load() || d.isDead(m.Name) {
			continue
		}
		all = appendBounded(all, *m)
		if d.settings.RegionOf[m.Zone] == q.Region {
			inRegion = appendBounded(inRegion, *m)
		}
		if m.Zone == q.Zone {
			inZone = appendBounded(inZone, *m)
		}
	}
	switch {
	case len(inZone) >= minAddresses:
		return inZone
	case len(inRegion) >= minAddresses, len(inRegion) > 0 && v.Config != nil && v.Config.HasHomes():
		return inRegion
	}
	return all
}

// appendBounded appends an instance to a list that has fewer than maxAddresses.
func appendBounded(list []traffic.Member, m traffic.Member) []traffic.Member {
	if len(list) >= maxAddresses {
		return list
	}
	return append(list, m)
}
