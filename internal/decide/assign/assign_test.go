package assign

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func even(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{ID: fmt.Sprint("b", i), Region: "east", Weight: 1 / float64(n)})
	}
	return list
}

func key(prefix string, n int) Key {
	return Key{Service: "shop", Prefix: prefix, Object: fmt.Sprint(n)}
}

// TestFewObjectsSpreadEvenly: each backend server has as many objects of each
// kind as the others, give or take one, in whatever order they come.
func TestFewObjectsSpreadEvenly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "servers")
		table, candidates := New(), even(n)
		for i := range rapid.IntRange(0, 100).Draw(rt, "objects") {
			table.Assign(key(rapid.SampledFrom([]string{"/a/", "/b/"}).Draw(rt, "prefix"), i), false, candidates, start)
		}
		for _, counts := range table.inGroup {
			low, high := 1<<30, 0
			for _, c := range candidates {
				low, high = min(low, counts[c.ID]), max(high, counts[c.ID])
			}
			require.LessOrEqual(rt, high-low, 1)
		}
	})
}

// TestPoorRegionKeepsItsShare: the weights decide how many objects stay in a
// region, and do so at any time while objects appear.
func TestPoorRegionKeepsItsShare(t *testing.T) {
	candidates := []Candidate{{ID: "own", Region: "west", Weight: 1.0 / 3}}
	for i := range 4 {
		candidates = append(candidates, Candidate{ID: fmt.Sprint("far", i), Region: "east", Weight: 1.0 / 6})
	}
	for _, prefix := range []string{"/a/", "/b/", "/c/", "/d/"} {
		table := New()
		for i := range 60 {
			table.Assign(key(prefix, i), false, candidates, start)
			require.InDelta(t, float64(i+1)/3, table.inAll["own"], 1, "%s %d", prefix, i)
		}
		require.InDelta(t, 10, table.inAll["far0"], 1)
	}
}

// TestTakeOver: an instance that goes on for another one has newer entries than
// any that the other had assigned unseen.
func TestTakeOver(t *testing.T) {
	old, heir, third, candidates := New(), New(), New(), even(4)
	for i := range 3 {
		old.Assign(key("/a/", i), false, candidates, start)
	}
	heir.Merge(old.Since(0), start)
	for i := range 20 {
		old.Assign(key("/b/", i), false, candidates, start)
	}
	third.Merge(old.Since(0), start)
	heir.TakeOver()
	place := heir.Assign(key("/b/", 0), false, candidates[:1], start)
	third.Merge(heir.Since(third.Version()), start)
	require.Equal(t, place, third.Find(key("/b/", 0), start))
	// What the old one still says changes nothing.
	third.Merge(old.Since(0), start)
	require.Equal(t, place, third.Find(key("/b/", 0), start))
}

// TestObjectsStay: an object keeps its backend server while that is a candidate,
// and gets another one when it is not.
func TestObjectsStay(t *testing.T) {
	table, candidates := New(), even(3)
	first := table.Assign(key("/a/", 1), false, candidates, start)
	version := table.Version()
	require.Equal(t, first, table.Assign(key("/a/", 1), false, candidates, start))
	require.Equal(t, version, table.Version())
	var left []Candidate
	for _, c := range candidates {
		if c.ID != first {
			left = append(left, c)
		}
	}
	second := table.Assign(key("/a/", 1), false, left, start)
	require.NotEqual(t, first, second)
	require.Equal(t, second, table.Find(key("/a/", 1), start))
	require.Empty(t, table.Assign(key("/a/", 2), false, nil, start))
}

// TestReturnOfAZone: backend servers that come back get objects again, one at a
// time and no more than makes the numbers even.
func TestReturnOfAZone(t *testing.T) {
	table, candidates := New(), even(4)
	for i := range 20 {
		table.Assign(key("/a/", i), false, candidates[:2], start)
	}
	now, moves := start, 0
	for range 100 {
		if table.Balance("shop", candidates, now) {
			moves++
			require.False(t, table.Balance("shop", candidates, now.Add(moveInterval-1)))
		}
		now = now.Add(moveInterval)
	}
	require.LessOrEqual(t, moves, 10)
	for _, c := range candidates {
		require.InDelta(t, 5, table.inAll[c.ID], 1, c.ID)
	}
}

// TestMovesToOtherRegionsAreSlower: so that no great part of the requests changes
// region at once.
func TestMovesToOtherRegionsAreSlower(t *testing.T) {
	table := New()
	candidates := []Candidate{{ID: "own", Region: "west", Weight: 0.5}, {ID: "far", Region: "east", Weight: 0.5}}
	for i := range 20 {
		table.Assign(key("/a/", i), false, candidates[:1], start)
	}
	moves := 0
	for n := range 12 {
		if table.Balance("shop", candidates, start.Add(time.Duration(n)*moveInterval)) {
			moves++
		}
	}
	require.Equal(t, 4, moves)
}

// TestCopies: a table that takes in what is new at each version finds the same
// places, and can go on assigning.
func TestCopies(t *testing.T) {
	table, other, candidates := New(), New(), even(5)
	for i := range 30 {
		table.Assign(key("/a/", i), false, candidates, start)
		if i%7 == 0 {
			other.Merge(table.Since(other.Version()), start)
		}
	}
	other.Merge(table.Since(other.Version()), start)
	require.Empty(t, table.Since(other.Version()))
	require.Equal(t, table.entries, other.entries)
	require.Equal(t, table.inAll, other.inAll)
	require.Equal(t, table.Assign(key("/a/", 99), false, candidates, start), other.Assign(key("/a/", 99), false, candidates, start))
}

// TestBoundObjectsAreNotMoved: an object that may not go everywhere stays.
func TestBoundObjectsAreNotMoved(t *testing.T) {
	table, candidates := New(), even(2)
	for i := range 10 {
		table.Assign(key("/a/", i), true, candidates[:1], start)
	}
	require.False(t, table.Balance("shop", candidates, start))
}

// TestColdBackendServers keep their objects and get no others until they are
// warm.
func TestColdBackendServers(t *testing.T) {
	table, candidates := New(), even(2)
	had := table.Assign(key("/a/", 0), false, candidates[:1], start)
	candidates[0].Cold = true
	require.Equal(t, had, table.Assign(key("/a/", 0), false, candidates, start))
	for i := range 9 {
		require.Equal(t, "b1", table.Assign(key("/a/", 1+i), false, candidates, start))
	}
	require.False(t, table.Balance("shop", candidates, start))
	candidates[0].Cold = false
	require.True(t, table.Balance("shop", candidates, start))
}

// TestBounded: a table without room leaves objects to hashing.
func TestBounded(t *testing.T) {
	table := New()
	candidates := even(3)
	for i := range maxEntries + 10 {
		table.Assign(key("/a/", i), false, candidates, start)
	}
	require.Len(t, table.entries, maxEntries)
	require.Empty(t, table.Assign(key("/b/", 1), false, candidates, start))
	// Objects that are not asked for any more make room.
	later := start.Add(unusedTime + 1)
	require.NotEmpty(t, table.Find(key("/a/", 1), later))
	require.NotEmpty(t, table.Assign(key("/b/", 1), false, candidates, later))
	require.Len(t, table.entries, 2)
	require.Equal(t, 2, table.inAll["b0"]+table.inAll["b1"]+table.inAll["b2"])
}
