package restart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/limit"
)

var (
	start   = time.Unix(1000, 0)
	backend = limit.Backend{ID: "i-1", Born: 7}
)

// at returns a time after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// isCold reports whether the backend server counts as cold.
func isCold(t *Table, now time.Time) bool {
	_, cold := t.Cold(backend, now)
	return cold
}

// TestBreakCountsUntilItIsTold guards against a backend server that gets its full share after a
// break although nobody has told that it is not cold.
func TestBreakCountsUntilItIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		tell func(*Table)
		cold bool
	}{
		"nobody tells":              {func(*Table) {}, true},
		"the check fails":           {func(tb *Table) { tb.Checked(backend, Result{}, at(0), at(time.Second)) }, true},
		"the check is older":        {func(tb *Table) { tb.Checked(backend, Result{Told: true}, at(-time.Second), at(time.Second)) }, true},
		"the store was read before": {func(tb *Table) { tb.StoreRead(at(0), false, at(time.Second)) }, true},
		"not cold":                  {func(tb *Table) { tb.Checked(backend, Result{Told: true}, at(0), at(time.Second)) }, false},
		"cold": {func(tb *Table) {
			tb.Checked(backend, Result{Told: true, ColdLeft: 9 * time.Second}, at(0), at(time.Second))
		}, true},
		"the store tells": {func(tb *Table) { tb.StoreRead(at(storeSettleTime), false, at(time.Second)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			tb := New()
			tb.Broken(backend, start)
			require.False(t, isCold(tb, at(checkGrace/2)))
			require.True(t, isCold(tb, at(checkGrace)))
			require.Equal(t, []limit.Backend{backend}, tb.Due(start))
			c.tell(tb)
			require.Equal(t, c.cold, isCold(tb, at(2*time.Second)))
		})
	}
}

// TestLaterBreakIsCheckedAgain guards against what a check has told of the process before.
func TestLaterBreakIsCheckedAgain(t *testing.T) {
	tb := New()
	tb.Broken(backend, start)
	require.Len(t, tb.Due(start), 1)
	require.Empty(t, tb.Due(start), "one check at a time")
	tb.Checked(backend, Result{Told: true}, start, at(50*time.Millisecond))
	tb.Broken(backend, at(time.Second))
	require.Len(t, tb.Due(at(time.Second)), 1)
	require.True(t, isCold(tb, at(2*time.Second)))
}

// TestChecksOfOneThatIsGoneAreFew guards against checks without end of a backend server that does
// not come back while the store is away.
func TestChecksOfOneThatIsGoneAreFew(t *testing.T) {
	const span = 30 * time.Second
	tb, checks := New(), 0
	tb.Broken(backend, start)
	for now := start; now.Before(at(span)); now = now.Add(50 * time.Millisecond) {
		for range tb.Due(now) {
			checks++
			tb.Checked(backend, Result{}, now, now)
		}
	}
	require.LessOrEqual(t, checks, int(span/maxCheckInterval)+5)
}

// TestToldIsForgotten guards against a table that grows by all that ever broke.
func TestToldIsForgotten(t *testing.T) {
	tb := New()
	tb.Broken(backend, start)
	tb.Due(start)
	tb.Checked(backend, Result{Told: true, ColdLeft: time.Second}, start, start)
	require.Equal(t, []Change{{Backend: backend, Cold: true, Left: time.Second, Since: start}}, tb.TakeChanges())
	tb.StoreRead(start, false, at(500*time.Millisecond))
	require.False(t, tb.Empty())
	tb.StoreRead(start, false, at(2*time.Second))
	require.True(t, tb.Empty())
}

// TestInUseIsCheckedWhileStoreIsLost guards against a backend server that becomes cold without a break
// while the store cannot be read, and against checks of those that get no requests.
func TestInUseIsCheckedWhileStoreIsLost(t *testing.T) {
	const span = 10 * time.Second
	for name, c := range map[string]struct {
		lost           bool
		used           time.Duration
		fewest, most   int
		confirmedOften bool
	}{
		"store there":       {lost: false, used: 50 * time.Millisecond},
		"steady use":        {lost: true, used: 50 * time.Millisecond, fewest: 20, most: 25},
		"a use each second": {lost: true, used: time.Second, fewest: 10, most: 10, confirmedOften: true},
	} {
		t.Run(name, func(t *testing.T) {
			tb, checks, waits := New(), 0, 0
			check := func(now time.Time) {
				checks++
				tb.Checked(backend, Result{Told: true}, now, now.Add(10*time.Millisecond))
			}
			for now := start; now.Before(at(span)); now = now.Add(50 * time.Millisecond) {
				tb.StoreRead(start, c.lost, now)
				for range tb.Due(now) {
					check(now)
				}
				if now.Sub(start)%c.used == 0 && tb.Use(backend, now) {
					waits++
					check(now)
				}
			}
			require.GreaterOrEqual(t, checks, c.fewest)
			require.LessOrEqual(t, checks, c.most)
			require.Equal(t, c.confirmedOften, waits > 1, "%d requests waited", waits)
			tb.StoreRead(at(span), false, at(span))
			require.True(t, tb.Empty())
		})
	}
}

// TestFoundColdWithoutBreak guards against a request that was chosen before its backend server was found
// cold, and against grants that leave out what was sent in the second before.
func TestFoundColdWithoutBreak(t *testing.T) {
	tb := New()
	tb.StoreRead(start, true, start)
	require.True(t, tb.Use(backend, start))
	tb.Checked(backend, Result{Told: true, ColdLeft: 3 * time.Second}, start, at(20*time.Millisecond))
	require.True(t, tb.ChangedAfter(backend, start, at(30*time.Millisecond)))
	require.False(t, tb.ChangedAfter(backend, at(30*time.Millisecond), at(30*time.Millisecond)))
	require.False(t, tb.Unsettled(backend))
	grantsFrom, cold := tb.Cold(backend, at(30*time.Millisecond))
	require.True(t, cold)
	require.Equal(t, at(20*time.Millisecond+unpacedSpan), grantsFrom)
	tb.Checked(backend, Result{Told: true, ColdLeft: 2 * time.Second}, at(time.Second), at(time.Second))
	require.Equal(t, []Change{{Backend: backend, Cold: true, Left: 3 * time.Second, Since: at(20 * time.Millisecond)}}, tb.TakeChanges(), "told once")
}

// TestUseDoesNotWaitForOneThatIsSilent guards against requests that wait again and again for checks that
// tell nothing.
func TestUseDoesNotWaitForOneThatIsSilent(t *testing.T) {
	tb := New()
	tb.StoreRead(start, true, start)
	require.True(t, tb.Use(backend, start))
	tb.Checked(backend, Result{}, start, at(150*time.Millisecond))
	require.False(t, tb.Use(backend, at(5*time.Second)))
	require.Len(t, tb.Due(at(5*time.Second)), 1, "but it is checked")
	tb.Checked(backend, Result{Told: true}, at(5*time.Second), at(5*time.Second))
	require.True(t, tb.Use(backend, at(7*time.Second)))
}
