package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/affinity"
	"github.com/banyandeal/banyandeal/internal/decide/limit"
	"github.com/banyandeal/banyandeal/internal/decide/restart"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/internal/limitcheck"
)

const (
	// restartRate is how many requests a second a backend server gets that is not cold, coldRate
	// what it tolerates while it is.
	restartRate = 12.7
	coldRate    = 2.7
	// idleTime is how long a connection to it stays open without a request.
	idleTime = 7 * time.Second
	// checkTime is how long a health check takes.
	checkTime = 70 * time.Millisecond
)

// restarted is a backend server that starts again, cold, while the store is away, or becomes cold
// again while it runs.
type restarted struct {
	*shop
	id string
	// runsOn is set if it breaks no connection.
	runsOn    bool
	downAt    time.Time
	upAt      time.Time
	coldUntil time.Time
	// lastSent maps each instance to its newest request there.
	lastSent map[int]time.Time
	arrivals []time.Time
}

// request sends a request at a random instance, until it has arrived.
func (r *restarted) request(now time.Time) {
	n := r.rng.IntN(len(r.machines))
	m := r.machines[n]
	req := request(2 * time.Second)
	req.Received, req.Deadline, req.CallerDeadline = now, now.Add(2*time.Second), now.Add(2*time.Second)
	state := m.Begin(r.snapshot, req, now)
	for arrived := false; !arrived; {
		choice, reason := m.Next(state, r.snapshot, now)
		if reason != "" {
			return
		}
		arrived = choice.Backend.ID != r.id || r.confirm(n, choice.Backend, now) && r.attempt(n, choice.Backend, now)
		outcome := affinity.Result{Took: 20 * time.Millisecond}
		switch {
		case arrived:
		case r.isDown(now):
			outcome = affinity.Result{Outcome: affinity.Unreachable}
		default:
			outcome = affinity.Result{Outcome: affinity.Abandoned}
		}
		m.RecordEnd(state, choice, outcome, arrived, now)
	}
}

// isDown reports whether the backend server refuses connections.
func (r *restarted) isDown(now time.Time) bool {
	return !r.runsOn && now.After(r.downAt) && now.Before(r.upAt)
}

// confirm lets an instance check the backend server before a request, if it must, and reports whether
// the request may still be sent.
func (r *restarted) confirm(instance int, b *traffic.Backend, now time.Time) bool {
	table := r.machines[instance].Restarts()
	if table.Use(identityOf(b), now) {
		r.checkOne(table, identityOf(b), now)
	}
	return !table.ChangedAfter(identityOf(b), now, now.Add(checkTime))
}

// attempt sends a request of an instance to the backend server and reports whether it arrives. The
// instance learns of the restart by an idle connection that has ended, or by one that is refused.
func (r *restarted) attempt(instance int, b *traffic.Backend, now time.Time) bool {
	last, connected := r.lastSent[instance]
	r.lastSent[instance] = now
	hasBroken := !r.runsOn && connected && last.Before(r.downAt) && now.After(r.upAt) && now.Sub(last) < idleTime
	if r.isDown(now) || hasBroken {
		r.machines[instance].Restarts().Broken(identityOf(b), now)
		return false
	}
	if now.Before(r.coldUntil) && !now.Before(r.upAt) {
		r.arrivals = append(r.arrivals, now)
	}
	return true
}

// check lets the instances check what is due.
func (r *restarted) check(now time.Time) {
	for _, m := range r.machines {
		m.Restarts().StoreRead(start, true, now)
		for _, b := range m.Restarts().Due(now) {
			r.checkOne(m.Restarts(), b, now)
		}
	}
}

// checkOne lets an instance check the backend server.
func (r *restarted) checkOne(t *restart.Table, b limit.Backend, now time.Time) {
	result := restart.Result{Told: !r.isDown(now)}
	if !now.Before(r.upAt) {
		result.ColdLeft = r.coldUntil.Sub(now)
	}
	t.Checked(b, result, now, now.Add(checkTime))
}

// worstSecond returns the largest number of requests within a second at one of so many backend servers,
// which starts again while the store is away, or becomes cold again while it runs.
func worstSecond(instances, backends int, down time.Duration, runsOn bool) int {
	s := newShop(instances, backends)
	s.snapshot.Services["shop"].ColdRate = coldRate
	const warmUp = 10 * time.Second
	r := &restarted{shop: s, runsOn: runsOn, id: s.snapshot.Backends["shop"][0].ID, downAt: start.Add(warmUp), upAt: start.Add(warmUp + down), lastSent: map[int]time.Time{}}
	r.coldUntil = r.upAt.Add(3 * time.Second)
	nextCheck := start
	for now := start; now.Before(r.coldUntil); now = now.Add(time.Duration(s.rng.ExpFloat64() / (float64(backends) * restartRate) * float64(time.Second))) {
		for ; !nextCheck.After(now); nextCheck = nextCheck.Add(50 * time.Millisecond) {
			r.check(nextCheck)
		}
		r.request(now)
	}
	return limitcheck.Most(r.arrivals, time.Second)
}

// eachRestart checks the bound on requests to a restarted backend server among so many.
func eachRestart(t *testing.T, backends int, instances ...int) {
	for _, n := range instances {
		for _, down := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
			t.Run(fmt.Sprint(n, " instances, gone for ", down), func(t *testing.T) {
				checkWorstSecond(t, worstSecond(n, backends, down, false))
			})
		}
	}
}

// checkWorstSecond checks the bound on requests to a cold backend server within a second.
func checkWorstSecond(t *testing.T, worst int) {
	t.Logf("worst second: %d", worst)
	require.LessOrEqual(t, float64(worst), coldRate*1.5+5)
}

// TestRestartedBackendIsPaced guards against a backend server that starts again, cold, while the
// store is away, and gets its full share from instances whose connections broke (rule FAILBACK).
func TestRestartedBackendIsPaced(t *testing.T) { eachRestart(t, 4, 1, 2, 6, 24, 77) }

// TestRestartedBackendIsPacedByAll guards against the same by so many instances that most of them
// have no connection that could break.
func TestRestartedBackendIsPacedByAll(t *testing.T) { eachRestart(t, 4, 300) }

// TestOnlyBackendIsPacedAfterRestart guards against a backend server that gets all requests at its
// return, because there is no other one.
func TestOnlyBackendIsPacedAfterRestart(t *testing.T) { eachRestart(t, 1, 1, 2, 6, 24, 77, 300) }

// TestBackendThatBecomesColdAgainIsPaced guards against a backend server that becomes cold while it
// runs and breaks no connection, so that nobody learns of it while the store is away.
func TestBackendThatBecomesColdAgainIsPaced(t *testing.T) {
	for _, n := range []int{1, 2, 6, 24, 77, 300} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) { checkWorstSecond(t, worstSecond(n, 4, 0, true)) })
	}
}
