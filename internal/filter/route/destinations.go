package route

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

const (
	// maxInstancesPerZone is the maximum number of instances of another zone that
	// a request is sent to.
	maxInstancesPerZone = 2
	// maxRelays is the maximum number of instances of the region that a request
	// is relayed to because they may hold a right on a link.
	maxRelays = 2
	// refusalBackoff is how long after a rejection a neighbour is not tried again
	// while its report shows no free slot.
	refusalBackoff = 5 * time.Millisecond
	// maxOwnAttempts is the maximum number of backend servers of this instance
	// that a request tries before other destinations.
	maxOwnAttempts = 2
)

// destination is where a request can be sent: to the backend servers that this
// instance owns or to another instance.
type destination struct {
	// kind is the suffix of the counter route.*.
	kind string
	// instance is nil for the backend servers that this instance owns.
	instance *snapshot.Instance
	region   string
	stage    filter.Stage
}

// triedDestinations records the destinations that a request has tried. Concurrent
// attempts of the request share it.
type triedDestinations struct {
	// mu guards all fields.
	mu sync.Mutex
	// ownBackends is true if the backend servers of this instance are excluded.
	ownBackends bool
	// instances holds the IDs of the other instances that were tried.
	instances map[string]bool
	// zones holds the number of instances that were tried in each other zone.
	zones map[string]int
	// fullLinks holds the regions to which the link was full.
	fullLinks map[string]bool
	// relayed holds the IDs of the instances that the request was relayed to.
	relayed map[string]bool
	// relayCount is the number of instances in relayed.
	relayCount int
}

func newTriedDestinations() *triedDestinations {
	return &triedDestinations{instances: map[string]bool{}, zones: map[string]int{}, fullLinks: map[string]bool{}, relayed: map[string]bool{}}
}

// reset allows every destination to be tried again.
func (t *triedDestinations) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownBackends = false
	clear(t.instances)
	clear(t.zones)
	clear(t.fullLinks)
	clear(t.relayed)
	t.relayCount = 0
}

// skipOwnBackends excludes the backend servers that this instance owns.
func (t *triedDestinations) skipOwnBackends() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownBackends = true
}

// skipLink excludes the zones of a region to which the link is full.
func (t *triedDestinations) skipLink(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fullLinks[region] = true
}

// choose returns the next destination for the request, or false if none is left.
func (s *search) choose(now time.Time) (destination, bool) {
	s.tried.mu.Lock()
	defer s.tried.mu.Unlock()
	return s.Policy.choose(s, now)
}

// toOwnBackends returns the destination for the backend servers that this instance
// owns.
func (s *search) toOwnBackends() destination {
	return destination{kind: "own", region: s.snap.Region, stage: filter.StageOwner}
}

// toNeighbour returns the destination for another instance of the zone and marks
// the instance as tried.
func (s *search) toNeighbour(inst *snapshot.Instance) destination {
	s.tried.instances[inst.ID] = true
	return destination{kind: "neighbour", instance: inst, region: s.snap.Region, stage: filter.StageOwner}
}

// toZone returns the destination for an instance of another zone and marks the
// instance as tried.
func (s *search) toZone(z snapshot.Zone, inst *snapshot.Instance) destination {
	s.tried.zones[z.Name]++
	s.tried.instances[inst.ID] = true
	return destination{kind: "zone", instance: inst, region: z.Region, stage: filter.StageZone}
}

// chooseRemote returns the next destination outside this instance.
func (s *search) chooseRemote(now time.Time) (destination, bool) {
	if s.snap.Estate == nil {
		return destination{}, false
	}
	ownZone, _ := s.snap.ZoneOf(s.snap.Zone)
	neighbours := s.neighbours(ownZone)
	var zones []balance.Peer
	if s.request.Stage != filter.StageZone {
		zones = s.zones()
	}
	name, ok := balance.ChoosePeer(now, load.DefaultPolicy, neighbours, zones, rand.Uint64())
	if !ok {
		name, ok = chooseFullNeighbour(now, neighbours)
	}
	if !ok {
		return s.chooseRelay()
	}
	if inst := findInstance(ownZone, name); inst != nil {
		return s.toNeighbour(inst), true
	}
	z, _ := s.snap.ZoneOf(name)
	inst := s.untriedInstance(z)
	if inst == nil {
		s.tried.zones[name] = maxInstancesPerZone
		return s.chooseRemote(now)
	}
	return s.toZone(z, inst), true
}

// chooseRelay returns another instance of the region if a link was full for this
// instance. The other instance may hold rights that this one lacks, as when this
// instance started while the table service was down and has no entry in the
// ledger of rights.
func (s *search) chooseRelay() (destination, bool) {
	if s.request.Stage >= filter.StageRelay || len(s.tried.fullLinks) == 0 || s.tried.relayCount >= maxRelays {
		return destination{}, false
	}
	for _, inOwnZone := range []bool{true, false} {
		for i := range s.snap.Zones {
			z := &s.snap.Zones[i]
			if z.Region != s.snap.Region || (z.Name == s.snap.Zone) != inOwnZone {
				continue
			}
			if inst := s.relayInstance(z); inst != nil {
				s.tried.relayCount++
				s.tried.relayed[inst.ID] = true
				return destination{kind: "relay", instance: inst, region: z.Region, stage: filter.StageRelay}, true
			}
		}
	}
	return destination{}, false
}

// relayInstance returns a random instance of the zone that the request was not
// relayed to, or nil if there is none.
func (s *search) relayInstance(z *snapshot.Zone) *snapshot.Instance {
	n := len(z.Instances)
	start := rand.IntN(max(n, 1))
	for i := range n {
		if inst := &z.Instances[(start+i)%n]; inst.ID != s.snap.Self.ID && !s.tried.relayed[inst.ID] {
			return inst
		}
	}
	return nil
}

// chooseFullNeighbour returns a random neighbour that has not rejected a request
// within refusalBackoff, even if its report shows no free slot. Slots become free
// faster than reports arrive, and trying a neighbour costs less than rejecting
// the request.
func chooseFullNeighbour(now time.Time, neighbours []balance.Peer) (name string, ok bool) {
	start := rand.IntN(max(len(neighbours), 1))
	for i := range neighbours {
		n := neighbours[(start+i)%len(neighbours)]
		if n.Slots > 0 && now.Sub(n.Observation.Refused) >= refusalBackoff {
			return n.Name, true
		}
	}
	return "", false
}

// neighbours returns the untried other instances of the zone.
func (s *search) neighbours(z snapshot.Zone) []balance.Peer {
	var out []balance.Peer
	for _, inst := range z.Instances {
		if inst.ID != s.snap.Self.ID && !s.tried.instances[inst.ID] {
			out = append(out, s.peer(inst.ID, inst.Loads[s.request.Service.Name].Slots, inst.Loads[s.request.Service.Name]))
		}
	}
	return out
}

// zones returns the other zones that the request may be sent to, in the
// caller's order. A draining zone receives no requests from other zones, but it
// still serves the requests that its own callers send.
func (s *search) zones() []balance.Peer {
	var out []balance.Peer
	for _, i := range s.zoneOrder() {
		z := &s.snap.Zones[i]
		if !s.zoneEligible(z) {
			continue
		}
		out = append(out, s.peer(z.Name, z.Slots[s.request.Service.Name], z.Loads[s.request.Service.Name]))
	}
	return out
}

// zoneEligible reports whether z is another zone that the request may be sent
// to.
func (s *search) zoneEligible(z *snapshot.Zone) bool {
	return z.Name != s.snap.Zone && !z.Closed && len(z.Instances) > 0 && s.tried.zones[z.Name] < maxInstancesPerZone && !s.tried.fullLinks[z.Region]
}

// peer returns the balancer's view of an instance or a zone.
func (s *search) peer(name string, slots int, report load.Report) balance.Peer {
	return balance.Peer{Name: name, Slots: slots, Report: report, Observation: s.PeerObservations.get(name, s.request.Service.Name)}
}

// zoneOrder returns the zones in the order in which the caller uses them. If the
// caller's share of traffic fits in no zone, it returns all zones, so that the
// caller is still served while any zone has free slots.
func (s *search) zoneOrder() []placement.ZoneIndex {
	table := s.snap.Tables[s.request.Service.Name]
	if table == nil {
		return nil
	}
	zoneOrder := table.Order(s.request.Caller, make([]placement.ZoneIndex, 0, len(s.snap.Zones)))
	if len(zoneOrder) == 0 {
		for i := range s.snap.Zones {
			zoneOrder = append(zoneOrder, placement.ZoneIndex(i))
		}
	}
	return zoneOrder
}

// untriedInstance returns a random untried instance of another zone, or nil if
// there is none. The load of each single instance of another zone is not known
// here, and any of them can forward the request within its zone.
func (s *search) untriedInstance(z snapshot.Zone) *snapshot.Instance {
	n := len(z.Instances)
	start := rand.IntN(max(n, 1))
	for i := range n {
		if inst := &z.Instances[(start+i)%n]; !s.tried.instances[inst.ID] {
			return inst
		}
	}
	return nil
}

// findInstance returns the zone's instance with the ID, or nil if there is none.
func findInstance(z snapshot.Zone, id string) *snapshot.Instance {
	for i := range z.Instances {
		if z.Instances[i].ID == id {
			return &z.Instances[i]
		}
	}
	return nil
}

// PeerObservations holds what this instance has observed of other instances and
// zones: the number of its requests there that have not ended, and the time of
// the last rejection for lack of a free slot. Package load adds the requests to
// the last load report, and treats a peer as full for a while after a rejection.
// It is safe for concurrent use.
type PeerObservations struct {
	mu     sync.Mutex
	byPeer map[observationKey]load.Observation
}

// observationKey identifies a service at an instance or in a zone.
type observationKey struct{ peer, service string }

// NewPeerObservations returns a PeerObservations without observations.
func NewPeerObservations() *PeerObservations {
	return &PeerObservations{byPeer: map[observationKey]load.Observation{}}
}

// addRequest counts one request to the instance and its zone. The caller must
// call done once when the request has ended; refused says whether the instance
// rejected it for lack of a free slot.
func (o *PeerObservations) addRequest(inst *snapshot.Instance, service string) (done func(refused bool)) {
	keys := [...]observationKey{{inst.ID, service}, {inst.Zone, service}}
	o.update(keys[:], 1, time.Time{})
	return func(refused bool) {
		var refusedAt time.Time
		if refused {
			refusedAt = time.Now()
		}
		o.update(keys[:], -1, refusedAt)
	}
}

// update adds delta to the number of requests of each key, and sets the time of
// the last rejection unless refusedAt is zero.
func (o *PeerObservations) update(keys []observationKey, delta int, refusedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range keys {
		obs := o.byPeer[k]
		obs.SentSinceReport += delta
		if !refusedAt.IsZero() {
			obs.Refused = refusedAt
		}
		if obs.SentSinceReport == 0 && obs.Refused.IsZero() {
			delete(o.byPeer, k)
			continue
		}
		o.byPeer[k] = obs
	}
}

// get returns the observation of the service at the peer.
func (o *PeerObservations) get(peer, service string) load.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byPeer[observationKey{peer, service}]
}

// hookedStream calls onClose once, after the stream is first closed.
type hookedStream struct {
	io.ReadCloser
	once   sync.Once
	finish func()
}

// Close implements io.Closer.
func (h *hookedStream) Close() error {
	defer h.once.Do(h.finish)
	return h.ReadCloser.Close()
}
