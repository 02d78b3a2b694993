package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start   = time.Unix(1000, 0)
	backend = Backend{ID: "b", Born: 7}
)

// at returns the time after a number of milliseconds.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limited(perSecond float64) Statement { return Statement{Limited: true, PerSecond: perSecond} }

func row(perSecond float64, version uint64) SharedRow {
	return SharedRow{Backend: backend, PerSecond: perSecond, Version: version}
}

// requireLimit checks the limit that is in effect; a negative one means none.
func requireLimit(t *testing.T, table *Table, perSecond float64, now time.Time) {
	t.Helper()
	want := Statement{}
	if perSecond >= 0 {
		want = limited(perSecond)
	}
	require.Equal(t, want, table.State(backend, now).Statement)
}

// TestLateResponseDoesNotLiftLimit guards against responses that overtake each other: one
// without the limit, or with a higher one, counts only if its request was sent after the
// limit was known.
func TestLateResponseDoesNotLiftLimit(t *testing.T) {
	table := New("one")
	table.Observe(backend, limited(3), at(0), at(200))
	table.Observe(backend, Statement{}, at(100), at(300))
	requireLimit(t, table, 3, at(300))
	table.Observe(backend, limited(9), at(199), at(400))
	requireLimit(t, table, 3, at(400))
	table.Observe(backend, limited(2), at(10), at(500))
	requireLimit(t, table, 2, at(500))
	table.Observe(backend, limited(4), at(501), at(600))
	requireLimit(t, table, 4, at(600))
	table.Observe(backend, Statement{}, at(601), at(700))
	requireLimit(t, table, -1, at(700))
	table.Observe(backend, limited(0), at(650), at(800))
	requireLimit(t, table, 0, at(800))
}

// TestLimitIsOfOneIncarnation guards against a limit that outlives its backend server, or
// that a late response of an earlier incarnation brings back.
func TestLimitIsOfOneIncarnation(t *testing.T) {
	table := New("one")
	table.Observe(backend, limited(3), at(0), at(100))
	again := Backend{ID: "b", Born: 8}
	require.False(t, table.State(again, at(200)).Limited)
	table.Observe(again, limited(5), at(200), at(300))
	table.Observe(backend, limited(1), at(0), at(400))
	require.Equal(t, 5.0, table.State(again, at(400)).PerSecond)
	require.False(t, table.State(backend, at(400)).Limited)
	table.Merge([]SharedRow{row(2, 9)}, Changes, at(500))
	require.Equal(t, 5.0, table.State(again, at(500)).PerSecond)
	due := table.Due(1, false, at(2000))
	require.Len(t, due, 1)
	require.Equal(t, SharedRow{Backend: again, PerSecond: 5, Version: 9}, due[0].Row)
}

// TestEarlierIncarnationCanBeLimited guards against a backend server whose limits are never
// learnt because something is known of a later incarnation than the one that instances see, as
// when its entry was replaced by an older one.
func TestEarlierIncarnationCanBeLimited(t *testing.T) {
	table := New("one")
	later := Backend{ID: "b", Born: 8}
	table.Merge([]SharedRow{{Backend: later, PerSecond: 5, Version: 3}}, Changes, at(0))
	requireLimit(t, table, -1, at(100))
	require.Equal(t, 5.0, table.State(later, at(200)).PerSecond)
	requireLimit(t, table, -1, at(300))
	requireLimit(t, table, -1, at(1400))
	table.Observe(backend, limited(2), at(1400), at(1500))
	requireLimit(t, table, 2, at(1500))
	require.Equal(t, row(2, 3), table.Due(1, false, at(2600))[0].Row)
}

// TestRowSpeaksForThoseWhoHearNothing checks that an instance that gets no responses learns a
// limit, its change and its end from the shared row.
func TestRowSpeaksForThoseWhoHearNothing(t *testing.T) {
	table := New("one")
	table.Merge([]SharedRow{row(3, 1)}, Changes, at(0))
	requireLimit(t, table, 3, at(0))
	table.Merge([]SharedRow{row(6, 2)}, Changes, at(100))
	requireLimit(t, table, 6, at(100))
	table.Merge([]SharedRow{row(1, 1)}, Changes, at(200))
	requireLimit(t, table, 6, at(200))
	table.Merge([]SharedRow{{Backend: backend, Version: 3, Deleted: true}}, Changes, at(300))
	requireLimit(t, table, -1, at(300))
	require.Empty(t, table.Due(1, false, at(5000)))
}

// TestOwnResponseHoldsAgainstOlderRow guards against a row, written before a response with a
// lower limit, that raises the limit at the instance which has that response.
func TestOwnResponseHoldsAgainstOlderRow(t *testing.T) {
	table := New("one")
	table.Observe(backend, limited(1), at(0), at(100))
	table.Merge([]SharedRow{row(8, 1)}, Changes, at(150))
	requireLimit(t, table, 1, at(150))
	requireLimit(t, table, 8, at(1200))
	table.Observe(backend, limited(1), at(1100), at(1300))
	requireLimit(t, table, 1, at(1300))
	due := table.Due(1, false, at(1400))
	require.Len(t, due, 1)
	require.Equal(t, row(1, 1), due[0].Row)
}

// TestEndOfLimitRemovesRow checks that the row is removed by an instance that hears of the
// end, and that a limit in an answer which comes during the write is not taken as older.
func TestEndOfLimitRemovesRow(t *testing.T) {
	table := New("one")
	table.Merge([]SharedRow{row(3, 5)}, Whole, at(0))
	table.Observe(backend, Statement{}, at(100), at(200))
	requireLimit(t, table, -1, at(200))
	due := table.Due(1, false, at(300))
	require.Equal(t, SharedRow{Backend: backend, Version: 5, Deleted: true}, due[0].Row)
	table.Observe(backend, limited(2), at(250), at(350))
	table.Written(due, 6, at(400))
	requireLimit(t, table, 2, at(400))
	due = table.Due(1, false, at(1000))
	require.Equal(t, row(2, 0), due[0].Row)
}

// TestOlderCopyOfStoreKeepsLimit guards against limits that are forgotten when the store
// comes back from an older copy that lacks their rows: they stay and are written again.
func TestOlderCopyOfStoreKeepsLimit(t *testing.T) {
	table := New("one")
	table.Merge([]SharedRow{row(3, 50)}, Whole, at(0))
	table.Merge(nil, Whole, at(100))
	requireLimit(t, table, 3, at(100))
	due := table.Due(1, false, at(200))
	require.Len(t, due, 1)
	require.Equal(t, row(3, 0), due[0].Row)
	table.Merge([]SharedRow{row(3, 10)}, Whole, at(300))
	requireLimit(t, table, 3, at(300))
	require.Empty(t, table.Due(1, false, at(1300)))
}

// TestRereadRowIsNoNewEvidence guards against an old row that is read again and takes back
// what a response has shown since.
func TestRereadRowIsNoNewEvidence(t *testing.T) {
	table := New("one")
	table.Merge([]SharedRow{row(3, 5)}, Whole, at(0))
	table.Observe(backend, Statement{}, at(100), at(200))
	table.Merge([]SharedRow{row(3, 5)}, Whole, at(250))
	requireLimit(t, table, -1, at(250))
}

// TestReturnIsGradual checks that requests return step by step after the end of a limit.
func TestReturnIsGradual(t *testing.T) {
	table := New("one")
	table.Observe(backend, limited(3), at(0), at(100))
	table.Observe(backend, Statement{}, at(200), at(1000))
	require.Zero(t, table.State(backend, at(1000)).Returned)
	require.InDelta(t, 0.5, table.State(backend, at(2500)).Returned, 0.01)
	require.Equal(t, 1.0, table.State(backend, at(4000)).Returned)
	require.True(t, table.Empty())
}

// TestUnknownBackendsLeaveTheTable checks that the rows of backend servers that are gone are
// removed by one instance, and forgotten by all.
func TestUnknownBackendsLeaveTheTable(t *testing.T) {
	table := New("one")
	table.Merge([]SharedRow{row(3, 5)}, Whole, at(0))
	gone := func(string) bool { return false }
	table.Retain(gone, at(0))
	require.Empty(t, table.Due(1, true, at(29_000)))
	require.Empty(t, table.Due(1, false, at(31_000)))
	due := table.Due(1, true, at(31_000))
	require.Equal(t, SharedRow{Backend: backend, Version: 5, Deleted: true}, due[0].Row)
	table.Written(due, 6, at(31_000))
	table.Retain(gone, at(31_100))
	require.True(t, table.Empty())
}

// TestUnreadableRowIsOverwritten guards against a row of another writer that keeps a limit
// from being shared.
func TestUnreadableRowIsOverwritten(t *testing.T) {
	table := New("one")
	table.Observe(backend, limited(3), at(0), at(100))
	table.Merge([]SharedRow{{Backend: Backend{ID: "b"}, Version: 4, Unreadable: true}}, Changes, at(150))
	requireLimit(t, table, 3, at(150))
	due := table.Due(1, false, at(200))
	require.Equal(t, row(3, 4), due[0].Row)
}

// TestMissingRowIsNotTheEnd guards against a limit that is forgotten because its row was
// removed before this instance heard the limit again.
func TestMissingRowIsNotTheEnd(t *testing.T) {
	table := New("one")
	table.Merge([]SharedRow{row(1, 4)}, Changes, at(0))
	table.Observe(backend, limited(2), at(50), at(100))
	table.Merge([]SharedRow{{Backend: backend, Deleted: true}}, Conflict, at(200))
	requireLimit(t, table, 2, at(5000))
	require.Equal(t, row(2, 0), table.Due(1, false, at(5000))[0].Row)
}

// TestConflictLeavesLowerLimit guards against a limit that is raised by a row which a write of
// this instance was to replace, and checks that a lower one in that row holds.
func TestConflictLeavesLowerLimit(t *testing.T) {
	table := New("one")
	table.Observe(backend, limited(1), at(0), at(100))
	table.Merge([]SharedRow{row(3, 4)}, Conflict, at(200))
	requireLimit(t, table, 1, at(5000))
	require.Equal(t, row(1, 4), table.Due(1, false, at(5000))[0].Row)
	table.Merge([]SharedRow{row(0.5, 6)}, Conflict, at(5100))
	requireLimit(t, table, 0.5, at(5100))
	require.Empty(t, table.Due(1, false, at(6000)))
}

// TestChangesAreReportedOnce checks that learning a limit, its change and its end are
// reported once each, with what was known before.
func TestChangesAreReportedOnce(t *testing.T) {
	table := New("one")
	table.Observe(backend, limited(3), at(0), at(100))
	table.Observe(backend, limited(3), at(50), at(150))
	table.Observe(backend, limited(1), at(60), at(160))
	table.Observe(backend, Statement{}, at(200), at(300))
	var told []string
	for _, c := range table.TakeChanges() {
		told = append(told, fmt.Sprintf("%v %v -> %v %v by %s", c.From.Limited, c.From.PerSecond, c.To.Limited, c.To.PerSecond, c.Cause))
	}
	require.Equal(t, []string{"false 0 -> true 3 by response", "true 3 -> true 1 by response", "true 1 -> false 0 by response"}, told)
	require.Empty(t, table.TakeChanges())
}

// TestInstancesAgreeOnLimit checks with random responses, delays of the shared table and
// writes that fail that all instances believe the same a few seconds after the last change
// of a limit, as long as some of them get responses.
func TestInstancesAgreeOnLimit(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		world := newWorld(rng, 5)
		for ms := 0; ms < 20_000; ms += 20 {
			if ms < 12_000 && rng.IntN(100) == 0 {
				world.statement = Statement{}
				if rng.IntN(3) > 0 {
					world.statement = limited(float64(1 + rng.IntN(5)))
				}
			}
			world.step(ms)
		}
		for n, table := range world.tables {
			require.Equal(t, world.statement, table.State(backend, at(20_000)).Statement, "seed %d, instance %d", seed, n)
		}
		require.LessOrEqual(t, world.writes, 400, "seed %d", seed)
	}
}

// world has the tables of several instances, the shared row and the backend server.
type world struct {
	rng    *rand.Rand
	tables []*Table
	// statement is what the backend server states now.
	statement Statement
	// row is the shared row, version the newest version of the store.
	row     SharedRow
	version uint64
	writes  int
	// deliveries holds what happens later, by millisecond.
	deliveries map[int][]func(now time.Time)
}

func newWorld(rng *rand.Rand, instances int) *world {
	w := &world{rng: rng, deliveries: map[int][]func(time.Time){}, row: SharedRow{Deleted: true}}
	for n := range instances {
		w.tables = append(w.tables, New(fmt.Sprint(n)))
	}
	return w
}

// step lets one of the first instances send a request, instances write what is due, and
// delivers what has arrived. The last instance gets no responses.
func (w *world) step(ms int) {
	for _, deliver := range w.deliveries[ms] {
		deliver(at(ms))
	}
	if w.rng.IntN(5) == 0 {
		w.request(ms)
	}
	for _, table := range w.tables {
		if due := table.Due(len(w.tables), false, at(ms)); len(due) > 0 {
			w.write(table, due, ms)
		}
	}
}

// request sends a request whose response states what holds when it is made.
func (w *world) request(ms int) {
	table := w.tables[w.rng.IntN(len(w.tables)-1)]
	made := ms + 20*w.rng.IntN(10)
	arrives := made + 20*w.rng.IntN(3)
	var stated Statement
	w.deliveries[made+20] = append(w.deliveries[made+20], func(time.Time) { stated = w.statement })
	w.deliveries[arrives+40] = append(w.deliveries[arrives+40], func(now time.Time) { table.Observe(backend, stated, at(ms), now) })
}

// write writes the row unless another version is there or the store is away.
func (w *world) write(table *Table, due []Write, ms int) {
	w.writes++
	if w.rng.IntN(4) == 0 {
		return
	}
	if due[0].Row.Version != w.row.Version {
		table.Merge([]SharedRow{w.row}, Conflict, at(ms))
		return
	}
	w.version++
	w.row = due[0].Row
	w.row.Version = w.version
	table.Written(due, w.version, at(ms))
	written := w.row
	if w.row.Deleted {
		w.row.Version = 0
	}
	for _, other := range w.tables {
		later := ms + 100 + 20*w.rng.IntN(10)
		w.deliveries[later] = append(w.deliveries[later], func(now time.Time) { other.Merge([]SharedRow{written}, Changes, now) })
	}
}
