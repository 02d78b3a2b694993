// Package hrw implements weighted rendezvous hashing (highest random weight):
// every reader that knows the same nodes ranks them in the same order for a
// key, and a node that comes or goes changes only the keys it wins.
package hrw

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fractionBits is how many bits of the hash become the fraction; a float64
// holds no more exactly.
const fractionBits = 53

// Score returns the rank value of node for key; the highest wins. weight must
// be positive; a node of twice the weight wins twice as many keys.
func Score(key, node string, weight float64) float64 {
	return -weight / math.Log(Fraction(key, node))
}

// Fraction returns a number that is fixed for a key and a node and evenly spread
// over them. It lies strictly between 0 and 1, so that its logarithm is finite
// and negative.
func Fraction(key, node string) float64 {
	return (float64(hash(key, node)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
}

// Rank returns the nodes ordered by falling score for key; equal scores are
// ordered by name. All nodes have weight 1. The argument is left as it is.
func Rank(key string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(Score(key, b, 1), Score(key, a, 1)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

func hash(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The separator keeps ("ab","c") apart from ("a","bc").
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
