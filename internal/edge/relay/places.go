package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
)

// Assigner gives objects their places.
type Assigner interface {
	// Assign returns the entries that are newer than a version; the request's key
	// may be empty. It returns false when this instance does not assign.
	Assign(r admission.PlacementRequest, after uint64) ([]assign.Entry, bool)
}

// places answers an ask for places.
func (s *Server) places(ask *relaypb.PlaceAsk, reply *relaypb.Reply) {
	entries, ok := s.assigner.Assign(admission.PlacementRequest{
		Key:         assign.Key{Service: ask.Key.GetService(), Prefix: ask.Key.GetPrefix(), Object: ask.Key.GetObject()},
		HomeRegions: ask.HomeRegions,
	}, ask.After)
	if !ok {
		reply.Status = relaypb.Status_UNAVAILABLE
		return
	}
	reply.Places = EncodePlaces(entries)
}

// Places asks the instance at an address for the entries that are newer than a
// version, and for the place of an object if the request's key names one. Errors:
// feeds.ErrNotReading, and those of the connection.
func (c *Client) Places(ctx context.Context, address string, r admission.PlacementRequest, after uint64, timeout time.Duration) ([]assign.Entry, error) {
	l, err := c.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	defer l.leave()
	ask := &relaypb.Ask{Instance: c.self, Place: &relaypb.PlaceAsk{HomeRegions: r.HomeRegions, After: after}}
	if r.Key != (assign.Key{}) {
		ask.Place.Key = &relaypb.ObjectKey{Service: r.Key.Service, Prefix: r.Key.Prefix, Object: r.Key.Object}
	}
	reply, err := l.exchange(ctx, ask, timeout)
	if err != nil {
		return nil, errors.Annotatef(err, "ask %s for places", address)
	}
	if reply.Status != relaypb.Status_OK {
		return nil, feeds.ErrNotReading
	}
	return DecodePlaces(reply.Places)
}

// EncodePlaces groups entries for the wire and the store.
func EncodePlaces(entries []assign.Entry) *relaypb.Places {
	type group struct{ service, prefix string }
	out := &relaypb.Places{}
	groups, backends := map[group]*relaypb.PlaceGroup{}, map[string]uint32{}
	for _, e := range entries {
		g := group{e.Key.Service, e.Key.Prefix}
		if groups[g] == nil {
			groups[g] = &relaypb.PlaceGroup{Service: g.service, Prefix: g.prefix}
			out.Groups = append(out.Groups, groups[g])
		}
		index, known := backends[e.Backend]
		if !known {
			index = uint32(len(out.Backends))
			backends[e.Backend] = index
			out.Backends = append(out.Backends, e.Backend)
		}
		groups[g].Places = append(groups[g].Places, &relaypb.Place{
			Object: e.Key.Object, Backend: index, Version: e.Version, Bound: e.Bound,
		})
	}
	return out
}

// DecodePlaces returns the entries of a message. Errors: NotValid for an index
// out of range.
func DecodePlaces(p *relaypb.Places) ([]assign.Entry, error) {
	var entries []assign.Entry
	for _, g := range p.GetGroups() {
		for _, x := range g.Places {
			if int(x.Backend) >= len(p.Backends) {
				return nil, errors.NotValidf("backend index %d of %d; the sender runs another version, the places", x.Backend, len(p.Backends))
			}
			entries = append(entries, assign.Entry{
				Key:     assign.Key{Service: g.Service, Prefix: g.Prefix, Object: x.Object},
				Backend: p.Backends[x.Backend], Bound: x.Bound, Version: x.Version,
			})
		}
	}
	return entries, nil
}
