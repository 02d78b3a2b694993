package refresh

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/decidetest"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

func TestMain(m *testing.M) {
	decidetest.FixSeed()
	os.Exit(m.Run())
}

var policies = []struct {
	name string
	make func(*Set) Policy
}{
	{"full", NewFullPolicy}, {"delta", NewDeltaPolicy}, {"tree", NewTreePolicy}, {"deltatree", NewDeltaTreePolicy},
}

var epoch = time.Unix(0, 0)

// record returns the given version of the i-th test record.
func record(i int, sequence uint64) Record {
	return Record{
		Owner: fmt.Sprintf("pos-a-%04d", i), Name: "member", Incarnation: 1764000000000, Sequence: sequence,
		Value: []byte("live 10.12.104.211:7001 10.12.104.211:7002"),
	}
}

// exchange makes one exchange from a to b and returns the size of its messages in
// bytes.
func exchange(a, b Policy) int {
	req := a.Request()
	reply := b.Serve(epoch, req)
	a.Finish(epoch, reply)
	return req.Size() + reply.Size()
}

// TestReplicasConverge checks for every policy that four exchanges make two replicas
// equal after random changes, deletions, lost messages, silently dropped records
// and restarts. Both must then hold the newest version of every record that either
// of them still had.
func TestReplicasConverge(t *testing.T) {
	for _, p := range policies {
		t.Run(p.name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { testConverge(t, p.make) }) })
	}
}

// testConverge runs one case of TestReplicasConverge.
func testConverge(t *rapid.T, make func(*Set) Policy) {
	limits := Limits{Log: rapid.IntRange(1, 8).Draw(t, "log")}
	sets := []*Set{NewSet(limits), NewSet(limits)}
	ends := []Policy{make(sets[0]), make(sets[1])}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		i := rapid.IntRange(0, 1).Draw(t, "side")
		r := record(rapid.IntRange(0, 9).Draw(t, "record"), uint64(rapid.IntRange(1, 5).Draw(t, "sequence")))
		switch rapid.IntRange(0, 6).Draw(t, "step") {
		case 0, 1:
			r.Deleted = rapid.IntRange(0, 3).Draw(t, "deleted") == 0
			sets[i].Put(epoch, r)
		case 2:
			sets[i].dropSilently(r.Owner, r.Name)
		case 3:
			ends[1-i].Serve(epoch, ends[i].Request())
		case 4:
			sets[i] = NewSet(limits)
			ends = []Policy{make(sets[0]), make(sets[1])}
		default:
			exchange(ends[i], ends[1-i])
		}
	}
	want := newestLive(sets)
	// At most four exchanges are needed: one detects the mismatch, one sends the
	// change log, one sends every record, and one confirms that the sets are equal.
	for range 4 {
		exchange(ends[0], ends[1])
	}
	require.True(t, ends[0].InSync())
	require.Equal(t, sets[0].Digest(), sets[1].Digest())
	require.Equal(t, want, newestLive(sets[:1]))
	require.Equal(t, want, newestLive(sets[1:]))
}

// newestLive returns the newest version of every record that is not deleted.
func newestLive(sets []*Set) []Record {
	all := NewSet(Limits{})
	for _, s := range sets {
		for _, r := range s.all() {
			all.Put(epoch, r)
		}
	}
	return slices.DeleteFunc(all.all(), func(r Record) bool { return r.Deleted })
}

// TestDigestOrderIndependence checks that the digest does not depend on the order in
// which the records were stored.
func TestDigestOrderIndependence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(0, 30).Draw(t, "records") {
			r := record(rapid.IntRange(0, 9).Draw(t, "record"), uint64(rapid.IntRange(1, 5).Draw(t, "sequence")))
			r.Deleted = rapid.Bool().Draw(t, "deleted")
			records = append(records, r)
		}
		digest := func(rs []Record) uint64 {
			s := NewSet(Limits{})
			for _, r := range rs {
				s.Put(epoch, r)
			}
			return s.Digest()
		}
		require.Equal(t, digest(records), digest(rapid.Permutation(records).Draw(t, "order")))
	})
}

// TestLimits checks that a set respects its limits, and that a set that is at its
// limit, and so can never equal the other one, does not cause a full exchange each
// time. It also checks that tombstones expire.
func TestLimits(t *testing.T) {
	a, b := NewSet(Limits{Log: 4}), NewSet(Limits{Log: 4, Records: 5})
	for i := range 10 {
		a.Put(epoch, record(i, 1))
	}
	pa, pb := NewDeltaPolicy(a), NewDeltaPolicy(b)
	fullRequests := 0
	for range 64 {
		req := pa.Request()
		if req.Full {
			fullRequests++
		}
		pa.Finish(epoch, pb.Serve(epoch, req))
	}
	require.Equal(t, 5, b.Len())
	require.NotZero(t, b.Refused())
	require.Equal(t, 2, fullRequests)
	a.Put(epoch, Record{Owner: "pos-a-0000", Name: "member", Incarnation: 1764000000000, Sequence: 2, Deleted: true})
	a.Expire(epoch.Add(DefaultTombstoneTTL - 1))
	require.Equal(t, 10, a.Len())
	a.Expire(epoch.Add(DefaultTombstoneTTL))
	require.Equal(t, 9, a.Len())
}

// TestRecordSize checks that Record.Size equals the size in the peer protocol.
func TestRecordSize(t *testing.T) {
	r := record(1, 7)
	r.Deleted = true
	m := &peerpb.Refresh{Records: []*peerpb.Record{{
		Owner: r.Owner, Name: r.Name, Incarnation: r.Incarnation, Sequence: r.Sequence, Value: r.Value, Deleted: true,
	}}}
	require.Equal(t, proto.Size(m), r.Size())
}

// sizes lists the numbers of records in the benchmarks.
var sizes = []int{100, 1000, 6300}

// newSyncedPair makes two equal sets of n records. It returns the first set and the
// policies of both.
func newSyncedPair(n int, make func(*Set) Policy) (a *Set, pa, pb Policy) {
	a, b := NewSet(Limits{}), NewSet(Limits{})
	for i := range n {
		a.Put(epoch, record(i, 1))
	}
	pa, pb = make(a), make(b)
	for range 3 {
		exchange(pa, pb)
	}
	return a, pa, pb
}

// BenchmarkExchange measures one exchange with a few records that changed since the
// previous one. Each heartbeat makes such an exchange.
func BenchmarkExchange(b *testing.B) {
	for _, p := range policies {
		for _, n := range sizes {
			for _, changed := range []int{0, 1, 10} {
				b.Run(fmt.Sprintf("policy=%s/records=%d/changed=%d", p.name, n, changed), func(b *testing.B) {
					a, pa, pb := newSyncedPair(n, p.make)
					bytes, sequence := 0, uint64(1)
					for b.Loop() {
						sequence++
						for i := range changed {
							a.Put(epoch, record(i, sequence))
						}
						bytes += exchange(pa, pb)
					}
					b.ReportMetric(float64(bytes)/float64(b.N), "B/exchange")
				})
			}
		}
	}
}

// BenchmarkResync measures the exchanges until two sets are equal again after one
// has silently dropped records or has restarted empty, as after the restart of a
// relay. The dropped records are not in the change log.
func BenchmarkResync(b *testing.B) {
	for _, p := range policies {
		for _, n := range sizes {
			for _, lost := range []string{"one", "tenth", "restart"} {
				b.Run(fmt.Sprintf("policy=%s/records=%d/lost=%s", p.name, n, lost), func(b *testing.B) {
					benchmarkResync(b, p.make, n, lost)
				})
			}
		}
	}
}

func benchmarkResync(b *testing.B, make func(*Set) Policy, n int, lost string) {
	a, pa, pb := newSyncedPair(n, make)
	bytes, rounds := 0, 0
	for b.Loop() {
		peerSet := setOf(pb)
		switch lost {
		case "restart":
			peerSet = NewSet(Limits{})
			pa, pb = make(a), make(peerSet)
		case "one":
			peerSet.dropSilently(record(n/4, 1).Owner, "member")
		case "tenth":
			for i := range n / 10 {
				peerSet.dropSilently(record(i, 1).Owner, "member")
			}
		}
		for a.Digest() != peerSet.Digest() {
			bytes += exchange(pa, pb)
			rounds++
		}
		// One more exchange, which is not counted, lets the policy detect that the
		// sets are equal.
		exchange(pa, pb)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/resync")
	b.ReportMetric(float64(rounds)/float64(b.N), "exchanges/resync")
}

// setOf returns the set of a policy.
func setOf(p Policy) *Set {
	switch p := p.(type) {
	case *fullPolicy:
		return p.set
	case *deltaPolicy:
		return p.set
	case *treePolicy:
		return p.set
	}
	return nil
}

// BenchmarkMemory measures the heap memory of a set, including the digest tree and
// the change log.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			var kept []*Set
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				s := NewSet(Limits{})
				for i := range n {
					s.Put(epoch, record(i, 1))
				}
				kept = append(kept, s)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)), "B/set")
			runtime.KeepAlive(kept)
		})
	}
}

// TestRequestRepeatsUnacknowledgedChanges checks that requests repeat a change until
// a reply arrives, and that a request carries every record when the change log is
// too short for the changes.
func TestRequestRepeatsUnacknowledgedChanges(t *testing.T) {
	for _, p := range policies[1:] {
		a, b := NewSet(Limits{Log: 4}), NewSet(Limits{Log: 4})
		pa, pb := p.make(a), p.make(b)
		a.Put(epoch, record(0, 1))
		require.Len(t, pa.Request().Records, 1, p.name)
		require.Len(t, pa.Request().Records, 1, "the first request got no reply, so the second must repeat the record")
		exchange(pa, pb)
		require.Empty(t, pa.Request().Records)
		for i := range 10 {
			a.Put(epoch, record(i, 2))
		}
		require.Len(t, pa.Request().Records, 10)
		exchange(pa, pb)
		require.True(t, pa.InSync())
	}
}
