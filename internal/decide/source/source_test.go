package source

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("front-%d", i))
	}
	return list
}

func selectors(n int) []*Selector {
	var all []*Selector
	for _, name := range names(n) {
		s := New(name)
		s.SetInstances("r", names(n))
		all = append(all, s)
	}
	return all
}

// TestOneReader: all instances of a region agree on one reader without a
// message, and only that one reads for the others.
func TestOneReader(t *testing.T) {
	readers := 0
	chosen := map[string]bool{}
	for _, s := range selectors(30) {
		if s.IsReader(start) {
			readers++
			continue
		}
		chosen[s.Choose(start)] = true
	}
	require.Equal(t, 1, readers)
	require.Len(t, chosen, 1)
}

// TestSilentReader: the next in the order takes over, then the store, and the
// first is asked again later.
func TestSilentReader(t *testing.T) {
	for _, s := range selectors(10) {
		if s.IsReader(start) {
			continue
		}
		first := s.Choose(start)
		s.ReaderFailed(first, start)
		second := s.Choose(start)
		require.NotEqual(t, first, second)
		s.ReaderFailed(second, start)
		require.Equal(t, Store, s.Choose(start))
		require.Equal(t, first, s.Choose(start.Add(avoidTime)))
	}
}

// TestAlone: an instance that knows nobody reads the store.
func TestAlone(t *testing.T) {
	require.Equal(t, Store, New("front-1").Choose(start))
	require.False(t, New("front-1").IsReader(start))
}
