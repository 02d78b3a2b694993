package control

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/health"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/pool"
)

// Periods and bounds of the health of backend servers.
const (
	// healthPeriod is the period of probes of owned backend servers.
	healthPeriod = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxHealthBytes bounds the answer of a health endpoint.
	maxHealthBytes = 4 << 10

	suspectAfter = 2
	ejectAfter   = 4
	ejectTime    = 2 * time.Second
	maxEjectTime = 30 * time.Second
	coldTime     = 5 * time.Second
	leaveHold    = 3 * time.Second
	evidenceTime = 3 * time.Second
	// maxEjected is in thousandths of the owned backend servers.
	maxEjected = 500
)

// healthState is the health of the owned backend servers.
type healthState struct {
	machine *health.Machine
	client  *http.Client
	// probing holds the backend servers with a probe on its way.
	probing map[string]bool
	// sent is what the zone was last told of the list.
	sent sentListed
	// listed holds the backend servers that a list has named: only their
	// absence from a later one of the same reader means anything.
	listed map[listing]bool
	// last is what a list said last, read here or by another relay.
	last listedBackends
}

func newHealthState(dial func(ctx context.Context, network, address string) (net.Conn, error)) *healthState {
	return &healthState{
		machine: health.New(health.Settings{
			SuspectAfter: suspectAfter, EjectAfter: ejectAfter, EjectTime: ejectTime, MaxEjectTime: maxEjectTime,
			ColdTime: coldTime, LeaveHold: leaveHold, InBandHold: evidenceTime, MaxEjectedPermille: maxEjected,
		}),
		// Each probe takes a fresh connection, so that it does not share the
		// fate of one that has gone silent.
		client:  &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
		probing: map[string]bool{},
		listed:  map[listing]bool{},
	}
}

// RecordBackendResult takes how a use of a backend server ended. It never blocks:
// results that control has no time for are dropped.
func (c *Control) RecordBackendResult(r pool.Result) {
	news, ok := newsOf(r)
	if !ok {
		return
	}
	if !c.offer(func(now time.Time) {
		c.health.machine.Step(health.Event{Name: r.Backend, Source: health.InBand, Signal: news, At: now})
	}) {
		c.Metrics.Count("health.results_dropped")
	}
}

// newsOf returns what a result says of the backend server; ok is false if it
// says nothing.
func newsOf(r pool.Result) (health.Signal, bool) {
	switch {
	case r.Draining:
		return health.Leaving, true
	case r.Cancelled, r.Shed:
		return 0, false
	case r.Outcome == outcome.Done && r.Status < http.StatusInternalServerError:
		return health.OK, true
	case r.Outcome == outcome.NotRun:
		return health.Refused, true
	}
	return health.Failed, true
}

// installHealth tells the machine which backend servers this instance owns.
func (c *Control) installHealth(now time.Time) {
	var declared []health.Backend
	zone := map[string]bool{}
	c.eachZoneBackend(func(_ *estate.Service, b estate.Backend) {
		zone[b.Name] = true
		if c.owners.held[b.Name] != nil {
			declared = append(declared, health.Backend{Name: b.Name, Draining: b.State.IsDraining(), Since: b.Since})
		}
	})
	c.health.machine.Update(now, declared)
	maps.DeleteFunc(c.health.listed, func(l listing, _ bool) bool { return !zone[l.backend] })
	c.stepLeaving(now)
}

func (c *Control) tickHealth(now time.Time) {
	c.health.machine.Tick(now)
	if due(&c.timers.health, now, healthPeriod) {
		c.probeBackends()
	}
}

// settleHealth logs changes and makes them known to the pool.
func (c *Control) settleHealth() {
	for _, ch := range c.health.machine.Ready() {
		c.dirty = true
		c.Log.Info().Str("backend", ch.Name).Str("from", ch.From.String()).Str("to", ch.To.String()).Msg("backend_state")
	}
}

func (c *Control) probeBackends() {
	c.eachZoneBackend(func(_ *estate.Service, b estate.Backend) {
		if c.owners.held[b.Name] == nil || c.health.probing[b.Name] {
			return
		}
		c.health.probing[b.Name] = true
		c.start(func(ctx context.Context) {
			news := c.askHealth(ctx, b.Address)
			c.post(func(now time.Time) {
				delete(c.health.probing, b.Name)
				c.health.machine.Step(health.Event{Name: b.Name, Source: health.Probe, Signal: news, At: now})
			})
		})
	})
}

// askHealth asks a backend server's health endpoint.
func (c *Control) askHealth(ctx context.Context, addr string) health.Signal {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return health.Failed
	}
	res, err := c.health.client.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return health.Refused
	}
	if err != nil {
		return health.Failed
	}
	defer res.Body.Close()
	var body struct {
		Draining bool `json:"draining"`
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxHealthBytes))
	if err == nil && json.Unmarshal(data, &body) == nil && body.Draining || res.Header.Get("Banyandeal-Draining") == "true" {
		return health.Leaving
	}
	if err != nil || res.StatusCode != http.StatusOK {
		return health.Failed
	}
	return health.OK
}

// siteEmptied reports whether a backend server's site is draining while its zone
// is not, and shifts have ended for long enough that callers know of it.
func (c *Control) siteEmptied(now time.Time, b estate.Backend) bool {
	e, r := c.steer.estate, c.ramp
	s, _ := e.SiteOf(b.Site)
	return s.State.IsDraining() && !e.ZoneDraining(b.Zone) && !r.moving && now.Sub(r.stillSince) >= c.longestTTL()
}

// standing is how far an owned backend server may be given new work, and since
// when it is cold.
func (c *Control) standing(now time.Time, b estate.Backend, h *holding) (balance.Standing, time.Time) {
	if h.stopping || b.State.IsDraining() || c.siteEmptied(now, b) {
		return balance.Ineligible, time.Time{}
	}
	state := c.health.machine.State(b.Name)
	var cold time.Time
	if until := c.health.machine.ColdUntil(b.Name); until.After(now) {
		cold = until.Add(-coldTime)
	}
	switch {
	case !state.TakesWork():
		return balance.Ineligible, cold
	case state == health.Suspect, c.steer.estate.BackendDraining(b):
		return balance.LastResort, cold
	}
	return balance.Eligible, cold
}
