// Package control holds the state that an entry instance routes requests by:
// the configuration, the backend servers, the evacuated availability zones and
// the entry instances. One goroutine applies the updates of the feeds and
// publishes immutable views.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// missingCheckInterval is the time between checks of whether backend servers
// whose entries vanished during a store outage are to be removed.
const missingCheckInterval = 100 * time.Millisecond

// Control applies updates and publishes views. Its methods are safe for
// concurrent use; Run must be called once.
type Control struct {
	updates chan Update
	current atomic.Pointer[View]
	log     zerolog.Logger
	ends    EndObserver
	// operatorReadAt returns when the store's response arrived by which the operator's table is
	// known.
	operatorReadAt func() time.Time
	// OnInForce is called with the time from the arrival of an update until it is in force.
	// It may be nil, must be set before Run and must not block.
	OnInForce func(k Kind, delay time.Duration)
}

// EndObserver is told of backend servers that end without having announced it. Its methods
// must not block.
type EndObserver interface {
	// Restarted reports that another incarnation has the place of a backend server.
	Restarted(former *traffic.Backend)
	// Lapsed reports that a backend server has stopped its heartbeats.
	Lapsed(former *traffic.Backend)
}

// New returns a Control whose view is empty. ends is told of backend servers that end
// unannounced. operatorReadAt returns when the store's response arrived by which the operator's
// table is known.
func New(ends EndObserver, operatorReadAt func() time.Time, log zerolog.Logger) *Control {
	c := &Control{updates: make(chan Update, 16), ends: ends, operatorReadAt: operatorReadAt, log: log}
	c.current.Store(newState().view())
	return c
}

// View returns the latest published view.
func (c *Control) View() *View { return c.current.Load() }

// Push sends an update to the goroutine of Run. It blocks until the update is
// queued or ctx ends; in the latter case the update is dropped.
func (c *Control) Push(ctx context.Context, u Update) {
	select {
	case c.updates <- u:
	case <-ctx.Done():
	}
}

// Run applies updates and publishes a new view after each change. It returns
// when ctx ends.
func (c *Control) Run(ctx context.Context) {
	s := newState()
	ticker := time.NewTicker(missingCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			missing, evacuations := s.expireMissing(now), s.expireEvacuations(c.operatorReadAt())
			c.publish(s, missing || evacuations)
			c.logEvacuations(s.takeEvacuationChanges(), Origin{})
		case u := <-c.updates:
			c.reportEnds(s, u, time.Now())
			c.publish(s, s.apply(u, time.Now()))
			c.reportDelay(u)
			c.logUpdate(u, s.config)
			c.logEvacuations(s.takeEvacuationChanges(), u.Origin)
		}
	}
}

// publish publishes a new view if the state has changed.
func (c *Control) publish(s *state, changed bool) {
	if changed {
		c.current.Store(s.view())
	}
}

// reportDelay tells how long after its arrival an update is in force.
func (c *Control) reportDelay(u Update) {
	if c.OnInForce != nil && !u.Origin.Arrived.IsZero() {
		c.OnInForce(u.Kind, time.Since(u.Origin.Arrived))
	}
}

// logEvacuations logs evacuations that began or ended by an update of the given origin,
// which is empty if they ended by themselves.
func (c *Control) logEvacuations(changes []evacuationChange, o Origin) {
	for _, change := range changes {
		e := c.log.Info().Str("event", "evacuation").Str("zone", change.zone).Bool("on", change.on).Str("cause", string(change.cause))
		if !o.Arrived.IsZero() {
			e.Str("source", o.Source).Uint64("era", o.Era).Uint64("version", o.Version).
				Dur("age", time.Since(o.StoreReadAt)).Dur("delay", time.Since(o.Arrived))
		}
		e.Msg("")
	}
}

// reportEnds tells of the backend servers that an update shows to have ended.
func (c *Control) reportEnds(s *state, u Update, now time.Time) {
	for _, former := range s.lapsed(u, now) {
		c.ends.Lapsed(former)
	}
	for _, former := range s.replaced(u, now) {
		c.ends.Restarted(former)
	}
}

// logUpdate logs the contents of an update, after which the given configuration is in
// force.
func (c *Control) logUpdate(u Update, inForce *traffic.Config) {
	switch {
	case u.Lost:
		c.log.Warn().Str("event", "store_lost").Stringer("feed", u.Kind).Msg("the store is unreachable; the last known state stays in use until the store returns")
	case u.Regained:
		c.log.Info().Str("event", "store_regained").Stringer("feed", u.Kind).Dur("away", u.OutageDuration).Msg("")
	}
	switch {
	case u.Config == nil:
	case u.Config == inForce:
		c.log.Info().Str("event", "config").Uint64("version", u.Config.Version).Int("hosts", len(u.Config.Hosts)).Msg("")
	default:
		c.log.Info().Str("event", "config_ignored").Uint64("version", u.Config.Version).Uint64("in_force", inForce.Version).Msg("the configuration is not newer than the one in force")
	}
	for id, b := range u.Backends {
		switch {
		case b == nil:
			c.log.Info().Str("event", "backend_removed").Str("backend", id).Msg("")
		case b.Draining:
			c.log.Info().Str("event", "backend_draining").Str("backend", id).Str("address", b.Address).Msg("")
		case !u.Full:
			e := c.log.Info().Str("event", "backend").Str("backend", id).Str("address", b.Address).Str("zone", b.Zone)
			if b.Born > 0 {
				e.Int64("born", b.Born)
			}
			if !b.ColdUntil.IsZero() {
				e.Time("cold_until", b.ColdUntil)
			}
			e.Msg("")
		}
	}
}
