// Package assign spreads objects evenly over backend servers.
//
// Hashing alone leaves some backend servers with twice the objects of others
// when there are few objects for each. A Table gives a new object to the backend
// server with the fewest, kind by kind, and leaves it there while that lasts.
// One instance of a region assigns, the others copy its table by version; one
// that cannot reach it goes by hashing alone.
//
// Table is a pure state machine and not safe for concurrent use.
package assign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

const (
	// maxEntries bounds the objects of a table. With more, hashing spreads well
	// enough.
	maxEntries = 20000
	// A full table forgets the objects that were not asked for here in
	// unusedTime, at most every sweepInterval.
	unusedTime    = 5 * time.Minute
	sweepInterval = 10 * time.Second
	// moveInterval is the time between moves of objects of a service to backend
	// servers with fewer; moves to another region have an interval of their own.
	moveInterval       = 400 * time.Millisecond
	moveRegionInterval = 1200 * time.Millisecond
	// versionGap is more versions than one instance assigns between two looks of
	// another.
	versionGap = 1 << 20
	// minWeight is the share of the objects below which a candidate gets none.
	minWeight = 1e-5
)

// Key names an object: the service that runs its requests, the route's prefix,
// and what the caller says.
type Key struct{ Service, Prefix, Object string }

// Candidate is a backend server that may have objects.
type Candidate struct {
	ID     string
	Region string
	// Weight is its share of the objects.
	Weight float64
	// Cold backend servers keep their objects and get no others.
	Cold bool
}

func (c Candidate) takes() bool { return !c.Cold && c.Weight >= minWeight }

// Entry is the place of an object.
type Entry struct {
	Key     Key
	Backend string
	// Pinned objects may not go to every candidate, so that they are not moved.
	Pinned bool
	// Version is that of the table at which the object came there.
	Version uint64
}

// group is the objects of one prefix at a service.
type group struct{ service, prefix string }

// Table holds the places of objects.
type Table struct {
	entries map[Key]Entry
	version uint64
	// inGroup and inAll count the objects by backend server.
	inGroup map[group]map[string]int
	inAll   map[string]int
	// moved is when an object of a service was last moved, movedRegion when to
	// another region.
	moved, movedRegion map[string]time.Time
	// used is when each object was last asked for here.
	used  map[Key]time.Time
	swept time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: map[Key]Entry{}, inGroup: map[group]map[string]int{}, inAll: map[string]int{},
		moved: map[string]time.Time{}, movedRegion: map[string]time.Time{}, used: map[Key]time.Time{},
	}
}

// Version returns the version of the newest entry.
func (t *Table) Version() uint64 { return t.version }

// Find returns the backend server of an object, empty if it has none.
func (t *Table) Find(k Key, now time.Time) string {
	e, ok := t.entries[k]
	if ok {
		t.used[k] = now
	}
	return e.Backend
}

// Assign returns the backend server of an object, and gives it one if it has
// none among the candidates; empty if none takes objects. bound tells that it may
// not go to every candidate of its service.
func (t *Table) Assign(k Key, bound bool, candidates []Candidate, now time.Time) string {
	if had := t.Find(k, now); slices.ContainsFunc(candidates, func(c Candidate) bool { return c.ID == had }) {
		return had
	}
	if !t.hasRoom(now) {
		return ""
	}
	best := t.least(k, candidates)
	if best == "" {
		return ""
	}
	t.version++
	t.set(Entry{Key: k, Backend: best, Pinned: bound, Version: t.version})
	t.used[k] = now
	return best
}

// hasRoom reports whether another object may have an entry, after forgetting
// those that are not used any more.
func (t *Table) hasRoom(now time.Time) bool {
	if len(t.entries) >= maxEntries && now.Sub(t.swept) >= sweepInterval {
		t.swept = now
		for k, e := range t.entries {
			if now.Sub(t.used[k]) > unusedTime {
				t.drop(e)
			}
		}
	}
	return len(t.entries) < maxEntries
}

func (t *Table) drop(e Entry) {
	t.inGroup[group{e.Key.Service, e.Key.Prefix}][e.Backend]--
	t.inAll[e.Backend]--
	delete(t.entries, e.Key)
	delete(t.used, e.Key)
}

// least returns the candidate of the region whose turn it is that has the fewest
// objects of the key's prefix for its share, of those the one with the fewest of
// all, and of those the first in the order of the object.
func (t *Table) least(k Key, candidates []Candidate) string {
	g := group{k.Service, k.Prefix}
	region := t.turn(g, candidates)
	best, bestRank := "", []float64{math.Inf(1)}
	for _, c := range candidates {
		if !c.takes() || c.Region != region {
			continue
		}
		rank := []float64{
			float64(t.inGroup[g][c.ID]+1) / c.Weight, float64(t.inAll[c.ID]+1) / c.Weight, -hrw.Fraction(k.Prefix+k.Object, c.ID),
		}
		if slices.Compare(rank, bestRank) < 0 {
			best, bestRank = c.ID, rank
		}
	}
	return best
}

// turn returns the region that is behind its share of a group's objects by most.
// Regions' parts thereby stay as they are while objects appear. Groups begin at
// different regions.
func (t *Table) turn(g group, candidates []Candidate) string {
	weights, counts, total, objects := map[string]float64{}, map[string]int{}, 0.0, 1
	for _, c := range candidates {
		if c.takes() {
			weights[c.Region] += c.Weight
			total += c.Weight
		}
		counts[c.Region] += t.inGroup[g][c.ID]
		objects += t.inGroup[g][c.ID]
	}
	best, most := "", math.Inf(-1)
	for region, w := range weights {
		behind := w/total*float64(objects) - float64(counts[region]) + hrw.Fraction(g.prefix, region)
		if behind > most || behind == most && region < best {
			best, most = region, behind
		}
	}
	return best
}

// set puts an object to its place, away from the one that it had.
func (t *Table) set(e Entry) {
	g := group{e.Key.Service, e.Key.Prefix}
	if t.inGroup[g] == nil {
		t.inGroup[g] = map[string]int{}
	}
	if old, ok := t.entries[e.Key]; ok {
		t.inGroup[g][old.Backend]--
		t.inAll[old.Backend]--
	}
	t.entries[e.Key] = e
	t.inGroup[g][e.Backend]++
	t.inAll[e.Backend]++
}

// Balance moves one object of a service to the candidate that has the fewest for
// its share, if that evens the numbers out and no other was moved just before.
// It reports whether one was moved.
func (t *Table) Balance(service string, candidates []Candidate, now time.Time) bool {
	if now.Sub(t.moved[service]) < moveInterval {
		return false
	}
	most, least, ok := t.extremes(service, candidates)
	if !ok || (most.Region != least.Region && now.Sub(t.movedRegion[service]) < moveRegionInterval) {
		return false
	}
	k, ok := t.surplus(service, most.ID, least.ID)
	if !ok {
		return false
	}
	t.version++
	t.set(Entry{Key: k, Backend: least.ID, Version: t.version})
	t.moved[service] = now
	if most.Region != least.Region {
		t.movedRegion[service] = now
	}
	return true
}

// extremes returns the candidates with the most and the fewest objects for their
// shares, and whether one object less and more brings them closer.
func (t *Table) extremes(service string, candidates []Candidate) (most, least Candidate, uneven bool) {
	high, low := -1.0, math.Inf(1)
	for _, c := range candidates {
		if !c.takes() {
			continue
		}
		n := float64(t.inAll[c.ID])
		if v := (n - 1) / c.Weight; v > high {
			most, high = c, v
		}
		if v := (n + 1) / c.Weight; v < low {
			least, low = c, v
		}
	}
	return most, least, high > low
}

// surplus returns the object of a service that is moved from one backend server
// to another: of the prefix in which they differ most, the first by name.
func (t *Table) surplus(service, from, to string) (Key, bool) {
	var best group
	most := 0
	for g, counts := range t.inGroup {
		diff := counts[from] - counts[to]
		if g.service == service && counts[from] > 0 && (diff > most || diff == most && g.prefix < best.prefix) {
			best, most = g, diff
		}
	}
	var found Key
	ok := false
	for k, e := range t.entries {
		movable := e.Backend == from && !e.Pinned && k.Service == service && k.Prefix == best.prefix
		if movable && (!ok || k.Object < found.Object) {
			found, ok = k, true
		}
	}
	return found, ok
}

// Since returns the entries that are newer than a version, the oldest first.
func (t *Table) Since(version uint64) []Entry {
	if version >= t.version {
		return nil
	}
	var news []Entry
	for _, e := range t.entries {
		if e.Version > version {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b Entry) int { return cmp.Compare(a.Version, b.Version) })
	return news
}

// Merge takes in entries of the instance that assigns, or that the store has
// kept. Older ones than those known are passed over.
func (t *Table) Merge(entries []Entry, now time.Time) {
	for _, e := range entries {
		t.version = max(t.version, e.Version)
		had, known := t.entries[e.Key]
		if known && had.Version >= e.Version || !known && !t.hasRoom(now) {
			continue
		}
		t.set(e)
		t.used[e.Key] = now
	}
}

// TakeOver makes the entries of this table from now on newer than those that
// another instance may have assigned before it fell silent.
func (t *Table) TakeOver() { t.version += versionGap }
