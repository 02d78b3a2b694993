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

// perZone is how many instances of another zone are tried.
const perZone = 2

// place is somewhere a request can be sent.
type place struct {
	kind string
	// to is nil for the backend servers owned here.
	to     *snapshot.Instance
	region string
	stage  filter.Stage
}

// visited is what a request has tried so far.
type visited struct {
	own       bool
	instances map[string]bool
	zones     map[string]int
	// full holds the regions whose link had no room.
	full map[string]bool
}

// choose returns the next place for the request: the backend servers owned
// here, a neighbour in the zone, or the first of the other zones in the
// caller's order that can have a free slot.
func (t *tries) choose(now time.Time) (place, bool) {
	if !t.seen.own {
		t.seen.own = true
		if free, _ := t.Slots.Free(t.r.Service.Name); free > 0 {
			return place{kind: "own", region: t.snap.Region, stage: filter.StageOwn}, true
		}
	}
	if t.snap.Estate == nil {
		return place{}, false
	}
	home, _ := t.snap.ZoneOf(t.snap.Zone)
	neighbours := t.neighbours(home)
	var zones []balance.Peer
	if t.r.Stage != filter.StageZone {
		zones = t.zones()
	}
	name, ok := balance.Forward(now, load.Believe, neighbours, zones, rand.Uint64())
	if !ok {
		return place{}, false
	}
	if in := find(home, name); in != nil {
		t.seen.instances[in.ID] = true
		return place{kind: "neighbour", to: in, region: t.snap.Region, stage: filter.StageOwn}, true
	}
	z, _ := t.snap.ZoneOf(name)
	in := t.instance(now, z)
	if in == nil {
		t.seen.zones[name] = perZone
		return t.choose(now)
	}
	t.seen.zones[name]++
	t.seen.instances[in.ID] = true
	return place{kind: "zone", to: in, region: z.Region, stage: filter.StageZone}, true
}

// neighbours returns the other instances of the zone.
func (t *tries) neighbours(z snapshot.Zone) []balance.Peer {
	var out []balance.Peer
	for _, in := range z.Instances {
		if in.ID != t.snap.Self.ID && !t.seen.instances[in.ID] {
			out = append(out, t.peer(in.ID, in.Loads[t.r.Service.Name].Slots, in.Loads[t.r.Service.Name]))
		}
	}
	return out
}

// zones returns the other zones in the caller's order. A zone that drains gets
// no new work from elsewhere, but serves what its own callers still send.
func (t *tries) zones() []balance.Peer {
	var out []balance.Peer
	for _, i := range t.order() {
		z := &t.snap.Zones[i]
		if z.Name == t.snap.Zone || z.Closed || len(z.Instances) == 0 || t.seen.zones[z.Name] >= perZone || t.seen.full[z.Region] {
			continue
		}
		out = append(out, t.peer(z.Name, z.Slots[t.r.Service.Name], z.Loads[t.r.Service.Name]))
	}
	return out
}

func (t *tries) peer(name string, slots int, rep load.Report) balance.Peer {
	return balance.Peer{Name: name, Slots: slots, Report: rep, Evidence: t.Outbox.evidence(name, t.r.Service.Name)}
}

// order returns the zones for the caller. One whose share fits nowhere is
// still served while there is room.
func (t *tries) order() []placement.ZoneIndex {
	table := t.snap.Tables[t.r.Service.Name]
	if table == nil {
		return nil
	}
	order := table.Order(t.r.Caller, make([]placement.ZoneIndex, 0, len(t.snap.Zones)))
	if len(order) == 0 {
		for i := range t.snap.Zones {
			order = append(order, placement.ZoneIndex(i))
		}
	}
	return order
}

// instance returns the instance of another zone that reported most free slots.
// Any of them can pass the request on within its zone.
func (t *tries) instance(now time.Time, z snapshot.Zone) *snapshot.Instance {
	var best *snapshot.Instance
	var most load.Milli
	for i := range z.Instances {
		in := &z.Instances[i]
		if t.seen.instances[in.ID] {
			continue
		}
		rep := in.Loads[t.r.Service.Name]
		busy := load.Believe.Busy(now, rep.Slots, rep, t.Outbox.evidence(in.ID, t.r.Service.Name))
		if free := load.Milli(rep.Slots)*load.Slot - busy; best == nil || free > most {
			best, most = in, free
		}
	}
	return best
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
	sent map[outboxKey]load.Evidence
}

// outboxKey names an instance or a zone, and a service.
type outboxKey struct{ peer, service string }

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{sent: map[outboxKey]load.Evidence{}} }

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
		e.Sent += delta
		if !refused.IsZero() {
			e.Refused = refused
		}
		if e.Sent == 0 && e.Refused.IsZero() {
			delete(o.sent, k)
			continue
		}
		o.sent[k] = e
	}
}

func (o *Outbox) evidence(peer, service string) load.Evidence {
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
