package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/worldtest"
)

const (
	compareStep = 100 * time.Millisecond
	// detectTime is from a death to evidence of it: silence, then a dial.
	detectTime = membership.DefaultSuspectAfter + membership.DefaultProbeInterval
	// leaseMargin allows for clocks that run apart.
	leaseMargin = time.Second
)

// comparison is one scenario: the holder is paused or killed, and the table is
// down, from 10 s on.
type comparison struct {
	pause, down time.Duration
	kill        bool
	length      time.Duration
}

const compareStart = 10 * time.Second

func (c comparison) paused(at time.Duration) bool {
	return at >= compareStart && at < compareStart+c.pause
}

func (c comparison) tableDown(at time.Duration) bool {
	return at >= compareStart && at < compareStart+c.down
}

func (c comparison) killed(at time.Duration) bool { return c.kill && at >= compareStart }

// evidence runs this package's machines over the scenario and returns how long
// the holder's backend server had no free slot in anyone's hands.
func (c comparison) evidence() time.Duration {
	w := newWorld(1)
	a := w.Start("a")
	w.Run(time.Second, compareStep, false)
	b := w.Start("b")
	w.Believe(a, b, membership.Live)
	w.Believe(b, a, membership.Live)
	lost := time.Duration(0)
	for at := time.Second; at < c.length; at += compareStep {
		a.Paused, a.Alive = c.paused(at), !c.killed(at)
		w.Table.Down = c.tableDown(at)
		if c.killed(at - detectTime) {
			w.Believe(b, a, membership.Gone)
		}
		w.Run(compareStep, compareStep, false)
		if !w.serves(a) && !w.serves(b) {
			lost += compareStep
		}
	}
	return lost
}

func (w *world) serves(n *node) bool {
	return w.Up(n) && n.State.open["s00"] && !w.Now.Before(n.State.occupied["s00"])
}

// lease is the policy weighed against it: a holder renews in the table every
// third of its lease and checks the lease at every dispatch; another takes over
// after the lease and a margin, and counts the slots as occupied until the
// deadline, as the old holder's work may still run.
func (c comparison) lease(length time.Duration) time.Duration {
	holderA := true
	expiry, renewAt, occupied := length, length/3, time.Duration(0)
	lost := time.Duration(0)
	for at := time.Duration(0); at < c.length; at += compareStep {
		upA := !c.paused(at) && !c.killed(at)
		up := upA || !holderA
		switch {
		case c.tableDown(at):
		case up && at < expiry && at >= renewAt:
			expiry, renewAt = at+length, at+length/3
		case at >= expiry+leaseMargin || (up && at >= expiry):
			if !up {
				holderA, occupied = false, at+testDeadline
			}
			expiry, renewAt = at+length, at+length/3
		}
		if !up || at >= expiry || at < occupied {
			lost += compareStep
		}
	}
	return lost
}

// TestCompare prints the seconds that one backend server is lost under each
// policy.
func TestCompare(t *testing.T) {
	datadriven.RunTest(t, "testdata/compare/leases.txt", func(t *testing.T, d *datadriven.TestData) string {
		var c comparison
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "pause":
				c.pause = worldtest.Seconds(a.Vals[0])
			case "down":
				c.down = worldtest.Seconds(a.Vals[0])
			case "kill":
				c.kill = true
			}
		}
		c.length = compareStart + max(c.pause, c.down) + time.Minute
		return fmt.Sprintf("evidence %.1fs\nlease 10s %.1fs\nlease 30s %.1fs\n",
			c.evidence().Seconds(), c.lease(10*time.Second).Seconds(), c.lease(30*time.Second).Seconds())
	})
}
