// Package demo runs a whole estate as separate processes on loopback, with
// load and faults, and checks what came of it. It ends only the processes that
// it has started.
package demo

import (
	"cmp"
	"fmt"
	"net"
	"slices"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/estate"
)

const (
	// maxEntries is the most entry instances of an estate, maxPerZone those of
	// one zone.
	maxEntries = 11
	maxPerZone = 2
	loopback   = "127.0.0.1:0"
)

// entrySpec is one entry instance to start.
type entrySpec struct {
	id, zone string
	// caller, peer and operator are host:port.
	caller, peer, operator string
}

// layoutEntries spreads entry instances over the zones: one for each, then a
// second one, up to maxEntries. Addresses are empty.
func layoutEntries(e *estate.Estate) []entrySpec {
	var out []entrySpec
	for n := 1; n <= maxPerZone; n++ {
		for _, z := range e.Zones {
			if len(out) < maxEntries {
				out = append(out, entrySpec{id: fmt.Sprintf("entry-%s-%d", z.Name, n), zone: z.Name})
			}
		}
	}
	slices.SortFunc(out, func(a, b entrySpec) int { return cmp.Compare(a.id, b.id) })
	return out
}

// fillAddresses gives every entry instance three free loopback ports.
func fillAddresses(entries []entrySpec) error {
	const perEntry = 3
	addrs, err := freeAddresses(perEntry * len(entries))
	if err != nil {
		return errors.Trace(err)
	}
	for i := range entries {
		a := addrs[perEntry*i:]
		entries[i].caller, entries[i].peer, entries[i].operator = a[0], a[1], a[2]
	}
	return nil
}

// freeAddresses returns loopback addresses whose ports were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, errors.Annotate(err, "looking for a free port")
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// targets are what the script drains, stops and kills.
type targets struct {
	drainZone   string
	stopEntry   entrySpec
	killEntry   string
	killBackend string
}

// all returns the processes that the script ends.
func (t targets) all() []string { return []string{t.stopEntry.id, t.killEntry, t.killBackend} }

// chooseTargets picks the zone with the fewest slots to drain, and two entry
// instances and a backend server of other zones to stop and to kill. Each of
// their zones keeps another one.
func chooseTargets(e *estate.Estate, entries []entrySpec) (targets, error) {
	slots := map[string]int{}
	for _, s := range e.Services {
		for _, b := range s.Backends {
			slots[b.Zone] += b.Slots
		}
	}
	zones := slices.Clone(e.Zones)
	slices.SortStableFunc(zones, func(a, b estate.Zone) int { return cmp.Compare(slots[a.Name], slots[b.Name]) })
	t := targets{drainZone: zones[0].Name}
	for _, i := range entries {
		switch {
		case i.zone == t.drainZone || !hasNeighbour(entries, i):
		case t.killEntry == "":
			t.killEntry = i.id
		case t.stopEntry.id == "" && !sameZone(entries, i, t.killEntry):
			t.stopEntry = i
		}
	}
	for _, s := range e.Services {
		for _, b := range s.Backends {
			if b.Zone == zones[len(zones)-1].Name {
				t.killBackend = b.Name
			}
		}
	}
	if t.killEntry == "" || t.stopEntry.id == "" || t.killBackend == "" {
		return t, errors.NotValidf("estate %s: too small for the demo, it", e.Name)
	}
	return t, nil
}

func hasNeighbour(entries []entrySpec, i entrySpec) bool {
	return slices.ContainsFunc(entries, func(o entrySpec) bool { return o.zone == i.zone && o.id != i.id })
}

func sameZone(entries []entrySpec, i entrySpec, id string) bool {
	return slices.ContainsFunc(entries, func(o entrySpec) bool { return o.id == id && o.zone == i.zone })
}

// callersOf returns one caller for each block, weighted by its demand, and the
// demand of all in requests per second.
func callersOf(e *estate.Estate) ([]bench.Caller, float64) {
	var out []bench.Caller
	total := 0.0
	for _, b := range e.Blocks {
		if b.Demand <= 0 {
			continue
		}
		out = append(out, bench.Caller{Addr: b.Prefix.Addr().Next(), Weight: b.Demand})
		total += b.Demand
	}
	return out, total
}

const (
	// readWeight and writeWeight are the parts of idempotent and other ops.
	readWeight  = 8
	writeWeight = 2
	// largeWeight is that of an idempotent op with an answer of largeAnswer
	// bytes.
	largeWeight = 0.2
	largeAnswer = 256 << 10
	writeBody   = 400
)

// workloadsOf splits a rate among the services by what they can carry.
func workloadsOf(e *estate.Estate, rate float64) []bench.Workload {
	total := 0.0
	for i := range e.Services {
		total += capacity(&e.Services[i])
	}
	var out []bench.Workload
	for i := range e.Services {
		s := &e.Services[i]
		out = append(out, bench.Workload{
			Service: s.Name, Rate: rate * capacity(s) / total, Ops: opsOf(s), Deadline: s.Deadline,
		})
	}
	return out
}

// capacity returns the requests per second that a service's slots can carry.
func capacity(s *estate.Service) float64 {
	slots := 0
	for _, b := range s.Backends {
		slots += b.Slots
	}
	return float64(slots) / s.MeanTime.Seconds()
}

func opsOf(s *estate.Service) []bench.Op {
	var out []bench.Op
	for _, o := range s.Operations {
		op := bench.Op{Name: o.Name, Method: o.Method, Path: o.PathPrefix, Idempotent: o.Idempotent, Weight: readWeight}
		if !o.Idempotent {
			op.Weight, op.BodySize = writeWeight, writeBody
		}
		out = append(out, op)
		if o.Idempotent {
			op.Name, op.Weight, op.AnswerSize = op.Name+"-large", largeWeight, largeAnswer
			out = append(out, op)
		}
	}
	return out
}
