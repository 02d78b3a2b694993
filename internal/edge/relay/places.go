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

// Assigner assigns objects to backend servers.
type Assigner interface {
	// Assign assigns the object of the request, unless its key is empty, and returns
	// the entries that are newer than the given version. It returns false if this
	// instance does not assign objects for its region.
	Assign(r admission.PlacementRequest, afterVersion uint64) ([]assign.Entry, bool)
	// Adopt adds the entries of an instance that assigned objects until now. It returns
	// false if this instance does not assign objects for its region.
	Adopt(entries []assign.Entry) bool
}

// places fills reply with the placements that were requested.
func (s *Server) places(request *relaypb.PlaceAsk, reply *relaypb.Reply) {
	handover, err := DecodePlaces(request.Handover)
	if err != nil || len(handover) > 0 && !s.assigner.Adopt(handover) {
		reply.Status = relaypb.Status_UNAVAILABLE
		return
	}
	entries, ok := s.assigner.Assign(admission.PlacementRequest{
		Key:         assign.Key{Service: request.Key.GetService(), Prefix: request.Key.GetPrefix(), Object: string(request.Key.GetObject())},
		HomeRegions: request.HomeRegions, Zone: request.Zone,
	}, request.After)
	if !ok {
		reply.Status = relaypb.Status_UNAVAILABLE
		return
	}
	reply.Places = EncodePlaces(entries)
}

// Places requests the entries that are newer than the given version from the
// instance with the given peer address. If the key of r is not empty, the instance
// first assigns that object. handover holds what the caller assigned itself until now,
// if it did. Errors: feeds.ErrNotReading, and those of the connection.
func (c *Client) Places(ctx context.Context, address string, r admission.PlacementRequest, afterVersion uint64, handover []assign.Entry, timeout time.Duration) ([]assign.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := c.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	defer s.release()
	request := &relaypb.Ask{Instance: c.self, Place: &relaypb.PlaceAsk{HomeRegions: r.HomeRegions, Zone: r.Zone, After: afterVersion}}
	if len(handover) > 0 {
		request.Place.Handover = EncodePlaces(handover)
	}
	if r.Key != (assign.Key{}) {
		request.Place.Key = &relaypb.ObjectKey{Service: r.Key.Service, Prefix: r.Key.Prefix, Object: []byte(r.Key.Object)}
	}
	reply, err := s.roundTrip(ctx, request, timeout)
	if err != nil {
		if timeout >= silenceTimeout {
			// The session may pass nothing any more while a new one would.
			c.remove(address, s)
		}
		return nil, errors.Annotatef(err, "request placements from %s", address)
	}
	if reply.Status != relaypb.Status_OK {
		return nil, feeds.ErrNotReading
	}
	return DecodePlaces(reply.Places)
}

// EncodePlaces converts entries to the message that is sent to other instances and
// written to the store. It groups the entries by service and prefix, and refers to
// backend servers by index, which keeps the message small.
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
			Object: []byte(e.Key.Object), Backend: index, Version: e.Version, Bound: e.Bound,
		})
	}
	return out
}

// DecodePlaces converts a message to entries. It returns a NotValid error if the
// message contains an index of a backend server that is out of range.
func DecodePlaces(p *relaypb.Places) ([]assign.Entry, error) {
	var entries []assign.Entry
	for _, g := range p.GetGroups() {
		for _, x := range g.Places {
			if int(x.Backend) >= len(p.Backends) {
				return nil, errors.NotValidf("backend index %d of %d (the sender may run another version): the placements are", x.Backend, len(p.Backends))
			}
			entries = append(entries, assign.Entry{
				Key:     assign.Key{Service: g.Service, Prefix: g.Prefix, Object: string(x.Object)},
				Backend: p.Backends[x.Backend], Bound: x.Bound, Version: x.Version,
			})
		}
	}
	return entries, nil
}
