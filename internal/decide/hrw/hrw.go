// Package hrw implements weighted rendezvous hashing (highest random weight).
// Everyone who knows the same nodes ranks them in the same order for a key,
// and adding or removing a node changes only the keys that this node wins.
package hrw

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fractionBits is the number of hash bits in a fraction; a float64 represents
// no more bits exactly.
const fractionBits = 53

// Score returns the score of node for key; the node with the highest score
// wins. weight must be positive; a node of twice the weight wins twice as many
// keys.
func Score(key, node string, weight float64) float64 {
	return -weight / math.Log(Fraction(key, node))
}

// Fraction returns a number that depends only on key and node and is uniformly
// distributed over them. It lies strictly between 0 and 1, so that its
// logarithm is finite and negative.
func Fraction(key, node string) float64 {
	return (float64(hash(key, node)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
}

// Rank returns the nodes in descending order of their scores for key; equal
// scores are ordered by name. All nodes have weight 1. Rank does not modify
// nodes.
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

// hash returns the hash of key and node.
func hash(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The separator makes ("ab", "c") and ("a", "bc") hash differently.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
