package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// View is an immutable snapshot of the state that requests are routed by.
type View struct {
	// Config is the configuration, nil until the first one has been read.
	Config *traffic.Config
	// Backends maps a service name to the backend servers that may receive new
	// requests, ordered by id.
	Backends map[string][]*traffic.Backend
	// Evacuated holds the availability zones that receive no new requests.
	Evacuated map[string]bool
	// Members holds the entry instances, ordered by name.
	Members []traffic.Member
}

// Usable reports whether b may still receive new requests: the view holds the
// backend server in the same incarnation.
func (v *View) Usable(b *traffic.Backend) bool {
	i, found := slices.BinarySearchFunc(v.Backends[b.Service], b.ID, func(x *traffic.Backend, id string) int { return cmp.Compare(x.ID, id) })
	return found && v.Backends[b.Service][i].Born == b.Born
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
