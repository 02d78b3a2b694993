package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/decide/ownership"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Names of the series over what stands in rows.
const (
	ownerRow   = "row of a zone's owners, bytes"
	ownerTick  = "ownership tick, processor"
	ownerHeap  = "ownership, memory"
	linkRow    = "row of a region's link rights, bytes"
	linkTick   = "link rights tick, processor"
	linkHeap   = "link rights, memory"
	claimRow   = "row of claimed keys, bytes"
	listBytes  = "platform's list, bytes of one reading"
	keyHeap    = "settled key at its home, memory"
	slotsEach  = 4
	rightsEach = 100
	// keyBody is the size of a kept answer in bytes.
	keyBody = 200
)

// measureRows measures what grows with a zone's backend servers, a region's
// instances and the keys that are kept.
func measureRows(add func(Series)) error {
	backends := over{add: add, variable: "backend servers of the zone", steps: stepsTo(Letter.ZoneBackends()), target: Letter.ZoneBackends()}
	backends.measure(ownerRow, Bytes, "internal/decide/ownership", func(n int) float64 {
		return float64(len(mustJSON(ownersOf(n))))
	})
	backends.measure(ownerTick, Seconds, "internal/decide/ownership", func(n int) float64 {
		m := newOwnership(n)
		return tickTime(func(now time.Time) { m.Tick(now); m.Ready() })
	})
	backends.measure(ownerHeap, Bytes, "internal/decide/ownership", func(n int) float64 {
		return heap(func() any { return newOwnership(n) })
	})
	holders := over{add: add, variable: "holders of the region's rights", steps: []int{8, 32, linkcap.DefaultMaxHolders}, target: linkcap.DefaultMaxHolders}
	holders.measure(linkRow, Bytes, "internal/decide/linkcap", func(n int) float64 {
		return float64(len(mustJSON(ledgerOf(n))))
	})
	holders.measure(linkTick, Seconds, "internal/decide/linkcap", func(n int) float64 {
		m := newLinks(n)
		return tickTime(func(now time.Time) { m.Tick(now); m.Ready() })
	})
	holders.measure(linkHeap, Bytes, "internal/decide/linkcap", func(n int) float64 {
		return heap(func() any { return newLinks(n) })
	})
	listed := over{add: add, variable: "listed instances and backend servers", steps: stepsTo(listedAll()), target: listedAll()}
	listed.measure(listBytes, Bytes, "internal/platform", func(n int) float64 { return float64(len(mustJSON(listOf(n)))) })
	kept := over{add: add, variable: "keys", steps: []int{2500, 10_000, 20_000}, target: 20_000}
	kept.measure(claimRow, Bytes, "internal/decide/once", func(n int) float64 { return float64(len(mustJSON(claimsOf(n)))) })
	kept.measure(keyHeap, Bytes, "internal/decide/once", func(n int) float64 {
		return heap(func() any { return keptKeys(n) })
	})
	return nil
}

// tickTime returns the processor time of one tick of several in a row, since
// some work is done only now and then.
func tickTime(tick func(now time.Time)) float64 {
	now := start
	return seconds(func() {
		now = now.Add(static.DefaultTickInterval)
		tick(now)
	})
}

// over measures several costs at the same sizes.
type over struct {
	add      func(Series)
	variable string
	steps    []int
	target   int
}

func (o over) measure(name string, u Unit, pkg string, f func(n int) float64) {
	s := Series{Name: name, Variable: o.variable, Unit: u, Package: pkg, Target: float64(o.target)}
	for _, n := range o.steps {
		s.Points = append(s.Points, Point{float64(n), f(n)})
	}
	o.add(s)
}

func backendName(i int) string {
	return fmt.Sprintf("backend-%04d-%02d", i/Letter.SiteBackends*Letter.Zones, i%Letter.SiteBackends)
}

// ownersOf returns the row of a zone whose n backend servers are spread over
// its instances.
func ownersOf(n int) ownership.RowValue {
	var t ownership.RowValue
	for i := range n {
		in := newInstance(0, i%Letter.ZoneNodes())
		t.Assignments = append(t.Assignments, ownership.Assignment{Backend: backendName(i), Owner: in.Identity, Peer: in.Peer, Epoch: 7})
	}
	slices.SortFunc(t.Assignments, func(a, b ownership.Assignment) int {
		if a.Backend < b.Backend {
			return -1
		}
		return 1
	})
	return t
}

// newOwnership returns the machine of an instance in a zone at rest.
func newOwnership(n int) *ownership.Machine {
	self := newInstance(0, 0)
	m := ownership.New(ownership.Config{Self: self.Identity, Peer: self.Peer, Zone: self.Zone}, start)
	view := membership.ZoneView{Name: self.Zone}
	for k := range Letter.ZoneNodes() {
		view.Instances = append(view.Instances, newInstance(0, k))
	}
	m.SetView(start, view)
	var bs []ownership.Backend
	for i := range n {
		bs = append(bs, ownership.Backend{Name: backendName(i), Slots: slotsEach, Deadline: time.Second})
	}
	m.SetBackends(start, bs)
	m.Ready()
	check(m.Row(start, platform.Row{Name: ownership.RowPrefix + self.Zone, Version: 1, Value: mustJSON(ownersOf(n))}))
	m.Ready()
	return m
}

// ledgerOf returns the row of a region with n holders of equal rights on the
// links to all other regions, each with the next and the one before as
// partners.
func ledgerOf(n int) linkcap.Ledger {
	var l linkcap.Ledger
	each := linkcap.Rights{InFlight: rightsEach, Rate: rightsEach}
	total := linkcap.Rights{InFlight: rightsEach * int64(n), Rate: rightsEach * int64(n)}
	var links []linkcap.LinkRights
	for r := 1; r < Letter.Regions; r++ {
		l.Caps = append(l.Caps, linkcap.LinkRights{To: regionName(r), Rights: total})
		links = append(links, linkcap.LinkRights{To: regionName(r), Rights: each})
	}
	for k := range n {
		in := newInstance(0, k)
		l.Holders = append(l.Holders, linkcap.Holder{Identity: in.Identity, Peer: in.Peer, Links: slices.Clone(links)})
	}
	for k := range l.Holders {
		h := &l.Holders[k]
		h.Partners = []membership.Identity{l.Holders[(k+1)%n].Identity, l.Holders[(k+n-1)%n].Identity}
		slices.SortFunc(h.Partners, membership.Identity.Compare)
	}
	return l
}

// newLinks returns the machine of a holder in a region at rest.
func newLinks(n int) *linkcap.Machine {
	self := newInstance(0, 0)
	m := linkcap.New(linkcap.Config{Self: self.Identity, Peer: self.Peer, Region: regionName(0)}, start)
	var members []membership.Instance
	for k := range n {
		members = append(members, newInstance(0, k))
	}
	m.SetMembers(start, members)
	row := ledgerOf(n)
	caps := map[string]linkcap.Rights{}
	for _, c := range row.Caps {
		caps[c.To] = c.Rights
	}
	m.SetCaps(start, caps, time.Second)
	m.Ready()
	check(m.Row(start, platform.Row{Name: linkcap.RowPrefix + regionName(0), Version: 1, Value: mustJSON(row)}))
	m.Ready()
	return m
}

// listedAll is the number of lines of the platform's list.
func listedAll() int { return Letter.Nodes + Letter.Sites*Letter.SiteBackends }

// listOf returns a list of n lines in the proportion of entry instances and
// backend servers at Letter's size.
func listOf(n int) []platform.Instance {
	entries := n * Letter.Nodes / listedAll()
	out := make([]platform.Instance, 0, n)
	for _, in := range newInstances(entries, Letter.Zones) {
		out = append(out, platform.Instance{ID: in.ID, Kind: platform.KindEntry, Zone: in.Zone, State: platform.InstanceLive, Peer: in.Peer})
	}
	for i := range n - entries {
		out = append(out, platform.Instance{
			ID: backendName(i), Kind: platform.KindBackend, Zone: zoneName(i % Letter.Zones), State: platform.InstanceLive,
		})
	}
	return out
}

func newHome() once.Home {
	in := newInstance(0, 0)
	return once.Home{Zone: in.Zone, ID: in.ID, Incarnation: in.Incarnation}
}

func claimsOf(n int) once.ClaimRow {
	var row once.ClaimRow
	for i := range n {
		row.Claims = append(row.Claims, once.Claim{
			Key: once.ClaimKey(fmt.Sprintf("booking-%032d", i)), Owner: newHome(), ExpiryMS: start.Add(time.Minute).UnixMilli(),
		})
	}
	return row
}

// keptKeys returns the machine of a home that has run n keys to their end.
func keptKeys(n int) *once.Machine {
	m := once.New(once.Config{Self: newHome(), MaxKeyTTL: time.Hour, ClaimTTL: time.Hour, MaxBytes: 1 << 30})
	for i := range n {
		k, err := once.NewKey(newHome(), start.Add(time.Minute+time.Duration(i)), uint64(i))
		check(err)
		out := m.Step(start, once.Arrive{Attempt: once.AttemptID(i + 1), Key: k.String()})
		run := out[0].(once.Run).Run
		m.Step(start, once.Start{Run: run})
		m.Step(start, once.Finish{Run: run, Result: once.Result{Outcome: outcome.Done, Status: 200, Body: make([]byte, keyBody)}})
	}
	return m
}

// check ends a measurement whose own input is at fault.
func check(err error) {
	if err != nil {
		panic(errors.Trace(err))
	}
}
