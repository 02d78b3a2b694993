package placement

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/blocktable"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// NewBlocks returns the table of the estate's blocks, by the index of their
// edge region. It fails with a *blocktable.PrefixError.
func NewBlocks(e *estate.Estate) (*blocktable.Table, error) {
	entries := make([]blocktable.Entry, 0, len(e.Blocks))
	for _, b := range e.Blocks {
		if entry, ok := BlockEntry(e, b); ok {
			entries = append(entries, entry)
		}
	}
	return blocktable.New(entries)
}

// BlockEntry returns the line of one block; ok is false if its region is not
// declared.
func BlockEntry(e *estate.Estate, b estate.Block) (entry blocktable.Entry, ok bool) {
	r := regionIndex(e, b.Region)
	return blocktable.Entry{Prefix: b.Prefix, Class: blocktable.Class(max(r, 0))}, r >= 0
}

// Before returns the estate as it was before the drains and fills of sites and
// backend servers that were declared after cutoff, and when the first of them
// was. ok is false if there are none. The configuration does not tell the
// weights of before, nor when the state of a zone or region changed.
func Before(e *estate.Estate, cutoff time.Time) (before *estate.Estate, since time.Time, ok bool) {
	c := *e
	c.Sites, c.Services = slices.Clone(e.Sites), slices.Clone(e.Services)
	undo := func(s estate.State, at time.Time) estate.State {
		if !at.After(cutoff) {
			return s
		}
		if !ok || at.Before(since) {
			since, ok = at, true
		}
		if s.IsDraining() {
			return estate.Active
		}
		return estate.Draining
	}
	for i := range c.Sites {
		c.Sites[i].State = undo(c.Sites[i].State, c.Sites[i].Since)
	}
	for i := range c.Services {
		c.Services[i].Backends = slices.Clone(c.Services[i].Backends)
		for k := range c.Services[i].Backends {
			b := &c.Services[i].Backends[k]
			b.State = undo(b.State, b.Since)
		}
	}
	return &c, since, ok
}
