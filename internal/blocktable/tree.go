package blocktable

import (
	"slices"
	"unsafe"
)

const (
	// maxChunk is the most entries in a chunk: 4 KiB of IPv4 blocks.
	maxChunk = 512
	// maxGroup is the most chunks in a group.
	maxGroup = 64
)

// key is a block's first address: all 32 bits of an IPv4 address, or the upper
// 64 bits of an IPv6 address.
type key interface{ uint32 | uint64 }

// entry is one block. Its size is 8 bytes for IPv4 and 16 for IPv6.
type entry[K key] struct {
	start K
	class Class
	bits  uint8
}

// after reports whether e sorts after the block of bits length at start.
func (e entry[K]) after(start K, bits uint8) bool {
	return e.start > start || e.start == start && e.bits > bits
}

// group is a run of chunks.
type group[K key] struct {
	// firsts holds the first entry of each chunk.
	firsts []entry[K]
	// chunks are not empty; their entries are sorted by start, then bits.
	chunks [][]entry[K]
}

// tree is an immutable set of sorted blocks in three levels: root, groups and
// chunks. A changed copy shares all but one chunk and one group.
type tree[K key] struct {
	firsts []entry[K]
	groups []*group[K]
	count  int
	// lengths counts the blocks of each prefix length.
	lengths [65]int32
}

// upper returns the number of entries at or before the block of bits length at
// start.
func upper[K key](es []entry[K], start K, bits uint8) int {
	lo, hi := 0, len(es)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if es[mid].after(start, bits) {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// build makes a tree of sorted, distinct entries.
func build[K key](es []entry[K]) *tree[K] {
	t := &tree[K]{count: len(es)}
	for _, e := range es {
		t.lengths[e.bits]++
	}
	g := &group[K]{}
	for c := range slices.Chunk(es, maxChunk) {
		if len(g.chunks) == maxGroup {
			t.appendGroup(g)
			g = &group[K]{}
		}
		g.firsts = append(g.firsts, c[0])
		g.chunks = append(g.chunks, slices.Clone(c))
	}
	if len(g.chunks) > 0 {
		t.appendGroup(g)
	}
	return t
}

func (t *tree[K]) appendGroup(g *group[K]) {
	g.firsts, g.chunks = slices.Clone(g.firsts), slices.Clone(g.chunks)
	t.firsts = append(t.firsts, g.firsts[0])
	t.groups = append(t.groups, g)
}

// floor returns the last entry at or before the block of bits length at start.
func (t *tree[K]) floor(start K, bits uint8) (entry[K], bool) {
	i := upper(t.firsts, start, bits) - 1
	if i < 0 {
		return entry[K]{}, false
	}
	g := t.groups[i]
	c := g.chunks[upper(g.firsts, start, bits)-1]
	return c[upper(c, start, bits)-1], true
}

// common returns the number of leading bits that a and b share.
func common[K key](a, b K) int {
	size := int(unsafe.Sizeof(a)) * 8
	return size - bitLen(a^b)
}

// bitLen returns the number of bits needed for v.
func bitLen[K key](v K) int {
	n := 0
	for s := 32; s > 0; s >>= 1 {
		if uint64(v)>>s != 0 {
			v >>= s
			n += s
		}
	}
	return n + int(v)
}

// mask clears all but the first bits of v.
func mask[K key](v K, bits int) K {
	size := int(unsafe.Sizeof(v)) * 8
	if bits <= 0 {
		return 0
	}
	return v >> (size - bits) << (size - bits)
}

// lookup returns the longest block that contains addr.
//
// Any block that contains addr sorts at or before the floor entry of addr, so
// it contains that entry's start too and is no longer than the bits the two
// share. Each step shortens that bound to a length that some block has.
func (t *tree[K]) lookup(addr K) (entry[K], bool) {
	limit := int(unsafe.Sizeof(addr)) * 8
	for {
		e, ok := t.floor(mask(addr, limit), uint8(limit))
		if !ok {
			return entry[K]{}, false
		}
		shared := common(e.start, addr)
		if shared >= int(e.bits) {
			return e, true
		}
		limit = t.longest(shared)
		if limit < 0 {
			return entry[K]{}, false
		}
	}
}

// longest returns the longest prefix length in use up to bits, or -1.
func (t *tree[K]) longest(bits int) int {
	for bits >= 0 && t.lengths[bits] == 0 {
		bits--
	}
	return bits
}

// with returns a copy that holds e, in place of an entry of the same block.
func (t *tree[K]) with(e entry[K]) *tree[K] {
	if len(t.groups) == 0 {
		return build([]entry[K]{e})
	}
	n := *t
	gi := max(upper(t.firsts, e.start, e.bits)-1, 0)
	g := t.groups[gi]
	ci := max(upper(g.firsts, e.start, e.bits)-1, 0)
	old := g.chunks[ci]
	i := upper(old, e.start, e.bits)
	if i > 0 && old[i-1].start == e.start && old[i-1].bits == e.bits {
		c := slices.Clone(old)
		c[i-1] = e
		n.replace(gi, ci, c)
		return &n
	}
	c := make([]entry[K], 0, len(old)+1)
	c = append(append(append(c, old[:i]...), e), old[i:]...)
	n.count++
	n.lengths[e.bits]++
	if len(c) > maxChunk {
		half := len(c) / 2
		n.replace(gi, ci, slices.Clone(c[:half]), slices.Clone(c[half:]))
	} else {
		n.replace(gi, ci, c)
	}
	return &n
}

// without returns a copy that lacks a block, and whether t held it.
func (t *tree[K]) without(start K, bits uint8) (*tree[K], bool) {
	e, ok := t.floor(start, bits)
	if !ok || e.start != start || e.bits != bits {
		return t, false
	}
	n := *t
	gi := upper(t.firsts, start, bits) - 1
	g := t.groups[gi]
	ci := upper(g.firsts, start, bits) - 1
	old := g.chunks[ci]
	i := upper(old, start, bits) - 1
	c := make([]entry[K], 0, len(old)-1)
	c = append(append(c, old[:i]...), old[i+1:]...)
	n.count--
	n.lengths[bits]--
	n.shrink(gi, ci, c)
	return &n, true
}

// shrink puts chunk c in place of chunk ci, joined with the one after it where
// both are small.
func (t *tree[K]) shrink(gi, ci int, c []entry[K]) {
	g := t.groups[gi]
	if ci+1 < len(g.chunks) && len(c)+len(g.chunks[ci+1]) <= maxChunk/2 {
		t.splice(gi, ci, 2, slices.Concat(c, g.chunks[ci+1]))
		return
	}
	if len(c) == 0 {
		t.splice(gi, ci, 1)
		return
	}
	t.splice(gi, ci, 1, c)
}

// replace puts chunks in place of chunk ci of group gi.
func (t *tree[K]) replace(gi, ci int, chunks ...[]entry[K]) {
	t.splice(gi, ci, 1, chunks...)
}

// splice puts chunks in place of count chunks from ci on in group gi. It
// copies the group and the root, which t must own.
func (t *tree[K]) splice(gi, ci, count int, chunks ...[]entry[K]) {
	g := t.groups[gi]
	n := &group[K]{chunks: slices.Concat(g.chunks[:ci], chunks, g.chunks[ci+count:])}
	n.firsts = make([]entry[K], len(n.chunks))
	for i, c := range n.chunks {
		n.firsts[i] = c[0]
	}
	var groups []*group[K]
	switch half := len(n.chunks) / 2; {
	case len(n.chunks) == 0:
	case len(n.chunks) > maxGroup:
		groups = []*group[K]{
			{firsts: n.firsts[:half:half], chunks: n.chunks[:half:half]},
			{firsts: n.firsts[half:], chunks: n.chunks[half:]},
		}
	default:
		groups = []*group[K]{n}
	}
	t.groups = slices.Concat(t.groups[:gi], groups, t.groups[gi+1:])
	t.firsts = make([]entry[K], len(t.groups))
	for i, g := range t.groups {
		t.firsts[i] = g.firsts[0]
	}
}

// bytes returns the memory of the tree's arrays.
func (t *tree[K]) bytes() int {
	var e entry[K]
	size := int(unsafe.Sizeof(e))
	n := len(t.groups) * (size + int(unsafe.Sizeof(t.groups[0])))
	for _, g := range t.groups {
		n += int(unsafe.Sizeof(*g)) + cap(g.firsts)*size + cap(g.chunks)*int(unsafe.Sizeof(g.chunks[0]))
		for _, c := range g.chunks {
			n += cap(c) * size
		}
	}
	return n
}
