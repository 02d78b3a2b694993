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
	// detectionTime is the time from a death to evidence of it: a period of
	// silence, then a dial.
	detectionTime = membership.DefaultSuspectAfter + membership.DefaultProbeInterval
	// leaseMargin allows for clock skew between instances.
	leaseMargin = time.Second
)

// comparison is one scenario. From faultStart on, the owner is paused for pause
// or killed, and the table is down for down.
type comparison struct {
	pause, down time.Duration
	kill        bool
	length      time.Duration
}

const faultStart = 10 * time.Second

func (c comparison) paused(at time.Duration) bool {
	return at >= faultStart && at < faultStart+c.pause
}

func (c comparison) tableDown(at time.Duration) bool {
	return at >= faultStart && at < faultStart+c.down
}

func (c comparison) killed(at time.Duration) bool { return c.kill && at >= faultStart }

// runEvidence runs this package's machines over the scenario. It returns how
// long no instance could start a request on the owner's backend server.
func (c comparison) runEvidence() time.Duration {
	w := newWorld(1)
	a := w.Start("a")
	w.Run(time.Second, compareStep, false)
	b := w.Start("b")
	w.SetPeerState(a, b, membership.Live)
	w.SetPeerState(b, a, membership.Live)
	lost := time.Duration(0)
	for at := time.Second; at < c.length; at += compareStep {
		a.Paused, a.Alive = c.paused(at), !c.killed(at)
		w.Table.Down = c.tableDown(at)
		if c.killed(at - detectionTime) {
			w.SetPeerState(b, a, membership.Gone)
		}
		w.Run(compareStep, compareStep, false)
		if !w.hasFreeSlot(a) && !w.hasFreeSlot(b) {
			lost += compareStep
		}
	}
	return lost
}

// hasFreeSlot reports whether n can start a request on the backend server s00.
func (w *world) hasFreeSlot(n *node) bool {
	return w.Running(n) && n.State.open["s00"] && !w.Now.Before(n.State.occupied["s00"])
}

// runLease simulates the policy that this package is compared with, leases of
// the given length. The owner renews its lease in the table after a third of
// the length and checks it on every dispatch. Another instance takes over after
// the lease has expired and leaseMargin has passed. It counts the slots as
// occupied until the deadline, because requests of the old owner may still be
// running.
func (c comparison) runLease(length time.Duration) time.Duration {
	ownerHoldsLease := true
	expiry, renewAt, occupied := length, length/3, time.Duration(0)
	lost := time.Duration(0)
	for at := time.Duration(0); at < c.length; at += compareStep {
		ownerUp := !c.paused(at) && !c.killed(at)
		holderUp := ownerUp || !ownerHoldsLease
		switch {
		case c.tableDown(at):
		case holderUp && at < expiry && at >= renewAt:
			expiry, renewAt = at+length, at+length/3
		case at >= expiry+leaseMargin || (holderUp && at >= expiry):
			if !holderUp {
				ownerHoldsLease, occupied = false, at+testDeadline
			}
			expiry, renewAt = at+length, at+length/3
		}
		if !holderUp || at >= expiry || at < occupied {
			lost += compareStep
		}
	}
	return lost
}

// TestCompareWithLeases prints for how many seconds one backend server is
// unavailable under each policy.
func TestCompareWithLeases(t *testing.T) {
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
		c.length = faultStart + max(c.pause, c.down) + time.Minute
		return fmt.Sprintf("evidence %.1fs\nlease 10s %.1fs\nlease 30s %.1fs\n",
			c.runEvidence().Seconds(), c.runLease(10*time.Second).Seconds(), c.runLease(30*time.Second).Seconds())
	})
}
