// Package control runs the single goroutine that owns the control state of an
// instance: the membership view, the active configuration, the ownership of
// backend servers, the rights on links and the progress of traffic shifts. It
// feeds events and the current time to the state machines of internal/decide,
// performs the I/O that they request in other goroutines, and publishes an
// immutable snapshot for request handling.
package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/keys"
	"github.com/banyandeal/banyandeal/internal/links"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/pool"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/snapshot"
	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// eventQueueSize is the capacity of the control goroutine's event queue, in
// events.
const eventQueueSize = 1024

// Deps holds the components that Control drives or reports to.
type Deps struct {
	Settings static.Settings
	Self     membership.Instance
	Platform *platform.Client
	Peers    *peer.Client
	// Pool receives the backend servers that this instance owns.
	Pool *pool.Pool
	// Links holds the link machine, which it shares with request handling.
	Links *links.Gate
	// ComputePlacement computes how the demand is distributed over the zones.
	ComputePlacement func(placement.Input) (*placement.Plan, error)
	// Keeper drives the state machine of the idempotency keys.
	Keeper *keys.Keeper
	// Guard tracks the requests that crash backend servers.
	Guard   *quarantine.Guard
	Metrics *telemetry.Metrics
	Log     zerolog.Logger
	// Dial opens connections for probes. If it is nil, a plain TCP dialer is
	// used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Control is the control state of one instance. All fields below events are
// owned by the goroutine of Run, except ctx, which Bind sets before Run starts,
// and io, platformUp and fatal, which are safe for concurrent use.
type Control struct {
	Deps
	started time.Time
	// snap is the most recently published snapshot.
	snap   atomic.Pointer[snapshot.Snapshot]
	events chan func(now time.Time)
	// ctx is the context that Bind sets.
	ctx context.Context
	// io counts the goroutines that perform I/O.
	io sync.WaitGroup

	members *membership.Machine
	records *records
	config  *configState
	steer   *steerState
	ramp    *rampState
	owners  *ownerState
	health  *healthState
	links   linkState
	timers  timers
	// dirty is set when the published snapshot no longer matches the state.
	// loadsDirty is set when only load reports have changed; they are published
	// at the next tick.
	dirty, loadsDirty bool
	// builder builds the parts of a snapshot that depend on the membership
	// view.
	builder snapshot.Builder
	// leaving is nil until a planned shutdown starts.
	leaving *leavingState
	// declaredGone is set, and never cleared, when other instances have
	// declared this incarnation gone.
	declaredGone bool
	// platformUp is true if the last call to the platform succeeded.
	platformUp atomic.Bool
	drains     drainLog
	// listReadPending is set while a read of the platform's list is in
	// progress. Only one read runs at a time, so that the result of a slow read
	// cannot replace that of a later one.
	listReadPending bool
	// fatal delivers the error after which this incarnation must end.
	fatal chan error
}

// timers holds the times at which periodic tasks are next due.
type timers struct {
	heartbeat, list, configPoll, health, sweep time.Time
}

// New returns the control state of a starting instance.
func New(d Deps, now time.Time) *Control {
	c := &Control{
		Deps: d, started: now, events: make(chan func(time.Time), eventQueueSize),
		members: membership.New(membership.Config{Self: d.Self, DelistAfter: d.Settings.Timing.DelistAfter}, now),
		records: newRecords(d.Self.Identity), steer: newSteerState(), ramp: newRampState(), owners: newOwnerState(d.Self, now),
		health: newHealthState(d.Dial),
		fatal:  make(chan error, 1),
	}
	c.config = newConfigState(d.Self.Peer, d.Settings.Neighbours)
	c.snap.Store(&snapshot.Snapshot{Self: c.selfView(), Zone: d.Self.Zone})
	return c
}

// Snapshot returns the most recently published snapshot. It is safe for
// concurrent use.
func (c *Control) Snapshot() *snapshot.Snapshot { return c.snap.Load() }

// Bind sets the context whose cancellation stops the control goroutine. It must
// be called before anything that may post events.
func (c *Control) Bind(ctx context.Context) { c.ctx = ctx }

// Run processes events and ticks until the context set by Bind is cancelled. It
// returns after all I/O that it started has ended.
func (c *Control) Run() {
	ctx := c.ctx
	ticker := time.NewTicker(c.Settings.Timing.TickInterval)
	defer ticker.Stop()
	defer c.io.Wait()
	c.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event(time.Now())
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.handleOutputs(time.Now())
	}
}

// post queues an event for the control goroutine. It blocks while the queue is
// full, and drops the event once the context of Bind is cancelled.
func (c *Control) post(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// tryPost queues an event for the control goroutine without blocking. It
// returns false, and drops the event, if the queue is full.
func (c *Control) tryPost(event func(now time.Time)) bool {
	select {
	case c.events <- event:
		return true
	default:
		return false
	}
}

// runSync runs f in the control goroutine and returns its result. ok is false
// if the context of Bind or ctx is cancelled first; f may still run afterwards.
func runSync[T any](ctx context.Context, c *Control, f func(now time.Time) T) (res T, ok bool) {
	done := make(chan T, 1)
	select {
	case c.events <- func(now time.Time) { done <- f(now) }:
	case <-c.ctx.Done():
		return res, false
	case <-ctx.Done():
		return res, false
	}
	select {
	case res = <-done:
		return res, true
	case <-c.ctx.Done():
		return res, false
	case <-ctx.Done():
		return res, false
	}
}

// start runs f, which performs I/O, in a new goroutine. f gets the context set
// by Bind.
func (c *Control) start(f func(ctx context.Context)) {
	c.io.Add(1)
	go func() {
		defer c.io.Done()
		f(c.ctx)
	}()
}

// due reports whether a periodic task is due, and if so sets the time at which
// it is due next.
func due(next *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(period)
	return true
}

func (c *Control) tick(now time.Time) {
	t := c.Settings.Timing
	c.dirty, c.loadsDirty = c.dirty || c.loadsDirty, false
	c.members.Tick(now)
	if due(&c.timers.list, now, t.ListPollInterval) {
		c.pollList()
	}
	if due(&c.timers.configPoll, now, t.ConfigPollInterval) {
		c.pollConfig()
	}
	c.tickHealth(now)
	c.tickSteer(now)
	c.tickOwners(now)
	c.tickLinks(now)
	c.tickLeaving(now)
	c.tickRecords(now)
	c.Keeper.Step(once.Tick{})
	if due(&c.timers.heartbeat, now, t.HeartbeatInterval) {
		c.publishLoads(now)
		c.updateDrains(now)
		c.publishQuarantine(now)
		c.sendHeartbeats()
	}
}

// handleOutputs performs the actions that the state machines request after an
// event, and publishes a snapshot if the state has changed.
func (c *Control) handleOutputs(now time.Time) {
	c.handleMembershipOutput(now)
	c.handleOwnershipOutput(now)
	c.handleHealthOutput()
	c.handleLinkOutput()
	c.handleConfigOutput(now)
	if c.dirty {
		c.dirty = false
		c.publish(now)
	}
}

// recordPlatformResult records whether a call to the platform succeeded, and
// logs when that changes.
func (c *Control) recordPlatformResult(err error) {
	up := err == nil
	if c.platformUp.Swap(up) != up {
		if up {
			c.Log.Info().Msg("platform_up")
		} else {
			c.Log.Warn().Err(err).Msg("platform_down")
		}
	}
}
