package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
)

// Timeouts of a planned shutdown. They begin when the cached lookups have
// expired.
const (
	// rowHandoverTimeout is the maximum wait for the zone's owners row to be
	// updated, so that a platform outage does not delay the shutdown.
	rowHandoverTimeout = 5 * time.Second
	// keyHandoverTimeout is the maximum wait for a successor to take over the
	// keys.
	keyHandoverTimeout = 5 * time.Second
)

// leavingState is the state of a planned shutdown.
type leavingState struct {
	// servedUntil is when all cached lookups that name this instance have
	// expired.
	servedUntil time.Time
	// handoverStarted is set once the handover of the keys has been started, or
	// there was no successor for them.
	handoverStarted bool
	// done is closed, and set to nil, when everything has been handed over.
	done chan struct{}
}

// Leave starts a planned shutdown. It returns when everything has been handed
// over, so that only callers' requests in flight remain, or when ctx or the
// control goroutine ends.
func (c *Control) Leave(ctx context.Context) {
	done := make(chan struct{})
	_, ok := runSync(ctx, c, func(now time.Time) struct{} {
		c.leaving = &leavingState{servedUntil: now.Add(c.maxLookupTTL() + c.Settings.Timing.ShutdownMargin), done: done}
		c.members.Leave(now)
		c.owners.machine.Leave(now)
		c.Links.WithMachine(func(m *linkcap.Machine) { m.Leave(now) })
		c.dirty = true
		c.Log.Info().Time("served_until", c.leaving.servedUntil).Msg("leaving")
		return struct{}{}
	})
	if !ok {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// maxLookupTTL returns the longest time that callers may use a cached lookup.
func (c *Control) maxLookupTTL() time.Duration {
	var ttl time.Duration
	if c.steer.estate != nil {
		for _, s := range c.steer.estate.Services {
			ttl = max(ttl, s.LookupTTL)
		}
	}
	return ttl
}

// tickLeaving advances a planned shutdown.
func (c *Control) tickLeaving(now time.Time) {
	l := c.leaving
	if l == nil || l.done == nil || now.Before(l.servedUntil) {
		return
	}
	if !l.handoverStarted {
		l.handoverStarted = true
		if to, ok := c.successor(); ok {
			c.Keeper.Step(once.StartHandover{To: to})
			c.Log.Info().Str("to", to.String()).Msg("keys_handed_over")
		}
	}
	waited := now.Sub(l.servedUntil)
	if len(c.usable(c.Self.Zone)) == 0 {
		c.owners.machine.ForceLeave(now)
	}
	if !c.owners.machine.LeaveComplete() && waited < rowHandoverTimeout {
		return
	}
	if !c.Keeper.HandoverComplete() && waited < keyHandoverTimeout {
		return
	}
	c.Log.Info().Bool("owners_released", c.owners.machine.LeaveComplete()).Bool("keys_quiet", c.Keeper.HandoverComplete()).Msg("handed_over")
	close(l.done)
	l.done = nil
}

// successor returns the instance that takes over the authority over keys: a
// usable instance of the own zone, or else one of another zone.
func (c *Control) successor() (once.Home, bool) {
	view := c.members.View()
	if h, ok := successorIn(view.Zone(c.Self.Zone), c.Self.Identity); ok {
		return h, true
	}
	for _, z := range view.Zones {
		if h, ok := successorIn(z, c.Self.Identity); ok {
			return h, true
		}
	}
	return once.Home{}, false
}

func successorIn(z membership.ZoneView, self membership.Identity) (once.Home, bool) {
	for _, in := range z.Usable() {
		if in.Identity != self {
			return homeOf(in), true
		}
	}
	return once.Home{}, false
}

func homeOf(in membership.Instance) once.Home {
	return once.Home{Zone: in.Zone, ID: in.ID, Incarnation: in.Incarnation}
}

// ErrDeclaredGone is the error with which an instance ends when other instances
// have declared its incarnation gone.
var ErrDeclaredGone = errors.New("other instances have declared this incarnation gone and may have taken over its backend servers; restart the instance")

// handleDeclaredGone stops the instance after other instances have declared its
// incarnation gone. Another instance may have taken over what this one owned,
// so it gives up its backend servers, acquires nothing new and uses no link.
func (c *Control) handleDeclaredGone() {
	if c.declaredGone {
		return
	}
	c.declaredGone = true
	c.Links.Stop()
	c.Log.Error().Err(ErrDeclaredGone).Msg("condemned")
	clear(c.owners.owned)
	c.dirty = true
	select {
	case c.fatal <- ErrDeclaredGone:
	default:
	}
}

// Fatal returns a channel that delivers the error after which this incarnation
// must end.
func (c *Control) Fatal() <-chan error { return c.fatal }
