// Package refresh replicates small records of soft state between an instance
// and its neighbours: its zone's relays, and between the relays of zones.
//
// A Set holds the records. A Policy, one for each neighbour, says what to send.
// All but plain full refresh send the changes since the neighbour's last
// acknowledgement. They differ in how they find and mend what was lost
// without a trace:
//
//   - NewFull sends everything every time.
//   - NewDelta sends one digest of the whole set that does not depend on order.
//     When digests differ it sends the log of recent changes again, and when
//     that does not help everything. It needs no more than the present peer
//     messages.
//   - NewTree is the digest tree of L. Wang, A. Terzis and L. Zhang, "A Proposal
//     for reducing RSVP Refresh Overhead using State Compression",
//     Internet-Draft, April 1999: it sends the upper level of the tree each
//     time and walks down where digests differ.
//   - NewDeltaTree sends the one digest and walks down the tree only when it
//     differs. The measurements in docs/design/refresh.md favour it.
package refresh

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// Record is one replicated line of soft state. Of two records with the same
// owner and name the one with the higher (Incarnation, Sequence) wins.
type Record struct {
	Owner, Name           string
	Incarnation, Sequence uint64
	Value                 []byte
	// Deleted marks a tombstone.
	Deleted bool
}

// newer reports whether r replaces o. Records of one version with different
// contents, which only a fault can make, are ordered too, so that all replicas
// choose the same.
func (r Record) newer(o Record) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, o.Incarnation),
		cmp.Compare(r.Sequence, o.Sequence),
		compareBool(r.Deleted, o.Deleted),
		slices.Compare(r.Value, o.Value),
	) > 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// hash returns the record's part of a digest.
func (r Record) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	for _, n := range []uint64{uint64(len(r.Owner)), uint64(len(r.Name)), r.Incarnation, r.Sequence} {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:])
	}
	_, _ = d.WriteString(r.Owner)
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write(r.Value)
	return d.Sum64()
}

// Size returns the record's size in bytes as an element of a protobuf message.
func (r Record) Size() int {
	n := 0
	for _, l := range []int{len(r.Owner), len(r.Name), len(r.Value)} {
		if l > 0 {
			n += 1 + protowire.SizeBytes(l)
		}
	}
	n += 1 + protowire.SizeVarint(r.Incarnation) + 1 + protowire.SizeVarint(r.Sequence)
	if r.Deleted {
		n += 2
	}
	return 1 + protowire.SizeBytes(n)
}

// Sizes of the digest tree: a root over fanOut nodes over fanOut leaves each.
const (
	fanOutBits = 6
	fanOut     = 1 << fanOutBits
	leafCount  = fanOut * fanOut
)

type key struct{ owner, name string }

// leaf returns the key's leaf of the digest tree.
func (k key) leaf() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.owner)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.name)
	return uint32(d.Sum64() >> (64 - 2*fanOutBits))
}

type entry struct {
	Record
	sum  uint64
	leaf uint32
	// change is the number of the change that brought the record.
	change uint64
	// deletedAt is when a tombstone arrived here.
	deletedAt time.Time
}

// Limits bounds the memory of a Set. Zero fields get the defaults.
type Limits struct {
	// Records is the most records, tombstones included; further ones are
	// refused.
	Records int
	// Log is how many recent changes are remembered.
	Log int
	// TombstoneTTL is how long a tombstone is kept. A replica that is away for
	// longer can bring a deleted record back.
	TombstoneTTL time.Duration
}

// Defaults of Limits.
const (
	DefaultRecords      = 20000
	DefaultLog          = 512
	DefaultTombstoneTTL = 2 * time.Hour
)

// Set is a replica of the records. It is not safe for concurrent use.
type Set struct {
	limits  Limits
	records map[key]*entry
	// leaves and nodes are sums of the hashes below them. Tombstones do not
	// count, since replicas drop them at different times.
	leaves [leafCount]uint64
	nodes  [fanOut]uint64
	root   uint64
	// changes numbers the changes; it only rises.
	changes uint64
	// log is a ring of the keys of the last changes: change c is at
	// c % len(log).
	log     []key
	refused int
}

// NewSet returns an empty set.
func NewSet(l Limits) *Set {
	l.Records = cmp.Or(l.Records, DefaultRecords)
	l.Log = cmp.Or(l.Log, DefaultLog)
	l.TombstoneTTL = cmp.Or(l.TombstoneTTL, DefaultTombstoneTTL)
	return &Set{limits: l, records: map[key]*entry{}, log: make([]key, l.Log)}
}

// Digest returns the digest of all records but tombstones. It does not depend
// on the order in which they came.
func (s *Set) Digest() uint64 { return s.root }

// Len returns the number of records, tombstones included.
func (s *Set) Len() int { return len(s.records) }

// Refused returns how many records were refused for want of room.
func (s *Set) Refused() int { return s.refused }

// Get returns a record that is not a tombstone.
func (s *Set) Get(owner, name string) (Record, bool) {
	e, ok := s.records[key{owner, name}]
	if !ok || e.Deleted {
		return Record{}, false
	}
	return e.Record, true
}

// Put takes a record and reports whether it is news.
func (s *Set) Put(now time.Time, r Record) bool {
	k := key{r.Owner, r.Name}
	e, known := s.records[k]
	if known && !r.newer(e.Record) {
		return false
	}
	if !known {
		if len(s.records) >= s.limits.Records {
			s.refused++
			return false
		}
		e = &entry{leaf: k.leaf()}
		s.records[k] = e
	}
	s.add(e.leaf, -e.sum)
	e.Record, e.sum, e.deletedAt = r, 0, time.Time{}
	if r.Deleted {
		e.deletedAt = now
	} else {
		e.sum = r.hash()
	}
	s.add(e.leaf, e.sum)
	s.changes++
	e.change = s.changes
	s.log[s.changes%uint64(len(s.log))] = k
	return true
}

// Expire drops old tombstones.
func (s *Set) Expire(now time.Time) {
	for k, e := range s.records {
		if e.Deleted && now.Sub(e.deletedAt) >= s.limits.TombstoneTTL {
			delete(s.records, k)
		}
	}
}

// lose drops a record without a trace, as a fault would.
func (s *Set) lose(owner, name string) {
	k := key{owner, name}
	if e, ok := s.records[k]; ok {
		s.add(e.leaf, -e.sum)
		delete(s.records, k)
	}
}

// add adds to the sums above a leaf; they wrap around.
func (s *Set) add(leaf uint32, sum uint64) {
	s.leaves[leaf] += sum
	s.nodes[leaf>>fanOutBits] += sum
	s.root += sum
}

// since returns the records that changed after a change number, in the order of
// the changes, or all when the log does not reach back so far.
func (s *Set) since(change uint64) []Record {
	if change > s.changes || s.changes-change > uint64(len(s.log)) {
		return s.all()
	}
	var out []Record
	for c := change + 1; c <= s.changes; c++ {
		// A record that changed again later is sent once.
		if e, ok := s.records[s.log[c%uint64(len(s.log))]]; ok && e.change == c {
			out = append(out, e.Record)
		}
	}
	return out
}

// recent returns the records of the whole log.
func (s *Set) recent() []Record {
	return s.since(s.changes - min(s.changes, uint64(len(s.log))))
}

// all returns every record, sorted.
func (s *Set) all() []Record {
	return s.collect(func(*entry) bool { return true })
}

// inLeaves returns the records of some leaves, sorted.
func (s *Set) inLeaves(leaves []uint32) []Record {
	return s.collect(func(e *entry) bool {
		_, ok := slices.BinarySearch(leaves, e.leaf)
		return ok
	})
}

func (s *Set) collect(want func(*entry) bool) []Record {
	var out []Record
	for _, e := range s.records {
		if want(e) {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Name, b.Name))
	})
	return out
}
