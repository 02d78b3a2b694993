// Package lookup serves lookups, in which callers ask which entry instances to
// use. It reads only the local snapshot, so lookups work even if all other parts
// of the system are down.
//
//	GET /v1/lookup?service=S&caller=ADDR   200 Answer
//
// If the parameter caller is missing, the source address of the request is used
// instead.
package lookup

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter/accept"
	"github.com/banyandeal/banyandeal/internal/keys"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/snapshot"
	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// Path is the path of lookups.
const Path = "/v1/lookup"

const (
	// maxInstances is the largest number of instances in an answer.
	maxInstances = 6
	// firstZoneInstances is the largest number of instances of the first zone in
	// an answer. One instance of each other zone follows.
	firstZoneInstances = 2
	// ttlJitter is the largest share by which a TTL is shortened at random, so
	// that callers do not repeat their lookups at the same time.
	ttlJitter = 0.2
	// noCapacityRetryAfter is the delay after which a caller should retry if no
	// zone has capacity for it.
	noCapacityRetryAfter = 2 * time.Second
	// maxZones is the largest number of zones in one lookup.
	maxZones = placement.MaxZones
)

// Answer is the response to a lookup.
type Answer struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Version is the version of the configuration that the answer is based on.
	Version uint64 `json:"version"`
	// TTLMS is the time for which the answer may be cached, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Key is a new idempotency key whose home is the first instance.
	Key string `json:"key"`
	// Instances lists the entry instances to use, most preferred first.
	Instances []Instance `json:"instances"`
}

// Instance is one entry instance of an answer.
type Instance struct {
	// ID is the id of the instance.
	ID string `json:"id"`
	// Zone is the name of the availability zone of the instance.
	Zone string `json:"zone"`
	// Address is the address of the instance for callers, host:port.
	Address string `json:"address"`
}

// Handler serves lookups.
type Handler struct {
	// Snapshot returns the current snapshot.
	Snapshot func() *snapshot.Snapshot
	Metrics  *telemetry.Metrics
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	q := hr.URL.Query()
	caller, err := parseCaller(q.Get("caller"), hr.RemoteAddr)
	if err != nil {
		h.fail(w, err)
		return
	}
	a, err := h.answer(q.Get("service"), caller)
	if err != nil {
		h.fail(w, err)
		return
	}
	h.Metrics.Count("lookup.answered")
	w.Header().Set("Content-Type", "application/json")
	// A shared cache must not store the answer, because it contains a key for one
	// caller.
	w.Header().Set("Cache-Control", "private, max-age="+strconv.FormatInt(a.TTLMS/1000, 10))
	accept.ExtendWriteDeadline(w)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(a)
}

// fail counts and writes an error.
func (h *Handler) fail(w http.ResponseWriter, err *outcome.Error) {
	h.Metrics.Count("lookup." + string(err.Kind))
	accept.WriteError(w, err)
}

// answer returns the answer for a caller of the service.
func (h *Handler) answer(service string, caller netip.Addr) (Answer, *outcome.Error) {
	snap := h.Snapshot()
	if !snap.Ready() {
		return Answer{}, outcome.NotRunError(outcome.KindNotReady, time.Second, "this instance has no configuration yet")
	}
	s := snap.Estate.ServiceOf(service)
	if s == nil {
		return Answer{}, outcome.RejectedError(outcome.KindUnknownService, "ask for a declared service", "no service %q", service)
	}
	var found [maxInstances]*snapshot.Instance
	n := Choose(snap, service, caller, found[:])
	if n == 0 {
		return Answer{}, outcome.NotRunError(outcome.KindNoCapacity, noCapacityRetryAfter, "no reachable zone has capacity for this caller")
	}
	key, err := h.key(s, found[0])
	if err != nil {
		return Answer{}, outcome.AsError(err)
	}
	ttl := time.Duration(float64(s.LookupTTL) * (1 - ttlJitter*rand.Float64()))
	a := Answer{Service: service, Version: snap.Estate.Version, TTLMS: ttl.Milliseconds(), Key: key, Instances: make([]Instance, n)}
	for i, in := range found[:n] {
		a.Instances[i] = Instance{ID: in.ID, Zone: in.Zone, Address: in.Caller}
	}
	return a, nil
}

// key issues a key of the service whose home is the given instance.
func (h *Handler) key(s *estate.Service, home *snapshot.Instance) (string, error) {
	return keys.Issue(once.Home{Zone: home.Zone, ID: home.ID, Incarnation: home.Incarnation}, time.Now(), s.KeyTTL)
}

// Choose writes the entry instances for a caller to dst, most preferred first, and
// returns their number. It does not allocate. Callers of the same block start at
// different instances of their zone, so that the load is spread over the
// instances.
func Choose(snap *snapshot.Snapshot, service string, caller netip.Addr, dst []*snapshot.Instance) int {
	table := snap.Tables[service]
	if table == nil {
		return 0
	}
	var zones [maxZones]placement.ZoneIndex
	order := table.Order(caller, zones[:0])
	offset := instanceOffset(caller)
	n, first := 0, true
	for _, zi := range order {
		z := &snap.Zones[zi]
		if len(z.Instances) == 0 {
			continue
		}
		count := 1
		if first {
			count = min(firstZoneInstances, len(z.Instances))
		}
		for i := range count {
			if n == len(dst) {
				return n
			}
			dst[n] = &z.Instances[(offset+uint64(i))%uint64(len(z.Instances))]
			n++
		}
		first = false
	}
	return n
}

// instanceOffset returns a hash of the address.
func instanceOffset(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}

// parseCaller returns the address in text, or the first address of the block in
// text. If text is empty, it returns the address in remote, or the invalid address
// if remote is malformed.
func parseCaller(text, remote string) (netip.Addr, *outcome.Error) {
	if text == "" {
		ap, err := netip.ParseAddrPort(remote)
		if err != nil {
			return netip.Addr{}, nil
		}
		return ap.Addr().Unmap(), nil
	}
	a, err := netip.ParseAddr(text)
	if err == nil {
		return a.Unmap(), nil
	}
	p, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Addr{}, outcome.RejectedError(outcome.KindBadRequest, "give an IP address or a block such as 10.0.0.0/24",
			"the parameter caller is %q", text)
	}
	return p.Addr().Unmap(), nil
}
