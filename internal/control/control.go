// Package control is the one goroutine that owns an instance's control state:
// which instances there are, the configuration in force, who owns which
// backend server, the rights on links, and where shifts stand. It drives the
// decision machines with events and the time, does the I/O that they ask for in
// other goroutines, and publishes an immutable snapshot for traffic.
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

// eventQueue is how many events may wait for the control goroutine.
const eventQueue = 1024

// Deps are the parts that control drives or reports to.
type Deps struct {
	Settings static.Settings
	Self     membership.Instance
	Platform *platform.Client
	Peers    *peer.Client
	Pool     *pool.Pool
	Links    *links.Gate
	// Place spreads the demand over zones.
	Place   func(placement.Input) (*placement.Plan, error)
	Keeper  *keys.Keeper
	Guard   *quarantine.Guard
	Metrics *telemetry.Metrics
	Log     zerolog.Logger
	// Dial opens connections for probes; nil is a plain TCP dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Control is the control state of one instance. All fields below events are
// owned by the goroutine of Run.
type Control struct {
	Deps
	started time.Time
	snap    atomic.Pointer[snapshot.Snapshot]
	events  chan func(now time.Time)
	ctx     context.Context
	io      sync.WaitGroup

	members *membership.Machine
	records *records
	config  *configState
	steer   *steerState
	ramp    *rampState
	owners  *ownerState
	health  *healthState
	links   linkState
	timers  timers
	// dirty is set when the snapshot no longer matches the state; loadsDirty
	// when only reports of load are newer, which wait for the next tick.
	dirty, loadsDirty bool
	builder           snapshot.Builder
	leaving           *leavingState
	// isCondemned is set for good once others hold this incarnation for dead.
	isCondemned bool
	// platformUp tells whether the last call to the platform succeeded.
	platformUp atomic.Bool
	drains     drainLog
	// listing is set while the platform's list is read: a slow read must not be
	// taken after a later one.
	listing bool
	fatal   chan error
}

// timers holds when periodic work is due next.
type timers struct {
	heartbeat, list, configPoll, health, sweep time.Time
}

// New returns the control state of an instance at its start.
func New(d Deps, now time.Time) *Control {
	c := &Control{
		Deps: d, started: now, events: make(chan func(time.Time), eventQueue),
		members: membership.New(membership.Config{Self: d.Self, DelistAfter: d.Settings.Timing.DelistAfter}, now),
		records: newRecords(d.Self.Identity), steer: newSteerState(), ramp: newRampState(), owners: newOwnerState(d.Self, now),
		health: newHealthState(d.Dial),
		fatal:  make(chan error, 1),
	}
	c.config = newConfigState(d.Self.Peer, d.Settings.Neighbours)
	c.snap.Store(&snapshot.Snapshot{Self: c.selfView(), Zone: d.Self.Zone})
	return c
}

// Snapshot returns the last published snapshot.
func (c *Control) Snapshot() *snapshot.Snapshot { return c.snap.Load() }

// Bind sets the context that ends the control goroutine; it is called before
// anything that may hand events to it.
func (c *Control) Bind(ctx context.Context) { c.ctx = ctx }

// Run owns the control state until the context of Bind ends.
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
		c.settle(time.Now())
	}
}

// post hands an event to the control goroutine. It gives up when that has
// ended.
func (c *Control) post(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.ctx.Done():
	}
}

// offer hands an event to the control goroutine unless that has no time for it,
// and reports whether it did.
func (c *Control) offer(event func(now time.Time)) bool {
	select {
	case c.events <- event:
		return true
	default:
		return false
	}
}

// ask runs f in the control goroutine and returns its result. ok is false when
// the goroutine has ended or ctx has; f may still run then.
func ask[T any](ctx context.Context, c *Control, f func(now time.Time) T) (res T, ok bool) {
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

// start runs I/O beside the control goroutine.
func (c *Control) start(f func(ctx context.Context)) {
	c.io.Add(1)
	go func() {
		defer c.io.Done()
		f(c.ctx)
	}()
}

// due reports whether periodic work is due, and sets its next time.
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
		c.followDrains(now)
		c.publishQuarantine(now)
		c.sendHeartbeats()
	}
}

// settle carries out what the machines want done after an event, and publishes
// a snapshot if anything changed.
func (c *Control) settle(now time.Time) {
	c.settleMembers(now)
	c.settleOwners(now)
	c.settleHealth()
	c.settleLinks()
	c.settleConfig(now)
	if c.dirty {
		c.dirty = false
		c.publish(now)
	}
}

// platformCall notes whether the platform answered.
func (c *Control) platformCall(err error) {
	up := err == nil
	if c.platformUp.Swap(up) != up {
		if up {
			c.Log.Info().Msg("platform_up")
		} else {
			c.Log.Warn().Err(err).Msg("platform_down")
		}
	}
}
