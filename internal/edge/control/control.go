// Package control owns what an entry instance believes: the configuration, the
// backend servers, the evacuated zones and the other instances. One goroutine
// takes updates from the feeds and publishes immutable views.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// settleInterval is how often entries that vanished in an outage are looked at.
const settleInterval = 100 * time.Millisecond

// Control publishes views. Its methods are safe for concurrent use.
type Control struct {
	updates chan Update
	current atomic.Pointer[View]
	log     zerolog.Logger
}

// New returns a Control whose view is empty.
func New(log zerolog.Logger) *Control {
	c := &Control{updates: make(chan Update, 16), log: log}
	c.current.Store(newState().view())
	return c
}

// View returns the newest view.
func (c *Control) View() *View { return c.current.Load() }

// Push hands an update to the control goroutine.
func (c *Control) Push(ctx context.Context, u Update) {
	select {
	case c.updates <- u:
	case <-ctx.Done():
	}
}

// Run owns the state until ctx ends.
func (c *Control) Run(ctx context.Context) {
	s := newState()
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			changed = s.tick(now)
		case u := <-c.updates:
			changed = s.apply(u, time.Now())
			c.report(u)
		}
		if changed {
			c.current.Store(s.view())
		}
	}
}

// report logs what changed the instance's beliefs.
func (c *Control) report(u Update) {
	switch {
	case u.StoreLost:
		c.log.Warn().Str("event", "store_lost").Stringer("feed", u.Kind).Msg("the store cannot be reached; what is known stays in use")
	case u.StoreRegained:
		c.log.Info().Str("event", "store_regained").Stringer("feed", u.Kind).Dur("away", u.OutageDuration).Msg("")
	}
	if u.Config != nil {
		c.log.Info().Str("event", "config").Uint64("version", u.Config.Version).Int("hosts", len(u.Config.Hosts)).Msg("")
	}
	for zone, on := range u.Evacuated {
		c.log.Info().Str("event", "evacuation").Str("zone", zone).Bool("on", on).Msg("")
	}
	for id, b := range u.Backends {
		switch {
		case b == nil:
			c.log.Info().Str("event", "backend_removed").Str("backend", id).Msg("")
		case b.Draining:
			c.log.Info().Str("event", "backend_draining").Str("backend", id).Str("address", b.Address).Msg("")
		case !u.Full:
			e := c.log.Info().Str("event", "backend").Str("backend", id).Str("address", b.Address).Str("zone", b.Zone)
			if b.Incarnation > 0 {
				e.Int64("born", b.Incarnation)
			}
			if !b.ColdUntil.IsZero() {
				e.Time("cold_until", b.ColdUntil)
			}
			e.Msg("")
		}
	}
}
