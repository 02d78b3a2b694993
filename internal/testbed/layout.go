// Package testbed runs a whole estate as separate processes on loopback: the
// stand-in of the platform, entry instances and backend servers. It samples
// what they report, puts changes in force, and ends only the processes that it
// has started.
package testbed

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/estate"
)

const (
	// maxEntries is the most entry instances of an estate, maxPerZone those of
	// one zone.
	maxEntries = 11
	maxPerZone = 2
	loopback   = "127.0.0.1"
	// perEntry and perPlatform are how many addresses they bind.
	perEntry    = 3
	perPlatform = 2
)

// Entry is one entry instance.
type Entry struct {
	ID, Zone string
	// Listen holds what it binds, Advertise what others reach it at.
	Listen, Advertise static.Addresses
}

// layoutEntries spreads entry instances over the zones: one for each, then a
// second one, up to maxEntries. Addresses are empty.
func layoutEntries(e *estate.Estate) []Entry {
	var out []Entry
	for n := 1; n <= maxPerZone; n++ {
		for _, z := range e.Zones {
			if len(out) < maxEntries {
				out = append(out, Entry{ID: fmt.Sprintf("entry-%s-%d", z.Name, n), Zone: z.Name})
			}
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// fillAddresses gives every entry instance three addresses of the list.
func fillAddresses(entries []Entry, addrs []string) {
	for i := range entries {
		a := addrs[perEntry*i:]
		entries[i].Listen = static.Addresses{Caller: a[0], Peer: a[1], Operator: a[2]}
		entries[i].Advertise = entries[i].Listen
	}
}

// Addresses are searched for from minPort on, at a place that depends on the
// process and addressStep apart, so that testbeds that start at the same moment
// don't meet.
const (
	minPort     = 10_000
	addressStep = 64
)

// freeAddresses returns addresses on a loopback IP whose ports were free a
// moment ago. They lie below those that the system gives to outgoing
// connections, which could take them before their listeners do.
func freeAddresses(ip string, n int) ([]string, error) {
	const places = maxPort - minPort
	var out []string
	for i := range places {
		port := minPort + (os.Getpid()*addressStep+i)%places
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }()
		if out = append(out, ln.Addr().String()); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.Errorf("no %d free ports on %s; end what holds them", n, ip)
}

// Callers returns one caller for each block, weighted by its demand, and the
// demand of all in requests per second.
func Callers(e *estate.Estate) ([]bench.Caller, float64) {
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

// Workloads splits a rate among the services by what they can carry.
func Workloads(e *estate.Estate, rate float64) []bench.Workload {
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
			op.Name, op.Weight, op.ResponseSize = op.Name+"-large", largeWeight, largeAnswer
			out = append(out, op)
		}
	}
	return out
}
