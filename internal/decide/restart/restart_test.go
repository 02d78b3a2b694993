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
		"the store was read before": {func(tb *Table) { tb.StoreRead(at(0), at(time.Second)) }, true},
		"not cold":                  {func(tb *Table) { tb.Checked(backend, Result{Told: true}, at(0), at(time.Second)) }, false},
		"cold": {func(tb *Table) {
			tb.Checked(backend, Result{Told: true, ColdLeft: 9 * time.Second}, at(0), at(time.Second))
		}, true},
		"the store tells": {func(tb *Table) { tb.StoreRead(at(storeSettleTime), at(time.Second)) }, false},
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
	tb.StoreRead(start, at(500*time.Millisecond))
	require.False(t, tb.Empty())
	tb.StoreRead(start, at(2*time.Second))
	require.True(t, tb.Empty())
}
