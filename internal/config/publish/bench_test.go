package publish

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// withBlocks returns the estate of smallEstate with n blocks.
func withBlocks(t require.TestingT, n int) *estate.Estate {
	e := smallEstate(t, "0.5")
	e.Blocks = nil
	for i := range n {
		a := uint32(i) * 25 << 8 // ascending and spread over the address space
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8)}), 24)
		e.Blocks = append(e.Blocks, estate.Block{Prefix: p, Region: "east", Demand: float64(i % 40)})
	}
	return e
}

// BenchmarkApply publishes a change of one block. bytes/change is the size of the
// stored objects, the index and page of the manifest included. The time includes
// splitting the whole estate into parts, which the operator's tool does.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 670_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			s, e, version := newFakeStore(), withBlocks(b, n), uint64(0)
			apply := func() Result {
				r, err := Apply(context.Background(), s, e, options("anna", fmt.Sprint("c", version), version))
				require.NoError(b, err)
				version++
				return r
			}
			first := apply()
			stored := 0
			for b.Loop() {
				e.Blocks[n/2].Demand++
				stored += apply().Bytes
			}
			b.ReportMetric(float64(stored)/float64(b.N), "bytes/change")
			b.ReportMetric(float64(first.Bytes), "bytes/first")
		})
	}
}
