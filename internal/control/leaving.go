package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
)

// Bounds of a planned stop, after the cached look-ups have run out.
const (
	// handoverTimeout bounds the wait for the zone's row, so that a platform
	// that is down does not hold up a stop.
	handoverTimeout = 5 * time.Second
	// keysTimeout bounds the wait for a successor of the keys.
	keysTimeout = 5 * time.Second
)

// leavingState is the state of a planned stop.
type leavingState struct {
	// servedUntil is when cached look-up answers have run out.
	servedUntil time.Time
	// keysGiven is set once the handover of keys has begun.
	keysGiven bool
	done      chan struct{}
}

// Leave begins the planned stop and returns when nothing is left to do but to
// let callers' requests end. It returns early when ctx ends.
func (c *Control) Leave(ctx context.Context) {
	done := make(chan struct{})
	_, ok := ask(ctx, c, func(now time.Time) struct{} {
		c.leaving = &leavingState{servedUntil: now.Add(c.longestTTL() + c.Settings.Timing.ShutdownMargin), done: done}
		c.members.Leave(now)
		c.owners.machine.Leave(now)
		c.Links.With(func(m *linkcap.Machine) { m.Leave(now) })
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

// longestTTL is how long callers may go on with an old look-up.
func (c *Control) longestTTL() time.Duration {
	var ttl time.Duration
	if c.steer.estate != nil {
		for _, s := range c.steer.estate.Services {
			ttl = max(ttl, s.LookupTTL)
		}
	}
	return ttl
}

func (c *Control) tickLeaving(now time.Time) {
	l := c.leaving
	if l == nil || l.done == nil || now.Before(l.servedUntil) {
		return
	}
	if !l.keysGiven {
		l.keysGiven = true
		if to, ok := c.successor(); ok {
			c.Keeper.Step(once.StartHandover{To: to})
			c.Log.Info().Str("to", to.String()).Msg("keys_handed_over")
		}
	}
	waited := now.Sub(l.servedUntil)
	if len(c.usable(c.Self.Zone)) == 0 {
		c.owners.machine.ForceLeave(now)
	}
	if !c.owners.machine.LeaveComplete() && waited < handoverTimeout {
		return
	}
	if !c.Keeper.Quiet() && waited < keysTimeout {
		return
	}
	c.Log.Info().Bool("owners_released", c.owners.machine.LeaveComplete()).Bool("keys_quiet", c.Keeper.Quiet()).Msg("handed_over")
	close(l.done)
	l.done = nil
}

// successor chooses who takes the authority over keys: a live instance of the
// zone, else one of another zone.
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

// ErrCondemned is the end of an instance that others hold for dead.
var ErrCondemned = errors.New("other instances hold this incarnation for dead and may have taken over what it owned; start it anew")

// condemned stops this instance from taking work and ends Run. What it held may
// be another's by now: it takes nothing new on, and uses no link.
func (c *Control) condemned() {
	if c.isCondemned {
		return
	}
	c.isCondemned = true
	c.Links.Stop()
	c.Log.Error().Err(ErrCondemned).Msg("condemned")
	clear(c.owners.held)
	c.dirty = true
	select {
	case c.fatal <- ErrCondemned:
	default:
	}
}

// Fatal yields the error that ends this incarnation.
func (c *Control) Fatal() <-chan error { return c.fatal }
