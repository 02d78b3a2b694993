package feeds

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/decide/tree"
	"github.com/banyandeal/banyandeal/internal/edge/control"
	"github.com/banyandeal/banyandeal/internal/random"
	"github.com/banyandeal/banyandeal/internal/wait"
	"github.com/banyandeal/banyandeal/platform"
)

// cluster is a store and instances that read it from each other, all in memory.
type cluster struct {
	store *fakeStore
	// reads is what the instances read as the store.
	reads     Source
	instances map[string]*fakeInstance
	// maxWait bounds the waits for changes.
	maxWait time.Duration
}

// fakeStore is a store with one partition. It is a Source.
type fakeStore struct {
	*Replica
	mu       sync.Mutex
	position platform.Position
	// log holds the rows that were written to the backend servers' table.
	log []platform.Row
}

func newFakeStore() *fakeStore {
	s := &fakeStore{Replica: NewReplica(), position: platform.Position{Era: 1}}
	s.reset(nil)
	return s
}

// reset replaces the content of all tables at the current position.
func (s *fakeStore) reset(backends []platform.Row) {
	for _, table := range []string{platform.TableOperator, TableMembers, TableNotices} {
		s.Reset(table, nil, s.position)
	}
	s.Reset(platform.TableBackends, backends, s.position)
}

// rollback loses the newest rows and begins a new era.
func (s *fakeStore) rollback(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = s.log[:len(s.log)-min(count, len(s.log))]
	s.position = platform.Position{Era: s.position.Era + 1}
	newest := map[string]platform.Row{}
	for _, row := range s.log {
		s.position.Version = row.Version
		newest[row.Key] = row
	}
	rows := slices.Collect(maps.Values(newest))
	s.reset(slices.DeleteFunc(rows, func(row platform.Row) bool { return row.Deleted }))
}

// put writes a row, or deletes it if value is nil.
func (s *fakeStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position.Version++
	row := platform.Row{Table: table, Key: key, Value: value, Version: s.position.Version, Deleted: value == nil}
	s.log = append(s.log, row)
	s.Apply(table, []platform.Row{row}, s.position)
}

// fakeInstance follows the tables with the real feeds.
type fakeInstance struct {
	name     string
	cluster  *cluster
	replica  *Replica
	selector *SourceSelector

	mu sync.Mutex
	// cut is set while neither the store nor other instances respond, and cutFrom
	// holds the names of sources that do not, peers.Store for the store.
	cut     bool
	cutFrom map[string]bool
	// backends and evacuated hold what was delivered.
	backends, evacuated map[string]bool
	// control receives what is delivered instead, unless it is nil.
	control *control.Control
	// slow is how long the receiver takes for an update.
	slow time.Duration
}

// cutSource passes calls on to a source unless one of the two instances is cut off.
type cutSource struct {
	from *fakeInstance
	// to is nil for the store.
	to *fakeInstance
}

var errCut = errors.New("cut off")

func (c cutSource) source() (Source, error) {
	if c.to == nil {
		return c.from.cluster.reads, c.from.reach(peers.Store)
	}
	if c.to.isCut() {
		return nil, errCut
	}
	return c.to.replica, c.from.reach(c.to.name)
}

func (c cutSource) Rows(ctx context.Context, table string) ([]platform.Row, platform.Position, error) {
	s, err := c.source()
	if err != nil {
		return nil, platform.Position{}, err
	}
	return s.Rows(ctx, table)
}

func (c cutSource) Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) ([]platform.Row, platform.Position, error) {
	s, err := c.source()
	if err != nil {
		return nil, platform.Position{}, err
	}
	rows, version, err := s.Changes(ctx, table, after, min(wait, c.from.cluster.maxWait))
	if _, cutErr := c.source(); err == nil && cutErr != nil {
		return nil, platform.Position{}, cutErr
	}
	return rows, version, err
}

// Source implements ReaderClient; the address of an instance is its name.
func (i *fakeInstance) Source(address string) Source {
	return cutSource{from: i, to: i.cluster.instances[address]}
}

// Close implements ReaderClient.
func (i *fakeInstance) Close(string) {}

// fakeChooser is a Chooser that decides with the real machine, and checks other instances
// through the cuts between them.
type fakeChooser struct {
	instance *fakeInstance
	mu       sync.Mutex
	machine  *peers.Machine
	// forced is chosen instead of what the machine decides, unless it is empty.
	forced string
}

// force makes the chooser choose an instance, until it is called with an empty name.
func (c *fakeChooser) force(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forced = name
}

// member returns the member of an instance.
func member(name string) peers.Member {
	return peers.Member{Node: tree.Node{Name: name, Zone: "a"}, Region: "region", Incarnation: 1}
}

func (c *fakeChooser) Choose() Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := cmp.Or(c.forced, c.machine.Source())
	return Choice{Name: name, Address: name, Lateral: c.forced == "" && c.machine.Lateral()}
}

func (c *fakeChooser) StoreResponded(succeeded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.StoreResponded(succeeded, time.Now())
}

func (c *fakeChooser) ReaderResponded(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Responded(name, true, time.Now())
}

func (c *fakeChooser) ReaderFailed(name string, err error) {
	failure := peers.Unreachable
	switch {
	case errors.Is(err, ErrStoreLost):
		failure = peers.StoreLost
	case errors.Is(err, ErrNotReading), errors.Is(err, ErrReaderBehind):
		failure = peers.NotReading
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Failed(name, failure, time.Now())
}

func (c *fakeChooser) IsRoot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.IsRoot()
}

func (c *fakeChooser) RegionSize() int { return len(c.instance.cluster.instances) }

// run steps the machine until ctx is done.
func (c *fakeChooser) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		ready := c.machine.Step(time.Now())
		c.mu.Unlock()
		for _, check := range ready.Checks {
			c.check(ctx, check.Peer)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *fakeChooser) check(ctx context.Context, name string) {
	to := c.instance.cluster.instances[name]
	s, err := cutSource{from: c.instance, to: to}.source()
	if err == nil {
		err = s.(*Replica).AwaitCurrent(ctx, 0)
	}
	if err != nil {
		c.ReaderFailed(name, err)
		return
	}
	c.ReaderResponded(name)
}

func (i *fakeInstance) isCut() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cut
}

// reach returns errCut if the instance does not reach a source.
func (i *fakeInstance) reach(name string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cut || i.cutFrom[name] {
		return errCut
	}
	return nil
}

func (i *fakeInstance) setCutFrom(names ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cutFrom = map[string]bool{}
	for _, name := range names {
		i.cutFrom[name] = true
	}
}

func (i *fakeInstance) setCut(cut bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cut = cut
}

// push is a receiver like control.Control: it takes an update unless ctx ends first.
func (i *fakeInstance) push(ctx context.Context, u control.Update) {
	if i.control != nil {
		i.control.Push(ctx, u)
		return
	}
	wait.Sleep(ctx, i.slow)
	if ctx.Err() != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if u.Full && u.Kind == control.KindBackends {
		i.backends = map[string]bool{}
	}
	if u.Full && u.Kind == control.KindOperator {
		i.evacuated = map[string]bool{}
	}
	for id, b := range u.Backends {
		i.backends[id] = b != nil
	}
	maps.Copy(i.evacuated, u.Evacuated)
}

// holds returns the keys that are present according to what was delivered.
func (i *fakeInstance) holds() (backends, evacuated []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	present := func(m map[string]bool) []string {
		return slices.Sorted(maps.Keys(maps.Collect(func(yield func(string, bool) bool) {
			for k, on := range m {
				if on && !yield(k, on) {
					return
				}
			}
		})))
	}
	return present(i.backends), present(i.evacuated)
}

func newCluster(count int, slow time.Duration) *cluster {
	c := &cluster{store: newFakeStore(), instances: map[string]*fakeInstance{}, maxWait: 30 * time.Millisecond}
	c.reads = c.store
	for n := range count {
		name := fmt.Sprint("instance-", n)
		c.instances[name] = &fakeInstance{
			name: name, cluster: c, replica: NewReplica(), backends: map[string]bool{}, evacuated: map[string]bool{},
			slow: slow,
		}
	}
	return c
}

// order returns the names of the instances in the order in which they read the store.
func (c *cluster) order() []string {
	var nodes []tree.Node
	for name := range c.instances {
		nodes = append(nodes, member(name).Node)
	}
	return tree.New("region", nodes).Order()
}

// start starts the feeds of all instances. The test's cleanup stops them.
func (c *cluster) start(t *testing.T) {
	var members []peers.Member
	for name := range c.instances {
		members = append(members, member(name))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	t.Cleanup(func() { cancel(); all.Wait() })
	for _, i := range c.instances {
		chooser := &fakeChooser{instance: i, machine: peers.New(member(i.name))}
		chooser.machine.Members(members, time.Now())
		all.Go(func() { chooser.run(ctx) })
		i.selector = NewSourceSelector(cutSource{from: i}, i, chooser, random.Unpredictable(), zerolog.Nop())
		i.selector.MembersKnown()
		for _, f := range New(i.selector, i.replica, i.push, ignoreRows, ignoreRows, zerolog.Nop()) {
			f.batchInterval = time.Millisecond
			all.Go(func() { f.Run(ctx) })
		}
	}
}

func backendRow(id string) []byte {
	return fmt.Appendf(nil, `{"address":"127.0.0.1:1","info":{"service":"s","zone":"z","slots":1,"version":"v"},"status":{"state":"ready","seq":1}}`)
}

// expected returns the keys of a table of the store.
func (c *cluster) expected(table string) []string {
	rows, _, _ := c.store.Rows(context.Background(), table)
	keys := []string{}
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	slices.Sort(keys)
	return keys
}

// converged reports whether all instances hold what the store has.
func (c *cluster) converged() bool {
	for _, i := range c.instances {
		backends, _ := i.holds()
		if !slices.Equal(append([]string{}, backends...), c.expected(platform.TableBackends)) {
			return false
		}
	}
	return true
}

// TestUpdateSurvivesChangeOfSource guards against an update that is lost because the
// source changes while the receiver is still busy: its version was taken, so that
// nothing asked for it again until the table's next change (rules DRAIN and CONFIG).
func TestUpdateSurvivesChangeOfSource(t *testing.T) {
	t.Parallel()
	c := newCluster(1, 150*time.Millisecond)
	c.start(t)
	only := c.instances["instance-0"]
	time.Sleep(500 * time.Millisecond)
	c.store.put(platform.TableBackends, "i-1", backendRow("i-1"))
	time.Sleep(60 * time.Millisecond)
	// The source is chosen anew while the receiver has the update.
	only.selector.cancelCalls(only.selector.choose())
	require.Eventually(t, c.converged, 2*time.Second, 10*time.Millisecond)
}

// TestNewReaderPassesOnWhatItReadAsFollower guards against rows that an instance has
// read from its reader and does not pass on when it becomes the reader itself: an
// instance that reached neither the old reader nor the store missed them for good.
func TestNewReaderPassesOnWhatItReadAsFollower(t *testing.T) {
	t.Parallel()
	c := newCluster(3, time.Millisecond)
	ranked := c.order()
	reader, next, last := c.instances[ranked[0]], c.instances[ranked[1]], c.instances[ranked[2]]
	c.start(t)
	c.store.put(platform.TableBackends, "i-1", backendRow("i-1"))
	follows := func(i *fakeInstance) bool { return i.selector.choose().Name == reader.name }
	require.Eventually(t, func() bool { return c.converged() && follows(next) && follows(last) }, 6*time.Second, 5*time.Millisecond)
	last.setCutFrom(peers.Store, reader.name)
	c.store.put(platform.TableBackends, "i-2", backendRow("i-2"))
	require.Eventually(t, func() bool { backends, _ := next.holds(); return len(backends) == 2 }, time.Second, time.Millisecond)
	reader.setCut(true)
	require.Eventually(t, func() bool { backends, _ := last.holds(); return len(backends) == 2 }, 6*time.Second, 10*time.Millisecond)
}

// TestInstancesConvergeThroughChangesOfSource guards against instances that miss rows
// for good after cuts, changes of reader and returns of the store from an older copy,
// whichever instance reads the store.
func TestInstancesConvergeThroughChangesOfSource(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 0))
			c := newCluster(4, 2*time.Millisecond)
			c.start(t)
			for range 60 {
				i := c.instances[fmt.Sprint("instance-", rng.IntN(4))]
				id := fmt.Sprint("i-", rng.IntN(30))
				switch rng.IntN(7) {
				case 0:
					i.setCut(!i.isCut())
				case 5:
					i.setCutFrom([]string{peers.Store, "instance-0", "instance-1", "instance-2"}[:rng.IntN(5)]...)
				case 1:
					i.selector.cancelCalls(i.selector.choose())
				case 6:
					c.store.rollback(rng.IntN(6))
				case 2:
					c.store.put(platform.TableBackends, id, nil)
				default:
					c.store.put(platform.TableBackends, id, backendRow(id))
				}
				time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
			}
			for _, i := range c.instances {
				i.setCut(false)
				i.setCutFrom()
			}
			require.Eventually(t, c.converged, 8*time.Second, 20*time.Millisecond)
		})
	}
}

func ignoreRows([]platform.Row, bool, platform.Position) {}

// TestNoticesAreSplitByKey guards against rows of limits that the quarantine reads as
// fingerprints, and against a whole reading that one of the two receivers does not hear of.
func TestNoticesAreSplitByKey(t *testing.T) {
	var quarantine, limits []string
	collect := func(keys *[]string) RowReceiver {
		return func(rows []platform.Row, full bool, _ platform.Position) {
			*keys = append(*keys, fmt.Sprint(len(rows), full))
			for _, r := range rows {
				*keys = append(*keys, r.Key)
			}
		}
	}
	receive := splitNotices(collect(&quarantine), collect(&limits))
	receive([]platform.Row{{Key: LimitKeyPrefix + "i-1"}, {Key: "0a"}, {Key: LimitKeyPrefix + "i-2", Deleted: true}}, false, platform.Position{})
	receive([]platform.Row{{Key: "0b"}}, false, platform.Position{})
	receive([]platform.Row{{Key: "0c"}}, true, platform.Position{})
	require.Equal(t, []string{"1 false", "0a", "1 false", "0b", "1 true", "0c"}, quarantine)
	require.Equal(t, []string{"2 false", "limit/i-1", "limit/i-2", "0 true"}, limits)
}

// TestReturnedReaderServesQuietTables guards against a reader that has followed another
// instance for a moment and then refuses the tables in which nothing changes, until its wait
// for their next change ends: all its followers turn to the store again and again.
func TestReturnedReaderServesQuietTables(t *testing.T) {
	t.Parallel()
	// returnBound is the time in which what the reader has must reach its followers.
	const returnBound = 2 * time.Second
	c := newCluster(3, time.Millisecond)
	c.maxWait = memberStoreWait
	ranked := c.order()
	reader := c.instances[ranked[0]]
	c.start(t)
	c.store.put(platform.TableBackends, "i-1", backendRow("i-1"))
	require.Eventually(t, c.converged, 6*time.Second, 5*time.Millisecond)
	// As at its start, when the reader does not know yet that it is the first one.
	chooser := reader.selector.chooser.(*fakeChooser)
	chooser.force(ranked[1])
	require.Equal(t, ranked[1], reader.selector.choose().Name)
	time.Sleep(200 * time.Millisecond)
	chooser.force("")
	require.Equal(t, peers.Store, reader.selector.choose().Name)
	refused := func() (tables []string) {
		for _, table := range []string{platform.TableOperator, platform.TableBackends, TableMembers, TableNotices} {
			if _, _, err := reader.replica.Rows(t.Context(), table); err != nil {
				tables = append(tables, table)
			}
		}
		return tables
	}
	time.Sleep(returnBound)
	require.Empty(t, refused(), "tables that the reader refuses to its followers %v after its return", returnBound)
}
