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

// Parameters of the health checks of backend servers.
const (
	// healthProbeInterval is the interval between probes of an owned backend
	// server.
	healthProbeInterval = 500 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = time.Second
	// maxHealthBytes is the maximum size of a health endpoint's response body
	// that is read, in bytes.
	maxHealthBytes = 4 << 10

	// suspectAfter is the number of consecutive failures after which a backend
	// server is suspect.
	suspectAfter = 2
	// ejectAfter is the number of consecutive failures after which a backend
	// server is ejected.
	ejectAfter = 4
	// ejectTime is the duration of the first ejection. It doubles with each
	// further one, up to maxEjectTime.
	ejectTime = 2 * time.Second
	// maxEjectTime is the maximum duration of one ejection.
	maxEjectTime = 30 * time.Second
	// coldTime is how long a backend server is cold after it has started or
	// returned.
	coldTime = 5 * time.Second
	// leaveHold is how long a signal that a backend server is leaving overrides
	// other signals.
	leaveHold = 3 * time.Second
	// inBandHold is how long failed probes are ignored after a successful
	// request.
	inBandHold = 3 * time.Second
	// maxEjectedPermille is the maximum share of the owned backend servers that
	// are ejected at the same time, in thousandths.
	maxEjectedPermille = 500
)

// healthState tracks the health of the owned backend servers.
type healthState struct {
	machine *health.Machine
	client  *http.Client
	// probing holds the names of the backend servers with a probe in progress.
	probing map[string]bool
	// sentList is the backend list that this instance last published to its
	// zone.
	sentList sentBackendList
	// listed holds the backend servers that a reader's list has named
	// before. The absence of a backend server from a list counts only if an
	// earlier list of the same reader has named it.
	listed map[listEntry]bool
	// lastList is the content of the most recent list, read by this instance or
	// received from another relay.
	lastList listedBackends
}

func newHealthState(dial func(ctx context.Context, network, address string) (net.Conn, error)) *healthState {
	return &healthState{
		machine: health.New(health.Settings{
			SuspectAfter: suspectAfter, EjectAfter: ejectAfter, EjectTime: ejectTime, MaxEjectTime: maxEjectTime,
			ColdTime: coldTime, LeaveHold: leaveHold, InBandHold: inBandHold, MaxEjectedPermille: maxEjectedPermille,
		}),
		// Each probe opens a new connection, so that a broken kept-alive
		// connection does not fail it.
		client:  &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
		probing: map[string]bool{},
		listed:  map[listEntry]bool{},
	}
}

// RecordBackendResult records how a use of a backend server ended. It never
// blocks: if the event queue is full, the result is dropped and counted.
func (c *Control) RecordBackendResult(r pool.Result) {
	signal, ok := signalOf(r)
	if !ok {
		return
	}
	if !c.tryPost(func(now time.Time) {
		c.health.machine.Step(health.Event{Name: r.Backend, Source: health.InBand, Signal: signal, At: now})
	}) {
		c.Metrics.Count("health.results_dropped")
	}
}

// signalOf returns the health signal that a result carries. ok is false if the
// result carries none.
func signalOf(r pool.Result) (health.Signal, bool) {
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

// updateHealthBackends passes the backend servers that this instance owns to
// the health machine.
func (c *Control) updateHealthBackends(now time.Time) {
	var declared []health.Backend
	zone := map[string]bool{}
	c.eachZoneBackend(func(_ *estate.Service, b estate.Backend) {
		zone[b.Name] = true
		if c.owners.owned[b.Name] != nil {
			declared = append(declared, health.Backend{Name: b.Name, Draining: b.State.IsDraining(), Since: b.Since})
		}
	})
	c.health.machine.Update(now, declared)
	maps.DeleteFunc(c.health.listed, func(l listEntry, _ bool) bool { return !zone[l.backend] })
	c.applyListedLeaving(now)
}

func (c *Control) tickHealth(now time.Time) {
	c.health.machine.Tick(now)
	if due(&c.timers.health, now, healthProbeInterval) {
		c.probeBackends()
	}
}

// handleHealthOutput logs health state changes and marks the snapshot as
// outdated, so that the pool is updated with the next one.
func (c *Control) handleHealthOutput() {
	for _, ch := range c.health.machine.Ready() {
		c.dirty = true
		c.Log.Info().Str("backend", ch.Name).Str("from", ch.From.String()).Str("to", ch.To.String()).Msg("backend_state")
	}
}

func (c *Control) probeBackends() {
	c.eachZoneBackend(func(_ *estate.Service, b estate.Backend) {
		if c.owners.owned[b.Name] == nil || c.health.probing[b.Name] {
			return
		}
		c.health.probing[b.Name] = true
		c.start(func(ctx context.Context) {
			signal := c.probeHealth(ctx, b.Address)
			c.post(func(now time.Time) {
				delete(c.health.probing, b.Name)
				c.health.machine.Step(health.Event{Name: b.Name, Source: health.Probe, Signal: signal, At: now})
			})
		})
	})
}

// probeHealth sends one request to a backend server's health endpoint and
// returns the resulting signal.
func (c *Control) probeHealth(ctx context.Context, addr string) health.Signal {
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

// siteShifted reports whether the site of b is draining while its zone is not,
// and whether the traffic has moved away from it: all shifts have ended, and
// since then the longest lookup TTL has passed, so that callers hold no older
// lookup.
func (c *Control) siteShifted(now time.Time, b estate.Backend) bool {
	e, r := c.steer.estate, c.ramp
	s, _ := e.SiteOf(b.Site)
	return s.State.IsDraining() && !e.ZoneDraining(b.Zone) && !r.moving && now.Sub(r.settledSince) >= c.maxLookupTTL()
}

// eligibility returns whether an owned backend server may be given new requests,
// and since when it is cold. The time is zero if it is not cold.
func (c *Control) eligibility(now time.Time, b estate.Backend, h *ownedBackend) (balance.Eligibility, time.Time) {
	if h.releasing || b.State.IsDraining() || c.siteShifted(now, b) {
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
