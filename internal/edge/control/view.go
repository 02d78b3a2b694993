package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// View is an immutable picture of what the instance knows.
type View struct {
	// Config is nil until the first configuration has arrived.
	Config *traffic.Config
	// Backends maps a service to the backend servers that may get new
	// requests, ordered by id.
	Backends map[string][]*traffic.Backend
	// Evacuated holds the availability zones that get no new requests.
	Evacuated map[string]bool
	// Members holds the entry instances ordered by name.
	Members []traffic.Member
}

// Usable reports whether the incarnation may still get new requests.
func (v *View) Usable(b *traffic.Backend) bool {
	i, found := slices.BinarySearchFunc(v.Backends[b.Service], b.ID, func(x *traffic.Backend, id string) int { return cmp.Compare(x.ID, id) })
	return found && v.Backends[b.Service][i].Incarnation == b.Incarnation
}

func (s *state) view() *View {
	v := &View{
		Config: s.config, Evacuated: maps.Clone(s.evacuated),
		Backends: map[string][]*traffic.Backend{},
		Members:  slices.SortedFunc(maps.Values(s.members), func(a, b traffic.Member) int { return cmp.Compare(a.Name, b.Name) }),
	}
	for _, b := range s.backends {
		if b.Draining || s.evacuated[b.Zone] {
			continue
		}
		v.Backends[b.Service] = append(v.Backends[b.Service], b)
	}
	for _, list := range v.Backends {
		slices.SortFunc(list, func(a, b *traffic.Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}
