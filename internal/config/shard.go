package config

import (
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"sort"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// maxShardBlocks is the most blocks of one shard. A range of addresses with
// more is halved, so that the shards depend on the blocks alone and one
// changed block changes one shard, or two when its range is halved.
const maxShardBlocks = 1000

// Shard is the blocks whose first address lies in one range.
type Shard struct {
	Range  netip.Prefix
	Blocks []estate.Block
}

// shards divides sorted blocks into shards by range.
func shards(blocks []estate.Block) []Shard {
	v6 := sort.Search(len(blocks), func(i int) bool { return blocks[i].Prefix.Addr().Is6() })
	out := halve(nil, blocks[:v6], netip.PrefixFrom(netip.IPv4Unspecified(), 0))
	return halve(out, blocks[v6:], netip.PrefixFrom(netip.IPv6Unspecified(), 0))
}

func halve(out []Shard, blocks []estate.Block, r netip.Prefix) []Shard {
	if len(blocks) == 0 {
		return out
	}
	if len(blocks) <= maxShardBlocks || r.Bits() == r.Addr().BitLen() {
		return append(out, Shard{Range: r, Blocks: blocks})
	}
	upper := upperHalf(r)
	mid := sort.Search(len(blocks), func(i int) bool { return blocks[i].Prefix.Addr().Compare(upper.Addr()) >= 0 })
	out = halve(out, blocks[:mid], netip.PrefixFrom(r.Addr(), r.Bits()+1))
	return halve(out, blocks[mid:], upper)
}

// upperHalf returns the upper half of a range of more than one address.
func upperHalf(r netip.Prefix) netip.Prefix {
	a := r.Addr().AsSlice()
	a[r.Bits()/8] |= 0x80 >> (r.Bits() % 8)
	addr, _ := netip.AddrFromSlice(a)
	return netip.PrefixFrom(addr, r.Bits()+1)
}

// encode returns the shard as the sorted names of its regions and, for each
// block, its length in bits, address, index of region and demand. A float is
// written as its reversed bits, which are few for a round number.
func (s Shard) encode() []byte {
	regions := s.regions()
	out := binary.AppendUvarint(nil, uint64(len(regions)))
	for _, r := range regions {
		out = binary.AppendUvarint(out, uint64(len(r)))
		out = append(out, r...)
	}
	for _, b := range s.Blocks {
		i, _ := slices.BinarySearch(regions, b.Region)
		out = append(out, byte(b.Prefix.Bits()))
		out = append(out, b.Prefix.Addr().AsSlice()...)
		out = binary.AppendUvarint(out, uint64(i))
		out = binary.AppendUvarint(out, bits.Reverse64(math.Float64bits(b.Demand)))
	}
	return out
}

func (s Shard) regions() []string {
	seen := map[string]bool{}
	for _, b := range s.Blocks {
		seen[b.Region] = true
	}
	return sortedKeys(seen)
}

// decodeShard reads what encode wrote for a range. It refuses every other form
// of the same blocks.
func decodeShard(r netip.Prefix, data []byte) (Shard, error) {
	d := shardReader{data: data, size: r.Addr().BitLen() / 8}
	regions := d.regions()
	s := Shard{Range: r, Blocks: make([]estate.Block, 0, len(data)/(d.size+3))}
	for len(d.data) > 0 && d.err == nil {
		b := d.block(regions)
		if n := len(s.Blocks); n > 0 && s.Blocks[n-1].Prefix.Compare(b.Prefix) >= 0 {
			d.fail("a block is out of order")
		}
		if !r.Contains(b.Prefix.Addr()) {
			d.fail("a block is outside of the range")
		}
		s.Blocks = append(s.Blocks, b)
	}
	if d.err == nil && !slices.Equal(regions, s.regions()) {
		d.fail("its regions are not those of its blocks")
	}
	if d.err != nil {
		return Shard{}, corrupt("blocks/"+r.String(), "%v", d.err)
	}
	return s, nil
}

// shardReader reads the fields of a shard; err is the first fault.
type shardReader struct {
	data []byte
	// size is the length of an address in bytes.
	size int
	err  error
}

func (d *shardReader) fail(message string) {
	if d.err == nil {
		d.err = errors.New(message)
	}
}

func (d *shardReader) uvarint() uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 || len(binary.AppendUvarint(nil, v)) != n {
		d.fail("a number is cut or not in its shortest form")
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *shardReader) bytes(n int) []byte {
	if n > len(d.data) {
		d.fail("the data is cut")
		return make([]byte, min(n, maxNameLength))
	}
	out := d.data[:n]
	d.data = d.data[n:]
	return out
}

func (d *shardReader) regions() []string {
	var out []string
	for n := d.uvarint(); n > 0 && d.err == nil; n-- {
		length := d.uvarint()
		if length > maxNameLength {
			d.fail("a region's name is too long")
			break
		}
		out = append(out, string(d.bytes(int(length))))
	}
	return out
}

func (d *shardReader) block(regions []string) estate.Block {
	var b estate.Block
	length := int(d.bytes(1)[0])
	addr, _ := netip.AddrFromSlice(d.bytes(d.size))
	b.Prefix = netip.PrefixFrom(addr, length)
	if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() || addr.Is4In6() {
		d.fail("a block is not valid")
	}
	if i := d.uvarint(); i < uint64(len(regions)) {
		b.Region = regions[i]
	} else {
		d.fail("a block has no region")
	}
	b.Demand = math.Float64frombits(bits.Reverse64(d.uvarint()))
	if !finite(b.Demand) || math.Signbit(b.Demand) {
		d.fail("a block's demand is out of range")
	}
	return b
}
