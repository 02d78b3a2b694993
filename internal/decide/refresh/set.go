// Package refresh replicates small soft-state records between neighbouring
// instances: between an instance and the relays of its zone, and between the
// relays of different zones.
//
// A Set holds the records. A Policy, one for each neighbour, determines which
// records are sent. All policies except NewFullPolicy send the records that
// changed since the neighbour's last acknowledgement. They differ in how they
// detect and repair the loss of records that no change number reveals:
//
//   - NewFullPolicy sends every record in each exchange.
//   - NewDeltaPolicy sends one digest of the whole set, which does not depend on
//     the order of the records. When the digests differ, it sends the records of
//     the change log again, and if they still differ, every record. It needs
//     neither Nodes nor Leaves in a Message.
//   - NewTreePolicy uses the digest tree of L. Wang, A. Terzis and L. Zhang, "A
//     Proposal for reducing RSVP Refresh Overhead using State Compression",
//     Internet-Draft, April 1999. It sends the upper level of the tree in each
//     exchange and descends where the digests differ.
//   - NewDeltaTreePolicy sends one digest of the whole set and descends the tree
//     only when the digests differ. According to the measurements in
//     docs/design/refresh.md it is the best choice.
package refresh

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
)

// Record is one replicated soft-state record, identified by Owner and Name. Of two
// records with the same key, the one with the higher (Incarnation, Sequence)
// replaces the other.
type Record struct {
	// Owner and Name form the key of the record. Owner is the ID of the instance to
	// which the record belongs.
	Owner, Name string
	// Incarnation and Sequence form the version of the record. Incarnation is that
	// of the owner.
	Incarnation, Sequence uint64
	// Value is the encoded content.
	Value []byte
	// Deleted marks a tombstone.
	Deleted bool
}

// newer reports whether r replaces o. Only a fault can produce two records with
// the same version and different contents. They are ordered as well, so that all
// replicas keep the same one.
func (r Record) newer(o Record) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, o.Incarnation),
		cmp.Compare(r.Sequence, o.Sequence),
		compareBool(r.Deleted, o.Deleted),
		slices.Compare(r.Value, o.Value),
	) > 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// hash returns the hash that the record adds to the digests.
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

// Size returns the encoded size of the record in bytes as a field of a protobuf
// message, including its tag and length.
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

// Dimensions of the digest tree. The root has fanOut nodes, and each of these nodes
// has fanOut leaves.
const (
	fanOutBits = 6
	fanOut     = 1 << fanOutBits
	leafCount  = fanOut * fanOut
)

// key identifies a record.
type key struct{ owner, name string }

// leaf returns the index of the key's leaf in the digest tree.
func (k key) leaf() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.owner)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.name)
	return uint32(d.Sum64() >> (64 - 2*fanOutBits))
}

// entry is one record of a Set.
type entry struct {
	Record
	// digest is the hash of the record, or 0 for a tombstone.
	digest uint64
	// leaf is the index of the record's leaf in the digest tree.
	leaf uint32
	// changeNumber is the number of the change that stored the record.
	changeNumber uint64
	// deletedAt is the time at which this set stored the tombstone. It is zero if
	// the record is not a tombstone.
	deletedAt time.Time
}

// Limits bounds the memory of a Set. A zero field selects its default.
type Limits struct {
	// Records is the maximum number of records, including tombstones. Further
	// records are refused.
	Records int
	// Log is the number of recent changes in the change log.
	Log int
	// TombstoneTTL is the time for which a tombstone is kept. A replica that is
	// disconnected for longer can restore a deleted record.
	TombstoneTTL time.Duration
}

// Default values of Limits.
const (
	DefaultRecords      = 20000
	DefaultLog          = 512
	DefaultTombstoneTTL = 2 * time.Hour
)

// Set is one replica of the records. It is not safe for concurrent use.
type Set struct {
	limits  Limits
	records map[key]*entry
	// leaves holds the digest of each leaf, which is the sum of the hashes of its
	// records modulo 2^64. Tombstones are excluded because replicas drop them at
	// different times.
	leaves [leafCount]uint64
	// nodes holds the digest of each node of the upper level, which is the sum of
	// the digests of its leaves.
	nodes [fanOut]uint64
	// root is the digest of the whole set, which is the sum of nodes.
	root uint64
	// lastChange is the number of the last change. Changes are numbered in
	// ascending order from 1.
	lastChange uint64
	// log is a ring buffer of the keys of the last changes. The key of change c is
	// at index c % len(log).
	log []key
	// refused is the number of records refused because the set was full.
	refused int
}

// NewSet returns an empty set with the given limits.
func NewSet(l Limits) *Set {
	l.Records = cmp.Or(l.Records, DefaultRecords)
	l.Log = cmp.Or(l.Log, DefaultLog)
	l.TombstoneTTL = cmp.Or(l.TombstoneTTL, DefaultTombstoneTTL)
	return &Set{limits: l, records: map[key]*entry{}, log: make([]key, l.Log)}
}

// Digest returns the digest of all records except tombstones. It does not depend on
// the order in which the records were stored.
func (s *Set) Digest() uint64 { return s.root }

// Len returns the number of records, including tombstones.
func (s *Set) Len() int { return len(s.records) }

// Refused returns the number of records that Put refused because the set was full.
func (s *Set) Refused() int { return s.refused }

// Get returns the record with the given key and reports whether it exists. A
// tombstone counts as absent.
func (s *Set) Get(owner, name string) (Record, bool) {
	e, ok := s.records[key{owner, name}]
	if !ok || e.Deleted {
		return Record{}, false
	}
	return e.Record, true
}

// Put stores a record and reports whether the set changed. It ignores a record that
// is not newer than the stored one, and refuses a record with a new key when the
// set is full. now is the deletion time if r is a tombstone.
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
	s.addToDigests(e.leaf, -e.digest)
	e.Record, e.digest, e.deletedAt = r, 0, time.Time{}
	if r.Deleted {
		e.deletedAt = now
	} else {
		e.digest = r.hash()
	}
	s.addToDigests(e.leaf, e.digest)
	s.lastChange++
	e.changeNumber = s.lastChange
	s.log[s.lastChange%uint64(len(s.log))] = k
	return true
}

// Expire removes the tombstones that are older than Limits.TombstoneTTL.
func (s *Set) Expire(now time.Time) {
	for k, e := range s.records {
		if e.Deleted && now.Sub(e.deletedAt) >= s.limits.TombstoneTTL {
			delete(s.records, k)
		}
	}
}

// dropSilently removes a record without a change number or a tombstone, to simulate
// a fault. Only tests call it.
func (s *Set) dropSilently(owner, name string) {
	k := key{owner, name}
	if e, ok := s.records[k]; ok {
		s.addToDigests(e.leaf, -e.digest)
		delete(s.records, k)
	}
}

// addToDigests adds diff, modulo 2^64, to the digests of a leaf and its ancestors.
func (s *Set) addToDigests(leaf uint32, diff uint64) {
	s.leaves[leaf] += diff
	s.nodes[leaf>>fanOutBits] += diff
	s.root += diff
}

// changedSince returns the records that changed after the change with the given
// number, in the order of the changes. It returns every record when the change log
// does not reach back that far.
func (s *Set) changedSince(changeNumber uint64) []Record {
	if changeNumber > s.lastChange || s.lastChange-changeNumber > uint64(len(s.log)) {
		return s.all()
	}
	var out []Record
	for c := changeNumber + 1; c <= s.lastChange; c++ {
		// A record that changed several times is sent only once.
		if e, ok := s.records[s.log[c%uint64(len(s.log))]]; ok && e.changeNumber == c {
			out = append(out, e.Record)
		}
	}
	return out
}

// recentChanges returns the records of the whole change log.
func (s *Set) recentChanges() []Record {
	return s.changedSince(s.lastChange - min(s.lastChange, uint64(len(s.log))))
}

// all returns every record, including tombstones, sorted by key.
func (s *Set) all() []Record {
	return s.selectRecords(func(*entry) bool { return true })
}

// inLeaves returns the records of the given leaves, sorted by key. leaves must be
// sorted.
func (s *Set) inLeaves(leaves []uint32) []Record {
	return s.selectRecords(func(e *entry) bool {
		_, ok := slices.BinarySearch(leaves, e.leaf)
		return ok
	})
}

// selectRecords returns the records for which keep returns true, sorted by key.
func (s *Set) selectRecords(keep func(*entry) bool) []Record {
	var out []Record
	for _, e := range s.records {
		if keep(e) {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Name, b.Name))
	})
	return out
}
