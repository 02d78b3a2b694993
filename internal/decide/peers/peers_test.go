package peers

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/tree"
)

// Times of the simulated instances.
const (
	simTick = 50 * time.Millisecond
	// simPoll is the time between reads of an instance, simSilence the time after which a
	// read on an open connection fails, simDial that after which a read fails that opens one.
	simPoll    = 700 * time.Millisecond
	simSilence = 1300 * time.Millisecond
	simDial    = 500 * time.Millisecond
	// simFrozen is the time after which a check fails whose connection is taken.
	simFrozen = 600 * time.Millisecond
	// simStep is the time between the steps of an instance.
	simStep = 4 * simTick
	// simSpread is the time until all instances know of a row that was removed.
	simSpread = 600 * time.Millisecond
	// directoryBound is the time in which the directory must drop a dead instance.
	directoryBound = 7 * time.Second
)

var epoch = time.Unix(1000, 0)

// region is a simulated region, or several, whose instances read from each other.
type region struct {
	t         *testing.T
	now       time.Time
	instances map[string]*instance
	// rows holds the members' table, removed the time at which a row was removed.
	rows    map[string]Member
	removed map[string]time.Time
	// cut holds pairs of instances between which nothing passes.
	cut map[[2]string]bool
	// pending holds what is to happen, ordered by time.
	pending []event
	// changedAt is when rows were removed last.
	changedAt time.Time
	// evictions counts the removals of rows of living instances.
	evictions int
	// storeAway is set while no row can be read or removed. latency is set if checks of living
	// instances take a while, and removals a last check.
	storeAway, latency bool
	// slow is how much longer a check takes than it should, checks counts them.
	slow   time.Duration
	checks int
}

type event struct {
	at time.Time
	do func()
}

// instance is a simulated instance.
type instance struct {
	name string
	dead bool
	// frozen is set, beside dead, if connections to the instance can still be opened.
	frozen  bool
	machine *Machine
	// source is the source that is read from, connected whether a connection to it is
	// open, and sources counts the changes of source.
	source    string
	connected bool
	sources   int
	// busyUntil is the end of the read in progress.
	busyUntil time.Time
}

// newRegion returns a region of so many instances in so many availability zones, and an
// instance elsewhere.
func newRegion(t *testing.T, count, zones int) *region {
	r := newRegions(t, count, zones, 1)
	r.rows["elsewhere"] = Member{Node: tree.Node{Name: "elsewhere"}, Region: "other", Incarnation: 1}
	r.spread()
	return r
}

// newRegions returns several regions of so many instances together.
func newRegions(t *testing.T, count, zones, regions int) *region {
	r := emptyRegion(t)
	for i := range count {
		r.add(fmt.Sprint("zone-", i%zones), regionName(i%regions))
	}
	r.spread()
	return r
}

// newSizedRegions returns regions of the given numbers of instances, each in two zones.
func newSizedRegions(t *testing.T, sizes []int) *region {
	r := emptyRegion(t)
	for n, size := range sizes {
		for i := range size {
			r.add(fmt.Sprint("zone-", n, "-", i%2), regionName(n))
		}
	}
	r.spread()
	return r
}

func emptyRegion(t *testing.T) *region {
	return &region{t: t, now: epoch, instances: map[string]*instance{}, rows: map[string]Member{}, removed: map[string]time.Time{}, cut: map[[2]string]bool{}}
}

func regionName(n int) string { return fmt.Sprint("region-", n) }

// add adds an instance.
func (r *region) add(zone, region string) {
	i := len(r.instances)
	node := tree.Node{Name: fmt.Sprint("front-", i), Zone: zone, Capacity: []float64{10, 10, 200}[i%3]}
	member := Member{Node: node, Region: region, Incarnation: 1, RowVersion: uint64(i + 1)}
	r.rows[node.Name] = member
	r.instances[node.Name] = &instance{name: node.Name, machine: New(member)}
}

// spread passes the members' table to all living instances.
func (r *region) spread() {
	members := slices.Collect(maps.Values(r.rows))
	for _, i := range r.instances {
		i.machine.Members(members, r.now)
	}
}

// spreadLater passes the table on after simSpread, once for all rows that change now.
func (r *region) spreadLater() {
	if !r.now.Equal(r.changedAt) {
		r.changedAt = r.now
		r.after(simSpread, r.spread)
	}
}

// order returns the instances in the order of the tree.
func (r *region) order() []string {
	var nodes []tree.Node
	for _, i := range r.instances {
		nodes = append(nodes, r.rows[i.name].Node)
	}
	return tree.New("region-0", nodes).Order()
}

func (r *region) after(d time.Duration, do func()) {
	r.pending = append(r.pending, event{at: r.now.Add(d), do: do})
}

// reaches reports whether two instances exchange anything.
func (r *region) reaches(a, b string) bool {
	if b == "elsewhere" {
		return !r.cut[[2]string{a, b}]
	}
	return !r.instances[a].dead && !r.instances[b].dead && !r.cut[[2]string{a, b}] && !r.cut[[2]string{b, a}]
}

// connectFailure returns how a new connection to an instance fails, and after which time.
func (r *region) connectFailure(name string) (Failure, time.Duration) {
	if to := r.instances[name]; to != nil && to.frozen {
		return Unresponsive, simFrozen
	}
	return Unreachable, ConnectTimeout
}

// run simulates the region for a time.
func (r *region) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(simTick) {
		var due []event
		r.pending = slices.DeleteFunc(r.pending, func(e event) bool {
			if e.at.After(r.now) {
				return false
			}
			due = append(due, e)
			return true
		})
		for _, e := range due {
			e.do()
		}
		for _, name := range slices.Sorted(maps.Keys(r.instances)) {
			if i := r.instances[name]; !i.dead {
				r.read(i)
				r.listen(i)
				if r.now.Sub(epoch)%simStep == 0 {
					r.step(i)
				}
			}
		}
	}
}

// read lets an instance read from its source, if no read is in progress.
func (r *region) read(i *instance) {
	if r.now.Before(i.busyUntil) {
		return
	}
	source := i.machine.Source()
	if source != i.source {
		i.source, i.connected, i.sources = source, false, i.sources+1
	}
	i.busyUntil = r.now.Add(simPoll)
	if source == Store {
		i.machine.StoreResponded(!r.storeAway, r.now)
		return
	}
	took := simDial
	if i.connected {
		took = simSilence
	}
	if r.reaches(i.name, source) {
		i.connected = true
		r.instances[source].machine.Contact(i.name, r.now)
		took = simPoll
	}
	i.busyUntil = r.now.Add(took)
	r.after(took, func() {
		if r.reaches(i.name, source) {
			r.responded(i, source)
			i.machine.SourceConfirmed(r.now)
			return
		}
		i.connected = false
		i.machine.Failed(source, Silent, r.now)
	})
}

// listen lets an instance receive the findings of its source, which responds at once when they
// change.
func (r *region) listen(i *instance) {
	if i.source == Store || !i.connected || !r.reaches(i.name, i.source) {
		return
	}
	if f := r.instances[i.source].machine.Findings(); f.Digest != i.machine.SourceDigest() {
		i.machine.SourceTold(f, r.now)
	}
}

// step steps the machine of an instance and does what it returns.
func (r *region) step(i *instance) {
	ready := i.machine.Step(r.now)
	r.checks += len(ready.Checks)
	for _, c := range ready.Checks {
		if r.reaches(i.name, c.Peer) {
			r.respond(i, c)
			continue
		}
		failure, took := r.connectFailure(c.Peer)
		r.after(took, func() { i.machine.Failed(c.Peer, failure, r.now) })
	}
	for _, dead := range ready.Dead {
		if r.latency && !r.reaches(i.name, dead.Name) {
			r.after(ConnectTimeout, func() { r.evictBy(i, dead) })
			continue
		}
		r.evict(dead)
	}
}

// evictBy removes a row if the instance that found it dead still lives, and does not reach it by a
// last check either.
func (r *region) evictBy(i *instance, dead Member) {
	switch {
	case i.dead:
	case r.reaches(i.name, dead.Name):
		i.machine.Contact(dead.Name, r.now)
	default:
		r.evict(dead)
	}
}

// respond lets a living instance respond to a check.
func (r *region) respond(i *instance, c Check) {
	to := r.instances[c.Peer]
	if to != nil {
		to.machine.Contact(i.name, r.now)
		if c.Tell != nil {
			to.machine.Told(i.name, *c.Tell, r.now)
		}
	}
	if !r.latency || to == nil {
		r.responded(i, c.Peer)
		return
	}
	took := simFar
	if to.machine.self.Region == i.machine.self.Region {
		took = simNear
	}
	r.after(took+r.slow, func() { r.responded(i, c.Peer) })
}

// responded records the response of a living instance.
func (r *region) responded(i *instance, name string) {
	if r.storeAway {
		i.machine.Failed(name, StoreLost, r.now)
		return
	}
	i.machine.Responded(name, true, r.now)
}

// evict removes a row if it is at the version that was seen.
func (r *region) evict(dead Member) {
	if r.storeAway {
		return
	}
	if row, ok := r.rows[dead.Name]; !ok || row.RowVersion != dead.RowVersion {
		return
	}
	delete(r.rows, dead.Name)
	r.removed[dead.Name] = r.now
	r.spreadLater()
	if i := r.instances[dead.Name]; i == nil || !i.dead {
		r.evictions++
		r.after(2*simSpread+time.Second, func() {
			dead.RowVersion += 1000
			r.rows[dead.Name] = dead
			r.spread()
		})
	}
}

// kill darkens instances and checks that all rows are removed in time, that no row of a
// living instance is, and that a living instance changes its source at most so often.
func (r *region) kill(names []string, maxChanges int) {
	for _, i := range r.instances {
		i.sources = 0
	}
	for _, name := range names {
		r.instances[name].dead = true
	}
	died := r.now
	r.run(directoryBound - simSpread)
	require.Zero(r.t, r.evictions, "the row of a living instance was removed")
	for _, name := range names {
		at, ok := r.removed[name]
		require.True(r.t, ok, "%s is still named %s after its death", name, r.now.Sub(died))
		require.LessOrEqual(r.t, at.Sub(died)+simSpread, directoryBound)
	}
	r.run(2 * time.Second)
	for _, i := range r.instances {
		if !i.dead && maxChanges > 0 {
			require.LessOrEqual(r.t, i.sources, maxChanges, "changes of source at %s", i.name)
		}
	}
}

// TestDeadInstanceAtAnyPlaceIsRemoved guards against a death that nobody notices because
// of the place of the dead instance in the region: the first reader, the second one, the
// first of a zone, one without children. Followers change their source for the death and
// for the new tree after it.
func TestDeadInstanceAtAnyPlaceIsRemoved(t *testing.T) {
	for _, count := range []int{2, 3, 4, 11, 24, 77} {
		for _, place := range []int{0, 1, 2, count / 2, count - 1} {
			if place >= count {
				continue
			}
			r := newRegion(t, count, 2)
			r.run(3 * time.Second)
			r.kill([]string{r.order()[place]}, 2)
			require.LessOrEqual(t, r.removed[r.order()[place]].Sub(epoch.Add(3*time.Second)), 4*time.Second, "count %d place %d", count, place)
		}
	}
}

// TestManyDeadInstancesAreRemoved guards against dead instances that nobody watches
// because those that did died too: the first ones of the order, a zone, most of a region.
func TestManyDeadInstancesAreRemoved(t *testing.T) {
	for count, seeds := range map[int]uint64{3: 6, 4: 6, 11: 6, 24: 6, 77: 6, 300: 1} {
		for seed := range seeds {
			r := newRegion(t, count, 3)
			r.run(3 * time.Second)
			order := r.order()
			rng := rand.New(rand.NewPCG(seed, uint64(count)))
			var names []string
			switch seed {
			case 0:
				names = order[:2]
			case 1:
				names = order[:count*6/10]
			case 2:
				names = order[:count-1]
			default:
				for _, n := range rng.Perm(count)[:count*6/10] {
					names = append(names, order[n])
				}
			}
			t.Run(fmt.Sprintf("%d of %d, seed %d", len(names), count, seed), func(t *testing.T) {
				r.t = t
				r.kill(names, 0)
			})
		}
	}
}

// TestDeathsInTurnAreNoticed guards against a death that goes unnoticed because the role
// of the dead instance moves to one that dies next.
func TestDeathsInTurnAreNoticed(t *testing.T) {
	for _, gap := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		r := newRegion(t, 12, 2)
		r.run(3 * time.Second)
		died := map[string]time.Time{}
		for _, name := range r.order()[:6] {
			r.instances[name].dead = true
			died[name] = r.now
			r.run(gap)
		}
		r.run(directoryBound)
		require.Zero(t, r.evictions)
		for name, at := range died {
			require.Contains(t, r.removed, name)
			require.LessOrEqual(t, r.removed[name].Sub(at)+simSpread, directoryBound, "gap %s, %s", gap, name)
		}
	}
}

// revive starts dark instances again as new processes.
func (r *region) revive(names []string) {
	for _, name := range names {
		row := r.rows[name]
		if row.Name == "" {
			row = r.instances[name].machine.self
		}
		row.Incarnation, row.RowVersion = row.Incarnation+1, row.RowVersion+10_000
		r.rows[name] = row
		r.instances[name] = &instance{name: name, machine: New(row)}
	}
	r.after(simSpread, r.spread)
}

// TestReturnsLeaveNoDoubt guards against an observer that no longer holds a dead instance for
// dead, because others came back from a loss of power or a cut shortly before.
func TestReturnsLeaveNoDoubt(t *testing.T) {
	for _, away := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		for _, cut := range []bool{false, true} {
			r := newRegion(t, 24, 2)
			r.run(3 * time.Second)
			order := r.order()
			gone := order[2:12]
			for _, name := range gone {
				if cut {
					for _, other := range order[:2] {
						r.cut[[2]string{other, name}] = true
					}
				} else {
					r.instances[name].dead = true
				}
			}
			r.run(away)
			clear(r.cut)
			if !cut {
				r.revive(gone)
			}
			r.run(3 * time.Second)
			r.evictions = 0
			r.kill(order[:1], 0)
		}
	}
}

// TestCutInstanceRemovesFewRows guards against an instance that is cut off from all others
// and takes them for dead: their rows come and go for as long as the cut lasts.
func TestCutInstanceRemovesFewRows(t *testing.T) {
	for _, place := range []int{0, 1, 5, 10} {
		r := newRegion(t, 11, 2)
		r.run(3 * time.Second)
		lone := r.order()[place]
		for name := range r.instances {
			if name != lone {
				r.cut[[2]string{lone, name}] = true
			}
		}
		r.cut[[2]string{lone, "elsewhere"}] = true
		r.run(5 * time.Second)
		// The others cannot tell the instance from a dead one.
		require.LessOrEqual(t, r.evictions, 1)
		r.run(55 * time.Second)
		require.LessOrEqual(t, r.evictions, 40, "place %d", place)
	}
}

// TestCalmRegionChecksNobody guards against checks, and so connections, at rest.
// The root only checks one instance of another region.
func TestCalmRegionChecksNobody(t *testing.T) {
	r := newRegion(t, 77, 3)
	r.run(5 * time.Second)
	for _, i := range r.instances {
		checks := i.machine.Step(r.now).Checks
		if i.machine.IsRoot() {
			require.LessOrEqual(t, len(checks), 1)
		} else {
			require.Empty(t, checks)
		}
		require.LessOrEqual(t, i.sources, 1)
	}
}

// TestDeadRegionIsRemoved guards against rows of a region whose instances are all gone, so
// that none of them can remove the others.
func TestDeadRegionIsRemoved(t *testing.T) {
	for count, regions := range map[int]int{2: 2, 3: 3, 11: 3, 74: 3, 160: 8} {
		r := newRegions(t, count, 6, regions)
		r.run(3 * time.Second)
		var names []string
		for name, row := range r.rows {
			if row.Region == "region-1" {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		t.Run(fmt.Sprintf("%d instances, %d regions", count, regions), func(t *testing.T) {
			r.t = t
			r.kill(names, 0)
		})
	}
}

// TestCutRegionsRemoveEachOtherOnce guards against regions that lose each other for long and
// remove each other's rows again and again.
func TestCutRegionsRemoveEachOtherOnce(t *testing.T) {
	r := newRegions(t, 11, 6, 2)
	r.run(3 * time.Second)
	for a, rowA := range r.rows {
		for b, rowB := range r.rows {
			if rowA.Region != rowB.Region {
				r.cut[[2]string{a, b}] = true
			}
		}
	}
	r.run(2 * time.Minute)
	require.LessOrEqual(t, r.evictions, 11)
}

// TestStoreLostReadsStoreUntilTablesAreBack guards against instances that try one peer
// after the other while all of them have lost the store.
func TestStoreLostReadsStoreUntilTablesAreBack(t *testing.T) {
	r := newRegion(t, 24, 2)
	order := r.order()
	m := r.instances[order[23]].machine
	parent := m.Source()
	require.NotEqual(t, Store, parent)
	m.Failed(parent, StoreLost, epoch)
	require.Equal(t, Store, m.Source())
	require.Contains(t, m.Step(epoch.Add(maxCheckInterval)).Checks, Check{Peer: parent, AwaitTables: true})
	m.Responded(parent, true, epoch.Add(maxCheckInterval))
	require.Equal(t, parent, m.Source())
}

// TestRepeatedFailuresKeepPeerAway guards against a reader that is tried again every time
// it responds, though it fails each time.
func TestRepeatedFailuresKeepPeerAway(t *testing.T) {
	r := newRegion(t, 4, 1)
	m := r.instances[r.order()[3]].machine
	parent, now := m.Source(), epoch
	changes := 0
	for range 120 {
		now = now.Add(500 * time.Millisecond)
		m.Responded(parent, true, now)
		if m.Source() == parent {
			changes++
			m.Failed(parent, Unresponsive, now)
		}
	}
	require.LessOrEqual(t, changes, 15, "in a minute")
}
