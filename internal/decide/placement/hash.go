package placement

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/banyandeal/banyandeal/internal/blocktable"
)

// hashPrefix hashes the prefix of an address: its first bits4 bits for an IPv4
// address, its first bits6 bits for an IPv6 address. bits6 is limited to
// blocktable.MaxIPv6Bits.
func hashPrefix(addr netip.Addr, bits4, bits6 uint8) uint64 {
	if addr.Is4() || addr.Is4In6() {
		b := addr.As4()
		prefix := uint64(binary.BigEndian.Uint32(b[:])) >> (32 - bits4) << (32 - bits4)
		return mix(prefix<<8|uint64(bits4), seedIPv4)
	}
	b := addr.As16()
	bits6 = min(bits6, blocktable.MaxIPv6Bits)
	prefix := binary.BigEndian.Uint64(b[:8]) >> (64 - bits6) << (64 - bits6)
	return mix(prefix+uint64(bits6), seedIPv6)
}

// Odd constants that mix hashes with.
const (
	multiplier = 0x9e3779b97f4a7c15
	seedIPv4   = 0xd6e8feb86659fd93
	seedIPv6   = 0xa0761d6478bd642f
)

// mix hashes a with a seed.
func mix(a, seed uint64) uint64 {
	hi, lo := bits.Mul64(a^seed, multiplier)
	a = hi ^ lo
	hi, lo = bits.Mul64(a^seedIPv6, seed|1)
	return hi ^ lo
}

const (
	// logIntervals is the number of intervals in log2Table.
	logIntervals = 1 << logBits
	// logBits is the base-2 logarithm of logIntervals.
	logBits = 10
	// fractionBits is the number of fractional bits of a logarithm.
	fractionBits = 32
	// interpolationBits is the number of bits used to interpolate between two
	// entries of log2Table.
	interpolationBits = 22
)

// log2Table holds log2(1+i/logIntervals) as fixed-point numbers with
// fractionBits fractional bits. It is computed with integers only, so that it
// is the same on every processor.
var log2Table = makeLog2Table()

// makeLog2Table computes log2Table.
func makeLog2Table() (t [logIntervals + 1]uint64) {
	for i := range logIntervals {
		t[i] = log2(1<<63 + uint64(i)<<(63-logBits))
	}
	t[logIntervals] = 1 << fractionBits
	return t
}

// log2 returns the base-2 logarithm of y/2^63, which is in [1,2), by repeated
// squaring. The result has fractionBits fractional bits.
func log2(y uint64) uint64 {
	var l uint64
	for range fractionBits {
		hi, lo := bits.Mul64(y, y)
		l <<= 1
		if hi >= 1<<63 {
			l |= 1
			y = hi
		} else {
			y = hi<<1 | lo>>63
		}
	}
	return l
}

// negLog2 returns -log2(x/2^64) with fractionBits fractional bits. The result
// is greater than 0. The lowest bit of x is set first, because 0 has no
// logarithm.
func negLog2(x uint64) uint64 {
	x |= 1
	zeros := bits.LeadingZeros64(x)
	x <<= zeros
	i := x >> (63 - logBits) & (logIntervals - 1)
	fraction := x >> (63 - logBits - interpolationBits) & (1<<interpolationBits - 1)
	l := log2Table[i] + (log2Table[i+1]-log2Table[i])*fraction>>interpolationBits
	return uint64(zeros+1)<<fractionBits - l
}
