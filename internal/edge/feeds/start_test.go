package feeds

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// storeLatency is how long a call to the store takes at the least, and inForceDelay how long
	// after its read the members' table is in force.
	storeLatency = 4 * time.Millisecond
	inForceDelay = 20 * time.Millisecond
	// maxStartCalls is the most reads of the store that an instance makes on the mean when all
	// start at a time: the three tables that requests need, and what the region's reader reads
	// besides.
	maxStartCalls = 3.5
)

// countedStore is the store as one instance reads it. It counts the calls of all.
type countedStore struct {
	cutSource
	counts *callCounts
	// membersRead is called when the members' table has been read.
	membersRead func()
}

// callCounts counts calls by table.
type callCounts struct {
	mu    sync.Mutex
	calls map[string]int
}

func (c *callCounts) add(call string) {
	time.Sleep(storeLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[call]++
}

// snapshot returns the calls counted so far.
func (c *callCounts) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}

// Rows implements Source.
func (s countedStore) Rows(ctx context.Context, table string) ([]platform.Row, platform.Position, error) {
	s.counts.add("read " + table)
	rows, position, err := s.cutSource.Rows(ctx, table)
	if table == TableMembers && err == nil {
		// The race detector of Go 1.26 may crash in functions that timers start in a synctest bubble.
		go func() {
			time.Sleep(inForceDelay)
			s.membersRead()
		}()
	}
	return rows, position, err
}

// Changes implements Source.
func (s countedStore) Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) ([]platform.Row, platform.Position, error) {
	s.counts.add("changes " + table)
	return s.cutSource.Changes(ctx, table, after, wait)
}

// startUnknown starts the feeds of all instances, each of which knows the others once it has read
// the members' table.
func (c *cluster) startUnknown(ctx context.Context, all *sync.WaitGroup, counts *callCounts) {
	var members []peers.Member
	for _, name := range slices.Sorted(maps.Keys(c.instances)) {
		members = append(members, member(name))
	}
	for _, i := range c.instances {
		chooser := &fakeChooser{instance: i, machine: peers.New(member(i.name))}
		all.Go(func() { chooser.run(ctx) })
		read := countedStore{cutSource: cutSource{from: i}, counts: counts, membersRead: func() {
			chooser.mu.Lock()
			chooser.machine.Members(members, time.Now())
			chooser.mu.Unlock()
			i.selector.MembersKnown()
		}}
		i.selector = NewSourceSelector(read, i, chooser, random.Unpredictable(), zerolog.Nop())
		for _, f := range New(i.selector, i.replica, i.push, ignoreRows, ignoreRows, zerolog.Nop()) {
			all.Go(func() { f.Run(ctx) })
		}
	}
}

// TestStoreCallsAtStart guards against instances that all read from the store, when they start,
// what they can have from each other, and above all wait there for changes.
func TestStoreCallsAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, quiet = 30, 900 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		defer all.Wait()
		defer cancel()
		c, counts := newCluster(size, 0), &callCounts{calls: map[string]int{}}
		c.maxWait, c.reads = time.Hour, newHistoryStore()
		c.startUnknown(ctx, &all, counts)
		time.Sleep(quiet)
		byTable, calls := counts.snapshot(), 0
		for _, n := range byTable {
			calls += n
		}
		t.Logf("%d calls of %d instances: %v", calls, size, byTable)
		require.LessOrEqual(t, float64(calls)/size, maxStartCalls)
		for _, i := range c.instances {
			for _, table := range []string{platform.TableOperator, platform.TableBackends, TableMembers, TableNotices} {
				require.True(t, i.replica.IsCurrent(table), "%s of %s", table, i.name)
			}
		}
	})
}
