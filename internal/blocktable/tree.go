package blocktable

import (
	"slices"
	"unsafe"
)

const (
	// maxChunkEntries is the largest number of entries in a chunk. A full chunk of
	// IPv4 blocks takes 4 KiB.
	maxChunkEntries = 512
	// maxGroupChunks is the largest number of chunks in a group.
	maxGroupChunks = 64
)

// key is the type of a block's first address: all 32 bits of an IPv4 address, or
// the upper 64 bits of an IPv6 address.
type key interface{ uint32 | uint64 }

// entry is one block. Its size is 8 bytes for IPv4 and 16 bytes for IPv6.
type entry[K key] struct {
	// start is the first address of the block.
	start K
	// class is the class of the block.
	class Class
	// bits is the prefix length of the block.
	bits uint8
}

// after reports whether e sorts after the block with the given start and prefix
// length.
func (e entry[K]) after(start K, bits uint8) bool {
	return e.start > start || e.start == start && e.bits > bits
}

// group is a sequence of consecutive chunks.
type group[K key] struct {
	// firsts holds the first entry of each chunk.
	firsts []entry[K]
	// chunks holds the chunks, none of which is empty. Their entries are sorted by
	// start, then by bits.
	chunks [][]entry[K]
}

// tree is an immutable sorted set of blocks with three levels: root, groups and
// chunks. A modified copy shares all but the root, one group and one or two chunks
// with its original.
type tree[K key] struct {
	// firsts holds the first entry of each group.
	firsts []entry[K]
	// groups holds the groups, none of which is empty.
	groups []*group[K]
	// count is the number of blocks.
	count int
	// lengths counts the blocks of each prefix length.
	lengths [65]int32
}

// upperBound returns the number of entries of es that sort at or before the block with
// the given start and prefix length.
func upperBound[K key](es []entry[K], start K, bits uint8) int {
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

// build returns a tree of the entries, which must be sorted and distinct.
func build[K key](es []entry[K]) *tree[K] {
	t := &tree[K]{count: len(es)}
	for _, e := range es {
		t.lengths[e.bits]++
	}
	g := &group[K]{}
	for c := range slices.Chunk(es, maxChunkEntries) {
		if len(g.chunks) == maxGroupChunks {
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

// floor returns the last entry that sorts at or before the block with the given
// start and prefix length.
func (t *tree[K]) floor(start K, bits uint8) (entry[K], bool) {
	i := upperBound(t.firsts, start, bits) - 1
	if i < 0 {
		return entry[K]{}, false
	}
	g := t.groups[i]
	c := g.chunks[upperBound(g.firsts, start, bits)-1]
	return c[upperBound(c, start, bits)-1], true
}

// commonPrefixLen returns the number of leading bits that a and b share.
func commonPrefixLen[K key](a, b K) int {
	size := int(unsafe.Sizeof(a)) * 8
	return size - bitLen(a^b)
}

// bitLen returns the number of bits needed to represent v.
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

// maskToBits clears all but the leading bits of v, of which it keeps the given number.
func maskToBits[K key](v K, bits int) K {
	size := int(unsafe.Sizeof(v)) * 8
	if bits <= 0 {
		return 0
	}
	return v >> (size - bits) << (size - bits)
}

// lookup returns the most specific block that contains addr.
//
// Any block that contains addr sorts at or before the floor entry of addr, so it
// also contains the start of that entry. Its prefix is therefore no longer than
// the leading bits that addr and that start share. Each step lowers this limit to
// a prefix length that some block has.
func (t *tree[K]) lookup(addr K) (entry[K], bool) {
	limit := int(unsafe.Sizeof(addr)) * 8
	for {
		e, ok := t.floor(maskToBits(addr, limit), uint8(limit))
		if !ok {
			return entry[K]{}, false
		}
		shared := commonPrefixLen(e.start, addr)
		if shared >= int(e.bits) {
			return e, true
		}
		limit = t.longestLength(shared)
		if limit < 0 {
			return entry[K]{}, false
		}
	}
}

// longestLength returns the largest prefix length up to bits that some block has,
// or -1 if there is none.
func (t *tree[K]) longestLength(bits int) int {
	for bits >= 0 && t.lengths[bits] == 0 {
		bits--
	}
	return bits
}

// with returns a copy that holds e, which replaces an entry of the same block.
func (t *tree[K]) with(e entry[K]) *tree[K] {
	if len(t.groups) == 0 {
		return build([]entry[K]{e})
	}
	n := *t
	gi := max(upperBound(t.firsts, e.start, e.bits)-1, 0)
	g := t.groups[gi]
	ci := max(upperBound(g.firsts, e.start, e.bits)-1, 0)
	old := g.chunks[ci]
	i := upperBound(old, e.start, e.bits)
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
	if len(c) > maxChunkEntries {
		half := len(c) / 2
		n.replace(gi, ci, slices.Clone(c[:half]), slices.Clone(c[half:]))
	} else {
		n.replace(gi, ci, c)
	}
	return &n
}

// without returns a copy without the block, and reports whether t held it.
func (t *tree[K]) without(start K, bits uint8) (*tree[K], bool) {
	e, ok := t.floor(start, bits)
	if !ok || e.start != start || e.bits != bits {
		return t, false
	}
	n := *t
	gi := upperBound(t.firsts, start, bits) - 1
	g := t.groups[gi]
	ci := upperBound(g.firsts, start, bits) - 1
	old := g.chunks[ci]
	i := upperBound(old, start, bits) - 1
	c := make([]entry[K], 0, len(old)-1)
	c = append(append(c, old[:i]...), old[i+1:]...)
	n.count--
	n.lengths[bits]--
	n.replaceAndMerge(gi, ci, c)
	return &n, true
}

// replaceAndMerge replaces chunk ci of group gi by c, merged with the next chunk of
// the group if both are small.
func (t *tree[K]) replaceAndMerge(gi, ci int, c []entry[K]) {
	g := t.groups[gi]
	if ci+1 < len(g.chunks) && len(c)+len(g.chunks[ci+1]) <= maxChunkEntries/2 {
		t.splice(gi, ci, 2, slices.Concat(c, g.chunks[ci+1]))
		return
	}
	if len(c) == 0 {
		t.splice(gi, ci, 1)
		return
	}
	t.splice(gi, ci, 1, c)
}

// replace replaces chunk ci of group gi by the chunks.
func (t *tree[K]) replace(gi, ci int, chunks ...[]entry[K]) {
	t.splice(gi, ci, 1, chunks...)
}

// splice replaces count chunks of group gi, starting with chunk ci, by the chunks.
// It copies the group and the arrays of the root. It modifies t, which must not be
// shared yet.
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
	case len(n.chunks) > maxGroupChunks:
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

// bytes returns the memory of the tree's arrays in bytes.
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
