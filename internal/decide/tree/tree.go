// Package tree arranges the entry instances of a region in a tree. The root reads the
// tables of the store; every other instance reads them from its parent and passes them
// on to its children, so that no instance serves more than a bounded number of others.
//
// All instances that know the same members build the same tree without communication.
// A parent always precedes its children in one order that depends only on the two
// instances themselves, so that instances that know different members never read from
// each other in a cycle.
package tree

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

// FanOut is the largest number of children that an instance has in its own availability
// zone. The root has those and the heads of the other zones of the region.
const FanOut = 4

// Node is an entry instance of the region.
type Node struct {
	// Name is the name of the instance.
	Name string
	// Zone is the availability zone of the instance.
	Zone string
	// Capacity is what the instance can pass on, in Mbit/s; 0 if unknown.
	Capacity float64
}

// Tree is an immutable tree of instances.
type Tree struct {
	// order holds the names in the order in which a parent precedes its children.
	order    []string
	parent   map[string]string
	children map[string][]string
}

// New returns the tree of the given instances of a region.
func New(region string, nodes []Node) *Tree { return FromRanked(Rank(region, nodes)) }

// FromRanked returns the tree of instances in the order of Rank.
func FromRanked(nodes []Node) *Tree {
	t := &Tree{parent: map[string]string{}, children: map[string][]string{}}
	zones := map[string][]string{}
	for i, n := range nodes {
		zone := zones[n.Zone]
		switch {
		case len(zone) > 0:
			t.link(zone[(len(zone)-1)/FanOut], n.Name)
		case i > 0:
			t.link(nodes[0].Name, n.Name)
		}
		t.order = append(t.order, n.Name)
		zones[n.Zone] = append(zone, n.Name)
	}
	return t
}

// Rank returns the nodes in the order of the tree: those with more capacity first, equal
// ones by a hash of their names.
func Rank(region string, nodes []Node) []Node {
	type scored struct {
		Node
		class int
		score float64
	}
	list := make([]scored, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, scored{Node: n, class: class(n.Capacity), score: hrw.Score(region, n.Name, 1)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	ranked := make([]Node, 0, len(list))
	for _, s := range list {
		ranked = append(ranked, s.Node)
	}
	return ranked
}

// class returns the binary order of magnitude of a capacity, so that small differences
// do not change the order.
func class(mbps float64) int { return bits.Len(uint(max(0, mbps))) }

// link makes one instance the child of another.
func (t *Tree) link(parent, child string) {
	t.parent[child] = parent
	t.children[parent] = append(t.children[parent], child)
}

// Order returns all instances; a parent precedes its children. The caller must not
// change the result.
func (t *Tree) Order() []string { return t.order }

// Parent returns the parent of an instance. It returns false for the root and for an
// instance that is not in the tree.
func (t *Tree) Parent(name string) (string, bool) {
	p, ok := t.parent[name]
	return p, ok
}

// Children returns the children of an instance. The caller must not change the result.
func (t *Tree) Children(name string) []string { return t.children[name] }
