// Package directory answers callers that ask where to connect, and the
// operator's readiness checks.
package directory

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// maxAddresses is the most addresses in an answer.
const maxAddresses = 64

// ttl is how long callers keep an answer.
const ttl = 2 * time.Second

// Directory answers look-ups from the newest view.
type Directory struct {
	control  *control.Control
	settings *traffic.Settings
	stopping atomic.Bool
}

// New returns a directory.
func New(c *control.Control, s *traffic.Settings) *Directory {
	return &Directory{control: c, settings: s}
}

// Stop makes the instance not ready and keeps it out of its own answers.
func (d *Directory) Stop() { d.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (d *Directory) Stopping() bool { return d.stopping.Load() }

// Ready answers 200 while the instance takes requests.
func (d *Directory) Ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.control.View().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type resolveReply struct {
	Addresses []string `json:"addrs"`
	TTL       float64  `json:"ttl_s"`
}

// Resolve answers a look-up.
func (d *Directory) Resolve(w http.ResponseWriter, r *http.Request) {
	addresses := d.Addresses(r.URL.Query().Get("region"), r.URL.Query().Get("zone"))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	lifetime := min(ttl, d.settings.Bounds.MaxTTL)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(resolveReply{Addresses: addresses, TTL: lifetime.Seconds()})
}

// Addresses returns the instances for callers of an availability zone: those
// of the zone and of its region, else all.
func (d *Directory) Addresses(region, zone string) []string {
	v := d.control.View()
	var inZone, inRegion, all []string
	for _, m := range v.Members {
		if m.Name == d.settings.Instance && d.stopping.Load() {
			continue
		}
		all = append(all, m.CallerAddress)
		if d.settings.RegionOf[m.Zone] == region {
			inRegion = append(inRegion, m.CallerAddress)
		}
		if m.Zone == zone {
			inZone = append(inZone, m.CallerAddress)
		}
	}
	for _, list := range [][]string{inZone, inRegion, all} {
		if len(list) >= minChoices {
			return list[:min(len(list), maxAddresses)]
		}
	}
	return all
}

// minChoices is how many instances an answer names at least, so that a caller
// has another one when its first fails.
const minChoices = 2
