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
	// perZone is how many instances of another zone are tried.
	perZone = 2
	// maxRelays is how many instances of the region are asked for a right on a
	// link.
	maxRelays = 2
	// askPause is how long a neighbour that refused is not asked again without
	// a report of room.
	askPause = 5 * time.Millisecond
	// ownAttempts is how many own backend servers are tried before others.
	ownAttempts = 2
)

// place is somewhere a request can be sent.
type place struct {
	kind string
	// to is nil for the backend servers owned here.
	to     *snapshot.Instance
	region string
	stage  filter.Stage
}

// visited is what a request has tried so far. Attempts that run side by side
// share it.
type visited struct {
	mu        sync.Mutex
	own       bool
	instances map[string]bool
	zones     map[string]int
	// full holds the regions whose link had no room.
	full map[string]bool
	// relayed holds the instances asked for a right on a link, relays counts
	// them.
	relayed map[string]bool
	relays  int
}

func newVisited() *visited {
	return &visited{instances: map[string]bool{}, zones: map[string]int{}, full: map[string]bool{}, relayed: map[string]bool{}}
}

// reset lets every place be tried again.
func (v *visited) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own = false
	clear(v.instances)
	clear(v.zones)
	clear(v.full)
	clear(v.relayed)
	v.relays = 0
}

// leaveOwn leaves out the backend servers owned here.
func (v *visited) leaveOwn() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.own = true
}

// closeLink leaves out the zones of a region whose link has no room.
func (v *visited) closeLink(region string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.full[region] = true
}

// choose returns the next place for the request.
func (s *search) choose(now time.Time) (place, bool) {
	s.seen.mu.Lock()
	defer s.seen.mu.Unlock()
	return s.Policy.choose(s, now)
}

// here is the place of the backend servers owned by this instance.
func (s *search) here() place {
	return place{kind: "own", region: s.snap.Region, stage: filter.StageOwn}
}

// neighbour is the place of another instance of the zone.
func (s *search) neighbour(in *snapshot.Instance) place {
	s.seen.instances[in.ID] = true
	return place{kind: "neighbour", to: in, region: s.snap.Region, stage: filter.StageOwn}
}

// zone is the place of an instance of another zone.
func (s *search) zone(z snapshot.Zone, in *snapshot.Instance) place {
	s.seen.zones[z.Name]++
	s.seen.instances[in.ID] = true
	return place{kind: "zone", to: in, region: z.Region, stage: filter.StageZone}
}

// elsewhere returns the next place outside this instance.
func (s *search) elsewhere(now time.Time) (place, bool) {
	if s.snap.Estate == nil {
		return place{}, false
	}
	home, _ := s.snap.ZoneOf(s.snap.Zone)
	neighbours := s.neighbours(home)
	var zones []balance.Peer
	if s.r.Stage != filter.StageZone {
		zones = s.zones()
	}
	name, ok := balance.ChoosePeer(now, load.DefaultPolicy, neighbours, zones, rand.Uint64())
	if !ok {
		name, ok = lastResort(now, neighbours)
	}
	if !ok {
		return s.relay()
	}
	if in := find(home, name); in != nil {
		return s.neighbour(in), true
	}
	z, _ := s.snap.ZoneOf(name)
	in := s.instance(z)
	if in == nil {
		s.seen.zones[name] = perZone
		return s.elsewhere(now)
	}
	return s.zone(z, in), true
}

// relay returns another instance of the region, when a link had no room for
// this one: it may hold rights that this one lacks, as when this one was born
// while the table was down and stands in no ledger.
func (s *search) relay() (place, bool) {
	if s.r.Stage >= filter.StageRelay || len(s.seen.full) == 0 || s.seen.relays >= maxRelays {
		return place{}, false
	}
	for _, own := range []bool{true, false} {
		for i := range s.snap.Zones {
			z := &s.snap.Zones[i]
			if z.Region != s.snap.Region || (z.Name == s.snap.Zone) != own {
				continue
			}
			if in := s.unrelayed(z); in != nil {
				s.seen.relays++
				s.seen.relayed[in.ID] = true
				return place{kind: "relay", to: in, region: z.Region, stage: filter.StageRelay}, true
			}
		}
	}
	return place{}, false
}

// unrelayed returns an instance of the zone, drawn at random, that the request
// was not relayed to.
func (s *search) unrelayed(z *snapshot.Zone) *snapshot.Instance {
	n := len(z.Instances)
	start := rand.IntN(max(n, 1))
	for i := range n {
		if in := &z.Instances[(start+i)%n]; in.ID != s.snap.Self.ID && !s.seen.relayed[in.ID] {
			return in
		}
	}
	return nil
}

// lastResort returns a neighbour whose report says full but that has not
// refused a request lately: slots come free faster than reports come in, and
// asking a neighbour costs less than turning the caller away.
func lastResort(now time.Time, neighbours []balance.Peer) (name string, ok bool) {
	start := rand.IntN(max(len(neighbours), 1))
	for i := range neighbours {
		n := neighbours[(start+i)%len(neighbours)]
		if n.Slots > 0 && now.Sub(n.Observation.Refused) >= askPause {
			return n.Name, true
		}
	}
	return "", false
}

// neighbours returns the other instances of the zone.
func (s *search) neighbours(z snapshot.Zone) []balance.Peer {
	var out []balance.Peer
	for _, in := range z.Instances {
		if in.ID != s.snap.Self.ID && !s.seen.instances[in.ID] {
			out = append(out, s.peer(in.ID, in.Loads[s.r.Service.Name].Slots, in.Loads[s.r.Service.Name]))
		}
	}
	return out
}

// zones returns the other zones in the caller's order. A zone that drains gets
// no new work from elsewhere, but serves what its own callers still send.
func (s *search) zones() []balance.Peer {
	var out []balance.Peer
	for _, i := range s.order() {
		z := &s.snap.Zones[i]
		if !s.open(z) {
			continue
		}
		out = append(out, s.peer(z.Name, z.Slots[s.r.Service.Name], z.Loads[s.r.Service.Name]))
	}
	return out
}

// open reports whether the request may be sent to another zone.
func (s *search) open(z *snapshot.Zone) bool {
	return z.Name != s.snap.Zone && !z.Draining && len(z.Instances) > 0 && s.seen.zones[z.Name] < perZone && !s.seen.full[z.Region]
}

func (s *search) peer(name string, slots int, rep load.Report) balance.Peer {
	return balance.Peer{Name: name, Slots: slots, Report: rep, Observation: s.Outbox.evidence(name, s.r.Service.Name)}
}

// order returns the zones for the caller. One whose share fits nowhere is
// still served while there is room.
func (s *search) order() []placement.ZoneIndex {
	table := s.snap.Tables[s.r.Service.Name]
	if table == nil {
		return nil
	}
	order := table.Order(s.r.Caller, make([]placement.ZoneIndex, 0, len(s.snap.Zones)))
	if len(order) == 0 {
		for i := range s.snap.Zones {
			order = append(order, placement.ZoneIndex(i))
		}
	}
	return order
}

// instance returns an instance of another zone, drawn at random. Any of them
// can pass the request on within its zone, whose loads are not known here one
// by one.
func (s *search) instance(z snapshot.Zone) *snapshot.Instance {
	n := len(z.Instances)
	start := rand.IntN(max(n, 1))
	for i := range n {
		if in := &z.Instances[(start+i)%n]; !s.seen.instances[in.ID] {
			return in
		}
	}
	return nil
}

func find(z snapshot.Zone, id string) *snapshot.Instance {
	for i := range z.Instances {
		if z.Instances[i].ID == id {
			return &z.Instances[i]
		}
	}
	return nil
}

// Outbox knows what this instance has at others: it counts until the next
// report, and a refusal counts as full for a while.
type Outbox struct {
	mu   sync.Mutex
	sent map[outboxKey]load.Observation
}

// outboxKey names an instance or a zone, and a service.
type outboxKey struct{ peer, service string }

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{sent: map[outboxKey]load.Observation{}} }

// add counts one request to an instance of a zone. done must be called once.
func (o *Outbox) add(in *snapshot.Instance, service string) (done func(refused bool)) {
	keys := [...]outboxKey{{in.ID, service}, {in.Zone, service}}
	o.change(keys[:], 1, time.Time{})
	return func(refused bool) {
		var at time.Time
		if refused {
			at = time.Now()
		}
		o.change(keys[:], -1, at)
	}
}

func (o *Outbox) change(keys []outboxKey, delta int, refused time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range keys {
		e := o.sent[k]
		e.SentSinceReport += delta
		if !refused.IsZero() {
			e.Refused = refused
		}
		if e.SentSinceReport == 0 && e.Refused.IsZero() {
			delete(o.sent, k)
			continue
		}
		o.sent[k] = e
	}
}

func (o *Outbox) evidence(peer, service string) load.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent[outboxKey{peer, service}]
}

// endStream calls end once when the stream is closed.
type endStream struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close implements io.Closer.
func (s *endStream) Close() error {
	defer s.once.Do(s.end)
	return s.ReadCloser.Close()
}
