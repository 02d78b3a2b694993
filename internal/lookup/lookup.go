// Package lookup answers callers who ask which entry instances to use. The
// answer comes from the local snapshot alone, also when everything else is
// down.
//
//	GET /v1/lookup?service=S&caller=ADDR   200 Answer
//
// Without caller, the address that the request came from is steered.
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

// Path is where callers ask.
const Path = "/v1/lookup"

const (
	// maxInstances bounds an answer.
	maxInstances = 6
	// firstZoneInstances is how many instances of the first zone an answer
	// names; one of each other zone follows.
	firstZoneInstances = 2
	// ttlJitter is the share by which TTLs are shortened at random, so that
	// callers do not come back together.
	ttlJitter = 0.2
	// overflowRetryAfter is when a caller comes back whose share of the demand
	// fits nowhere.
	overflowRetryAfter = 2 * time.Second
	// maxZones bounds the zones of one look-up.
	maxZones = placement.MaxZones
)

// Answer is what a caller gets.
type Answer struct {
	Service string `json:"service"`
	// Version is the configuration version that the answer follows.
	Version uint64 `json:"version"`
	// TTLMS is how long the answer may be kept, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Key is a fresh idempotency key whose home is the first instance.
	Key string `json:"key"`
	// Instances are the entry instances to use, best first.
	Instances []Instance `json:"instances"`
}

// Instance is one entry instance of an answer.
type Instance struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Handler serves look-ups.
type Handler struct {
	Snapshot func() *snapshot.Snapshot
	Metrics  *telemetry.Metrics
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	q := hr.URL.Query()
	caller, err := callerOf(q.Get("caller"), hr.RemoteAddr)
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
	// The answer is for one caller and has a key in it.
	w.Header().Set("Cache-Control", "private, max-age="+strconv.FormatInt(a.TTLMS/1000, 10))
	accept.ExtendWriteDeadline(w)
	// A caller that is gone does not read its answer.
	_ = json.NewEncoder(w).Encode(a)
}

func (h *Handler) fail(w http.ResponseWriter, err *outcome.Error) {
	h.Metrics.Count("lookup." + string(err.Kind))
	accept.WriteError(w, err)
}

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
		return Answer{}, outcome.NotRunError(outcome.KindNoCapacity, overflowRetryAfter, "no zone in reach has capacity for this caller")
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

func (h *Handler) key(s *estate.Service, home *snapshot.Instance) (string, error) {
	return keys.Issue(once.Home{Zone: home.Zone, ID: home.ID, Incarnation: home.Incarnation}, time.Now(), s.KeyTTL)
}

// Choose writes the entry instances for a caller to dst, best first, and
// returns their number. It allocates nothing. Callers of one block start at
// different instances of their zone, so that none is favoured.
func Choose(snap *snapshot.Snapshot, service string, caller netip.Addr, dst []*snapshot.Instance) int {
	table := snap.Tables[service]
	if table == nil {
		return 0
	}
	var zones [maxZones]placement.ZoneIndex
	order := table.Order(caller, zones[:0])
	spread := spreadOf(caller)
	n, first := 0, true
	for _, zi := range order {
		z := &snap.Zones[zi]
		if len(z.Instances) == 0 {
			continue
		}
		take := 1
		if first {
			take = min(firstZoneInstances, len(z.Instances))
		}
		for i := range take {
			if n == len(dst) {
				return n
			}
			dst[n] = &z.Instances[(spread+uint64(i))%uint64(len(z.Instances))]
			n++
		}
		first = false
	}
	return n
}

func spreadOf(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}

func callerOf(text, remote string) (netip.Addr, *outcome.Error) {
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
			"caller is %q", text)
	}
	return p.Addr().Unmap(), nil
}
