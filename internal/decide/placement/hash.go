package placement

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/banyandeal/banyandeal/internal/blocktable"
)

// hashUnit hashes the address cut to a prefix length.
func hashUnit(addr netip.Addr, bits4, bits6 uint8) uint64 {
	if addr.Is4() || addr.Is4In6() {
		b := addr.As4()
		cut := uint64(binary.BigEndian.Uint32(b[:])) >> (32 - bits4) << (32 - bits4)
		return mix(cut<<8|uint64(bits4), seed4)
	}
	b := addr.As16()
	bits6 = min(bits6, blocktable.MaxBits6)
	cut := binary.BigEndian.Uint64(b[:8]) >> (64 - bits6) << (64 - bits6)
	return mix(cut+uint64(bits6), seed6)
}

// Odd constants that mix spreads its input with.
const (
	multiplier = 0x9e3779b97f4a7c15
	seed4      = 0xd6e8feb86659fd93
	seed6      = 0xa0761d6478bd642f
)

// mix hashes a with a seed.
func mix(a, seed uint64) uint64 {
	hi, lo := bits.Mul64(a^seed, multiplier)
	a = hi ^ lo
	hi, lo = bits.Mul64(a^seed6, seed|1)
	return hi ^ lo
}

const (
	// logSteps is the number of intervals of the table of logarithms.
	logSteps = 1 << logBits
	logBits  = 10
	// fractionBits is the precision of logarithms.
	fractionBits = 32
	// interBits is the precision of interpolation between two steps.
	interBits = 22
)

// logs holds log2(1+i/logSteps) with fractionBits after the point. It is made
// of integers so that it is the same on every processor.
var logs = makeLogs()

func makeLogs() (t [logSteps + 1]uint64) {
	for i := range logSteps {
		t[i] = log2(1<<63 + uint64(i)<<(63-logBits))
	}
	t[logSteps] = 1 << fractionBits
	return t
}

// log2 returns the logarithm of y/2^63 in [1,2) by repeated squaring.
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

// negLog2 returns -log2(x/2^64) with fractionBits after the point; it is
// greater than 0.
func negLog2(x uint64) uint64 {
	x |= 1
	zeros := bits.LeadingZeros64(x)
	x <<= zeros
	i := x >> (63 - logBits) & (logSteps - 1)
	rest := x >> (63 - logBits - interBits) & (1<<interBits - 1)
	l := logs[i] + (logs[i+1]-logs[i])*rest>>interBits
	return uint64(zeros+1)<<fractionBits - l
}
