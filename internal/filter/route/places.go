package route

import (
	"io"
	"sort"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/placement"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/snapshot"
)

const (
	// reportMaxAge is the age at which a report of free slots says nothing any
	// more.
	reportMaxAge = 3 * time.Second
	// perZone is how many instances of another zone are tried.
	perZone = 2
)

// list returns the places for the request, best first: own backend servers,
// neighbours in the zone, then the other zones in the caller's order. A zone
// that drains gets no new work from elsewhere, but serves what its own callers
// still send.
func (t *tries) list() []place {
	places := []place{{kind: "own", region: t.snap.Region, stage: filter.StageOwn}}
	if t.snap.Estate == nil {
		return places
	}
	if z, ok := t.snap.ZoneOf(t.snap.Zone); ok {
		for _, in := range t.neighbours(z) {
			places = append(places, place{kind: "neighbour", to: &in, region: t.snap.Region, stage: filter.StageOwn})
		}
	}
	if t.r.Stage == filter.StageZone {
		return places
	}
	for _, i := range t.order() {
		z := t.snap.Zones[i]
		if z.Name == t.snap.Zone || t.snap.Estate.ZoneDraining(z.Name) {
			continue
		}
		for _, in := range t.remote(z) {
			places = append(places, place{kind: "zone", to: &in, region: z.Region, stage: filter.StageZone})
		}
	}
	return places
}

func (t *tries) order() []placement.ZoneIndex {
	table := t.snap.Tables[t.r.Service.Name]
	if table == nil {
		return nil
	}
	order := table.Order(t.r.Caller, make([]placement.ZoneIndex, 0, len(t.snap.Zones)))
	// A caller whose share fits nowhere is still served while there is room.
	if len(order) == 0 {
		for i := range t.snap.Zones {
			order = append(order, placement.ZoneIndex(i))
		}
	}
	return order
}

// ranked is an instance with what it has free.
type ranked struct {
	snapshot.Instance
	free int
}

// neighbours returns the instances of the own zone that can have a free slot,
// the one with most first.
func (t *tries) neighbours(z snapshot.Zone) []snapshot.Instance {
	return t.rank(z, func(r ranked) bool { return r.free > 0 })
}

// remote returns the instances of another zone to try. Any of them can pass
// the request on within its zone, so one without free slots of its own will
// do; a zone without any known free slot is left out.
func (t *tries) remote(z snapshot.Zone) []snapshot.Instance {
	all := t.rank(z, func(ranked) bool { return true })
	if len(t.rank(z, func(r ranked) bool { return r.free > 0 })) == 0 {
		return nil
	}
	return all[:min(len(all), perZone)]
}

func (t *tries) rank(z snapshot.Zone, keep func(ranked) bool) []snapshot.Instance {
	now := time.Now()
	var rs []ranked
	for _, in := range z.Instances {
		if in.ID == t.snap.Self.ID {
			continue
		}
		load := in.Loads[t.r.Service.Name]
		r := ranked{in, estimate(load, now) - t.Outbox.count(in.ID, t.r.Service.Name)}
		if keep(r) {
			rs = append(rs, r)
		}
	}
	sort.SliceStable(rs, func(i, j int) bool { return rs[i].free > rs[j].free })
	out := make([]snapshot.Instance, len(rs))
	for i, r := range rs {
		out[i] = r.Instance
	}
	return out
}

// estimate returns the free slots that a report stands for at its age: an old
// report is worth a share of all slots, neither none nor all.
func estimate(l snapshot.Load, now time.Time) int {
	if l.Slots == 0 {
		return 0
	}
	if now.Sub(l.At) < reportMaxAge {
		return l.Free
	}
	return max(l.Slots/4, 1)
}

// Outbox counts the requests that this instance has at others, so that what it
// sent itself counts until the next report.
type Outbox struct {
	mu       sync.Mutex
	inFlight map[outboxKey]int
}

type outboxKey struct{ instance, service string }

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{inFlight: map[outboxKey]int{}} }

// add counts one request; done must be called once.
func (o *Outbox) add(instance, service string) (done func()) {
	k := outboxKey{instance, service}
	o.mu.Lock()
	o.inFlight[k]++
	o.mu.Unlock()
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.inFlight[k]--; o.inFlight[k] == 0 {
			delete(o.inFlight, k)
		}
	}
}

func (o *Outbox) count(instance, service string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inFlight[outboxKey{instance, service}]
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
