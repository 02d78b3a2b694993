// Package assign spreads objects evenly over backend servers.
//
// With few objects for each backend server, hashing alone gives some of them
// twice the objects of others. A Table places a new object on the backend
// server with the fewest objects of the same route prefix, and keeps it there
// while that backend server is a candidate. One instance of a region, the
// assigning instance, changes the table; the others copy what is new by
// version. An instance that cannot reach the assigning instance falls back to
// hashing.
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
	// maxEntries bounds the number of objects in a table. With more objects,
	// hashing spreads them well enough.
	maxEntries = 20000
	// idleTimeout is the time after which an object that was not requested at
	// this instance may be removed from a full table.
	idleTimeout = 5 * time.Minute
	// sweepInterval is the minimum time between two removals of idle objects.
	sweepInterval = 10 * time.Second
	// moveInterval is the minimum time between two moves of objects of one
	// service.
	moveInterval = 400 * time.Millisecond
	// crossRegionMoveInterval is the minimum time between two moves of objects
	// of one service to another region.
	crossRegionMoveInterval = 1200 * time.Millisecond
	// takeOverVersionGap is larger than the number of versions that one
	// instance can assign between two reads of another instance.
	takeOverVersionGap = 1 << 20
	// minWeight is the share of the objects below which a candidate gets no
	// objects.
	minWeight = 1e-5
)

// Key identifies an object by the service that runs its requests, the prefix
// of the route, and the name that the caller gives.
type Key struct{ Service, Prefix, Object string }

// Candidate is a backend server on which objects may be placed.
type Candidate struct {
	// ID is the ID of the backend server.
	ID string
	// Region is the region of the backend server.
	Region string
	// Weight is the backend server's share of the objects.
	Weight float64
	// Cold reports that the backend server is in its cold start or has a request limit:
	// it keeps its objects and gets no others.
	Cold bool
}

// acceptsObjects reports whether the candidate may get further objects.
func (c Candidate) acceptsObjects() bool { return !c.Cold && c.Weight >= minWeight }

// Entry is the placement of one object.
type Entry struct {
	// Key identifies the object.
	Key Key
	// Backend is the ID of the backend server on which the object is placed.
	Backend string
	// Bound reports that the object may not be placed on every candidate of
	// its service. Balance does not move such objects.
	Bound bool
	// Version is the version of the table with which the object was placed
	// there.
	Version uint64
}

// group identifies the objects of one route prefix at one service.
type group struct{ service, prefix string }

// Table holds the placements of objects.
type Table struct {
	entries map[Key]Entry
	// version is the version of the newest entry.
	version uint64
	// countsByGroup holds the number of objects of each group by backend
	// server ID.
	countsByGroup map[group]map[string]int
	// counts holds the number of objects of all groups by backend server ID.
	counts map[string]int
	// lastMove holds the time of the newest move of an object by service name,
	// lastCrossRegionMove that of the newest move to another region.
	lastMove, lastCrossRegionMove map[string]time.Time
	// lastUsed holds the time of the newest request at this instance for each
	// object.
	lastUsed map[Key]time.Time
	// lastSweep is the time of the newest removal of idle objects.
	lastSweep time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: map[Key]Entry{}, countsByGroup: map[group]map[string]int{}, counts: map[string]int{},
		lastMove: map[string]time.Time{}, lastCrossRegionMove: map[string]time.Time{}, lastUsed: map[Key]time.Time{},
	}
}

// Version returns the version of the newest entry.
func (t *Table) Version() uint64 { return t.version }

// Find returns the ID of the backend server on which an object is placed;
// empty if there is none. It counts as a use of the object.
func (t *Table) Find(k Key, now time.Time) string {
	e, ok := t.entries[k]
	if ok {
		t.lastUsed[k] = now
	}
	return e.Backend
}

// Assign returns the ID of the backend server on which an object is placed. If
// that is none of the candidates, Assign places the object on a candidate
// first. It returns an empty ID if no candidate accepts objects or the table
// is full. bound reports that the object may not be placed on every candidate
// of its service.
func (t *Table) Assign(k Key, bound bool, candidates []Candidate, now time.Time) string {
	if current := t.Find(k, now); slices.ContainsFunc(candidates, func(c Candidate) bool { return c.ID == current }) {
		return current
	}
	if !t.hasRoom(now) {
		return ""
	}
	best := t.chooseBackend(k, candidates)
	if best == "" {
		return ""
	}
	t.version++
	t.set(Entry{Key: k, Backend: best, Bound: bound, Version: t.version})
	t.lastUsed[k] = now
	return best
}

// hasRoom reports whether the table has room for another object. It removes
// idle objects from a full table first, at most every sweepInterval.
func (t *Table) hasRoom(now time.Time) bool {
	if len(t.entries) >= maxEntries && now.Sub(t.lastSweep) >= sweepInterval {
		t.lastSweep = now
		for k, e := range t.entries {
			if now.Sub(t.lastUsed[k]) > idleTimeout {
				t.remove(e)
			}
		}
	}
	return len(t.entries) < maxEntries
}

// remove removes the entry of an object.
func (t *Table) remove(e Entry) {
	t.countsByGroup[group{e.Key.Service, e.Key.Prefix}][e.Backend]--
	t.counts[e.Backend]--
	delete(t.entries, e.Key)
	delete(t.lastUsed, e.Key)
}

// chooseBackend returns the ID of the candidate that gets a new object; empty
// if none accepts objects. It considers only the region that nextRegion
// returns. There it chooses the candidate with the fewest objects of the key's
// group for its weight, of those the one with the fewest objects of all
// groups, and of those the first in hash order.
func (t *Table) chooseBackend(k Key, candidates []Candidate) string {
	g := group{k.Service, k.Prefix}
	region := t.nextRegion(g, candidates)
	best, bestRank := "", []float64{math.Inf(1)}
	for _, c := range candidates {
		if !c.acceptsObjects() || c.Region != region {
			continue
		}
		rank := []float64{
			float64(t.countsByGroup[g][c.ID]+1) / c.Weight, float64(t.counts[c.ID]+1) / c.Weight, -hrw.Fraction(k.Prefix+k.Object, c.ID),
		}
		if slices.Compare(rank, bestRank) < 0 {
			best, bestRank = c.ID, rank
		}
	}
	return best
}

// nextRegion returns the region whose number of a group's objects is the
// furthest below its share. The regions' parts thereby stay the same while
// objects are added. The hash makes groups begin with different regions.
func (t *Table) nextRegion(g group, candidates []Candidate) string {
	weights, counts, total, objects := map[string]float64{}, map[string]int{}, 0.0, 1
	for _, c := range candidates {
		if c.acceptsObjects() {
			weights[c.Region] += c.Weight
			total += c.Weight
		}
		counts[c.Region] += t.countsByGroup[g][c.ID]
		objects += t.countsByGroup[g][c.ID]
	}
	best, largest := "", math.Inf(-1)
	for region, w := range weights {
		deficit := w/total*float64(objects) - float64(counts[region]) + hrw.Fraction(g.prefix, region)
		if deficit > largest || deficit == largest && region < best {
			best, largest = region, deficit
		}
	}
	return best
}

// set adds or replaces the entry of an object.
func (t *Table) set(e Entry) {
	g := group{e.Key.Service, e.Key.Prefix}
	if t.countsByGroup[g] == nil {
		t.countsByGroup[g] = map[string]int{}
	}
	if old, ok := t.entries[e.Key]; ok {
		t.countsByGroup[g][old.Backend]--
		t.counts[old.Backend]--
	}
	t.entries[e.Key] = e
	t.countsByGroup[g][e.Backend]++
	t.counts[e.Backend]++
}

// Balance moves one object of a service to the candidate with the fewest
// objects for its weight, if that makes the numbers more even and the last
// move is long enough ago. It reports whether it moved an object.
func (t *Table) Balance(service string, candidates []Candidate, now time.Time) bool {
	if now.Sub(t.lastMove[service]) < moveInterval {
		return false
	}
	most, least, ok := t.extremes(service, candidates)
	if !ok || (most.Region != least.Region && now.Sub(t.lastCrossRegionMove[service]) < crossRegionMoveInterval) {
		return false
	}
	k, ok := t.objectToMove(service, most.ID, least.ID)
	if !ok {
		return false
	}
	t.version++
	t.set(Entry{Key: k, Backend: least.ID, Version: t.version})
	t.lastMove[service] = now
	if most.Region != least.Region {
		t.lastCrossRegionMove[service] = now
	}
	return true
}

// extremes returns the candidates with the most and the fewest objects for
// their weights. uneven reports whether moving one object between them brings
// their numbers closer.
func (t *Table) extremes(service string, candidates []Candidate) (most, least Candidate, uneven bool) {
	high, low := -1.0, math.Inf(1)
	for _, c := range candidates {
		if !c.acceptsObjects() {
			continue
		}
		n := float64(t.counts[c.ID])
		if v := (n - 1) / c.Weight; v > high {
			most, high = c, v
		}
		if v := (n + 1) / c.Weight; v < low {
			least, low = c, v
		}
	}
	return most, least, high > low
}

// objectToMove returns the object of a service that is to be moved between two
// backend servers: the first one by name in the group in which their numbers
// differ most. It returns false if there is none.
func (t *Table) objectToMove(service, from, to string) (Key, bool) {
	var best group
	most := 0
	for g, counts := range t.countsByGroup {
		diff := counts[from] - counts[to]
		if g.service == service && counts[from] > 0 && (diff > most || diff == most && g.prefix < best.prefix) {
			best, most = g, diff
		}
	}
	var found Key
	ok := false
	for k, e := range t.entries {
		movable := e.Backend == from && !e.Bound && k.Service == service && k.Prefix == best.prefix
		if movable && (!ok || k.Object < found.Object) {
			found, ok = k, true
		}
	}
	return found, ok
}

// Since returns the entries that are newer than version, the oldest first.
func (t *Table) Since(version uint64) []Entry {
	if version >= t.version {
		return nil
	}
	var newer []Entry
	for _, e := range t.entries {
		if e.Version > version {
			newer = append(newer, e)
		}
	}
	slices.SortFunc(newer, func(a, b Entry) int { return cmp.Compare(a.Version, b.Version) })
	return newer
}

// Merge adds entries that come from the assigning instance or from the store.
// It ignores entries that are not newer than the known one of the same object,
// and new objects if the table is full.
func (t *Table) Merge(entries []Entry, now time.Time) {
	for _, e := range entries {
		t.version = max(t.version, e.Version)
		current, known := t.entries[e.Key]
		if known && current.Version >= e.Version || !known && !t.hasRoom(now) {
			continue
		}
		t.set(e)
		t.lastUsed[e.Key] = now
	}
}

// Adopt adds the entries of an instance that assigned objects until now, so that this
// table, which assigns from now on, knows these objects. Where both have placed an
// object, the placement of this table stays; it gets a new version so that the other
// instance takes it too.
func (t *Table) Adopt(entries []Entry, now time.Time) {
	for _, e := range entries {
		t.version = max(t.version, e.Version)
	}
	for _, e := range entries {
		current, known := t.entries[e.Key]
		if known && (current.Backend == e.Backend || current.Version > e.Version) || !known && !t.hasRoom(now) {
			continue
		}
		if known {
			e = current
		}
		t.version++
		e.Version = t.version
		t.set(e)
		t.lastUsed[e.Key] = now
	}
}

// TakeOver advances the version, so that all later entries of this table are
// newer than those that another assigning instance may have made before it
// became unreachable.
func (t *Table) TakeOver() { t.version += takeOverVersionGap }
