package source

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// names returns the names of n instances.
func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("front-%d", i))
	}
	return list
}

// selectors returns the Selectors of n instances of one region.
func selectors(n int) []*Selector {
	var all []*Selector
	for _, name := range names(n) {
		s := New(name)
		s.Members("r", names(n))
		all = append(all, s)
	}
	return all
}

// TestOneReader checks that all instances of a region agree on one reader
// without communication, and that only this one reads the store.
func TestOneReader(t *testing.T) {
	readers := 0
	chosen := map[string]bool{}
	for _, s := range selectors(30) {
		if s.Reads(start) {
			readers++
			continue
		}
		chosen[s.Choose(start)] = true
	}
	require.Equal(t, 1, readers)
	require.Len(t, chosen, 1)
}

// TestFailedReader checks that an instance whose reader fails tries the next
// one, then the store, and later the first reader again.
func TestFailedReader(t *testing.T) {
	for _, s := range selectors(10) {
		if s.Reads(start) {
			continue
		}
		first := s.Choose(start)
		s.ReaderFailed(first, start)
		second := s.Choose(start)
		require.NotEqual(t, first, second)
		s.ReaderFailed(second, start)
		require.Equal(t, Store, s.Choose(start))
		require.Equal(t, first, s.Choose(start.Add(readerRetryDelay)))
	}
}

// TestNoOtherInstances checks that an instance that knows no other instance
// reads the store.
func TestNoOtherInstances(t *testing.T) {
	require.Equal(t, Store, New("front-1").Choose(start))
	require.False(t, New("front-1").Reads(start))
}
