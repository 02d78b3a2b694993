// Package blocktable maps blocks of client addresses to small integer classes,
// such as the index of their edge region. A table is immutable: a modified copy
// shares all but a few kilobytes with its original, so snapshots are cheap to keep
// and readers need no lock.
package blocktable

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
)

// MaxIPv6Bits is the largest prefix length of an IPv6 block.
const MaxIPv6Bits = 64

// Class is the value that a table stores for a block.
type Class = uint16

// Entry is a block and its class.
type Entry struct {
	Prefix netip.Prefix
	Class  Class
}

// Match describes the most specific block that contains an address. The block's
// prefix is the first Bits bits of the address.
type Match struct {
	// Class is the class of the block.
	Class Class
	// Bits is the prefix length of the block.
	Bits uint8
}

// PrefixError reports a prefix that a table can't store.
type PrefixError struct {
	// Prefix is the rejected prefix.
	Prefix netip.Prefix
	// Reason describes why it was rejected.
	Reason string
	// Remedy describes how to correct it.
	Remedy string
}

// Error implements error.
func (e *PrefixError) Error() string {
	return fmt.Sprintf("block %v: %s; %s", e.Prefix, e.Reason, e.Remedy)
}

// Table holds blocks of client addresses. The zero Table is empty and ready to
// use. All methods are safe for concurrent use.
type Table struct {
	v4 tree[uint32]
	v6 tree[uint64]
}

// New returns a table of the entries, which may be in any order. It returns a
// *PrefixError if a prefix occurs twice or can't be stored.
func New(entries []Entry) (*Table, error) {
	n4 := 0
	for _, e := range entries {
		if e.Prefix.Addr().Is4() {
			n4++
		}
	}
	v4 := make([]entry[uint32], 0, n4)
	v6 := make([]entry[uint64], 0, len(entries)-n4)
	for _, e := range entries {
		if err := checkPrefix(e.Prefix); err != nil {
			return nil, err
		}
		if e.Prefix.Addr().Is4() {
			v4 = append(v4, entry4(e))
		} else {
			v6 = append(v6, entry6(e))
		}
	}
	if e, ok := sortEntries(v4); !ok {
		return nil, duplicateError(netip.PrefixFrom(addr4(e.start), int(e.bits)))
	}
	if e, ok := sortEntries(v6); !ok {
		return nil, duplicateError(netip.PrefixFrom(addr6(e.start), int(e.bits)))
	}
	return &Table{v4: *build(v4), v6: *build(v6)}, nil
}

// With returns a copy of t in which the entry's block has the entry's class. It
// returns a *PrefixError if the prefix can't be stored.
func (t *Table) With(e Entry) (*Table, error) {
	if err := checkPrefix(e.Prefix); err != nil {
		return nil, err
	}
	n := *t
	if e.Prefix.Addr().Is4() {
		n.v4 = *t.v4.with(entry4(e))
	} else {
		n.v6 = *t.v6.with(entry6(e))
	}
	return &n, nil
}

// Without returns a copy of t without the block p, and reports whether t held p.
func (t *Table) Without(p netip.Prefix) (*Table, bool) {
	if checkPrefix(p) != nil {
		return t, false
	}
	n := *t
	if p.Addr().Is4() {
		v4, ok := t.v4.without(key4(p.Addr()), uint8(p.Bits()))
		n.v4 = *v4
		return &n, ok
	}
	v6, ok := t.v6.without(key6(p.Addr()), uint8(p.Bits()))
	n.v6 = *v6
	return &n, ok
}

// Lookup returns the most specific block that contains the address, and reports
// whether there is one. An IPv4-mapped IPv6 address counts as IPv4.
func (t *Table) Lookup(addr netip.Addr) (Match, bool) {
	if addr.Is4() || addr.Is4In6() {
		e, ok := t.v4.lookup(key4(addr))
		return Match{Class: e.class, Bits: e.bits}, ok
	}
	if !addr.IsValid() {
		return Match{}, false
	}
	e, ok := t.v6.lookup(key6(addr))
	return Match{Class: e.class, Bits: e.bits}, ok
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.count + t.v6.count }

// Bytes returns the memory of the table's arrays in bytes, including those shared
// with other tables.
func (t *Table) Bytes() int { return t.v4.bytes() + t.v6.bytes() }

func checkPrefix(p netip.Prefix) error {
	switch {
	case !p.IsValid():
		return &PrefixError{p, "not a prefix", "write it as address/bits"}
	case p.Addr().Is4In6():
		return &PrefixError{p, "IPv4 mapped into IPv6", "write it as an IPv4 block"}
	case p.Masked() != p:
		return &PrefixError{p, "address bits set after the prefix", fmt.Sprintf("write it as %v", p.Masked())}
	case p.Addr().Is6() && p.Bits() > MaxIPv6Bits:
		return &PrefixError{p, "longer than /64", "declare the /64 that contains it"}
	}
	return nil
}

func duplicateError(p netip.Prefix) error {
	return &PrefixError{p, "declared twice", "keep one of the two"}
}

// sortEntries sorts the entries. If a block occurs twice, it returns one of the
// two entries and false.
func sortEntries[K key](es []entry[K]) (dup entry[K], ok bool) {
	slices.SortFunc(es, func(a, b entry[K]) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.bits, b.bits))
	})
	for i := 1; i < len(es); i++ {
		if es[i].start == es[i-1].start && es[i].bits == es[i-1].bits {
			return es[i], false
		}
	}
	return dup, true
}

func entry4(e Entry) entry[uint32] {
	return entry[uint32]{start: key4(e.Prefix.Addr()), class: e.Class, bits: uint8(e.Prefix.Bits())}
}

func entry6(e Entry) entry[uint64] {
	return entry[uint64]{start: key6(e.Prefix.Addr()), class: e.Class, bits: uint8(e.Prefix.Bits())}
}

func key4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func key6(a netip.Addr) uint64 {
	b := a.As16()
	return binary.BigEndian.Uint64(b[:8])
}

func addr4(k uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], k)
	return netip.AddrFrom4(b)
}

func addr6(k uint64) netip.Addr {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], k)
	return netip.AddrFrom16(b)
}
