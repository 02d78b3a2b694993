package hrw

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWeights checks that nodes win keys in proportion to their weights,
// within a tenth over 10,000 keys.
func TestWeights(t *testing.T) {
	const keys = 10000
	wins := map[string]int{}
	weights := map[string]float64{"a": 1, "b": 1, "c": 2}
	for i := range keys {
		best := ""
		for _, n := range []string{"a", "b", "c"} {
			if k := fmt.Sprint(i); best == "" || Score(k, n, weights[n]) > Score(k, best, weights[best]) {
				best = n
			}
		}
		wins[best]++
	}
	for n, w := range weights {
		require.InEpsilon(t, keys*w/4, wins[n], 0.1, n)
	}
}

// TestRemovalKeepsOrder checks that removing a node keeps the order of the
// others.
func TestRemovalKeepsOrder(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprint(i)
		all := Rank(key, nodes)
		without := Rank(key, []string{"a", "b", "d", "e"})
		require.Equal(t, slices.DeleteFunc(all, func(n string) bool { return n == "c" }), without)
	}
}
