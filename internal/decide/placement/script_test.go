package placement

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/banyandeal/banyandeal/internal/blocktable"
)

// TestScripts runs the scripts of testdata/scripts. Rates are in requests per
// second.
//
//	estate   lines "region NAME", "zone NAME REGION", "link FROM TO RATE",
//	         "service NAME", "capacity ZONE RATE [WEIGHT]", "demand REGION RATE";
//	         the last two belong to the service before them
//	compute  prints the flows of each service and the use of each link
//	order    service=NAME: lines of caller addresses in 10.I.0.0/16, where I is
//	         the index of the edge region; prints their zones, or "overflow"
//	moved    service=NAME: prints the share of 20000 callers of each edge region
//	         whose first zone differs from that of the previous compute
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "estate":
				s.in = parseInput(t, d.Input)
				return ""
			case "compute":
				s.previous = s.plan
				p, err := Compute(s.in)
				if err != nil {
					return err.Error()
				}
				s.plan = p
				return printPlan(s.in, p)
			case "order":
				return s.order(t, d)
			case "moved":
				return s.moved(t, d)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

// script is the state of one script.
type script struct {
	// in is the input of the last estate command.
	in Input
	// plan and previous are the results of the last two compute commands.
	plan, previous *Plan
}

func (s *script) table(t *testing.T, p *Plan, d *datadriven.TestData) *Table {
	var name string
	d.ScanArgs(t, "service", &name)
	i := slices.IndexFunc(p.Services, func(s ServicePlan) bool { return s.Name == name })
	return NewTable(p, i, p.Services[i].Flow, testBlocks(len(s.in.Regions)), Granularity{Bits4: 32}, 0)
}

func (s *script) order(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	tab := s.table(t, s.plan, d)
	for line := range strings.Lines(d.Input) {
		addr := netip.MustParseAddr(strings.TrimSpace(line))
		fmt.Fprintf(&b, "%v:", addr)
		zones := tab.Order(addr, nil)
		for _, z := range zones {
			fmt.Fprintf(&b, " %s", s.in.Zones[z].Name)
		}
		if len(zones) == 0 {
			b.WriteString(" overflow")
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func (s *script) moved(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	before, after := s.table(t, s.previous, d), s.table(t, s.plan, d)
	const callers = 20_000
	for e, name := range s.in.Regions {
		moved := 0
		for i := range callers {
			a := netip.AddrFrom4([4]byte{10, byte(e), byte(i >> 8), byte(i)})
			z, ok := before.First(a)
			if nz, nok := after.First(a); nz != z || nok != ok {
				moved++
			}
		}
		fmt.Fprintf(&b, "%s: %.1f%%\n", name, 100*float64(moved)/callers)
	}
	return b.String()
}

// testBlocks returns a table with 10.I.0.0/16 in edge region I.
func testBlocks(regions int) *blocktable.Table {
	var es []blocktable.Entry
	for i := range regions {
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i), 0, 0}), 16)
		es = append(es, blocktable.Entry{Prefix: p, Class: blocktable.Class(i)})
	}
	t, err := blocktable.New(es)
	if err != nil {
		panic(err)
	}
	return t
}

func parseInput(t *testing.T, text string) Input {
	var in Input
	region := func(n string) int { return slices.Index(in.Regions, n) }
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		num := func(i int) Rate {
			v, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			return rateOf(v)
		}
		switch f[0] {
		case "region":
			in.Regions = append(in.Regions, f[1])
		case "zone":
			in.Zones = append(in.Zones, Zone{f[1], region(f[2])})
		case "link":
			in.Links = append(in.Links, Link{region(f[1]), region(f[2]), num(3)})
		case "service":
			in.Services = append(in.Services, Service{Name: f[1], Demand: make([]Rate, len(in.Regions)),
				Capacity: make([]Rate, len(in.Zones)), Weight: make([]int64, len(in.Zones))})
		case "capacity":
			s := &in.Services[len(in.Services)-1]
			z := slices.IndexFunc(in.Zones, func(z Zone) bool { return z.Name == f[1] })
			s.Capacity[z] = num(2)
			if len(f) > 3 {
				s.Weight[z] = int64(num(3))
			}
		case "demand":
			in.Services[len(in.Services)-1].Demand[region(f[1])] = num(2)
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return in
}

func printPlan(in Input, p *Plan) string {
	var b strings.Builder
	for _, s := range p.Services {
		fmt.Fprintf(&b, "%s\n", s.Name)
		for e, name := range in.Regions {
			fmt.Fprintf(&b, "  %s:", name)
			for z, zone := range in.Zones {
				if r := s.Flow.Row(e)[z]; r > 0 {
					fmt.Fprintf(&b, " %s=%.6g", zone.Name, float64(r)/float64(PerSecond))
				}
			}
			if o := s.Flow.Overflow(e); o > 0 {
				fmt.Fprintf(&b, " overflow=%.6g", float64(o)/float64(PerSecond))
			}
			b.WriteByte('\n')
		}
	}
	for _, l := range in.Links {
		fmt.Fprintf(&b, "link %s-%s: %.6g of %.6g\n", in.Regions[l.From], in.Regions[l.To],
			float64(linkFlow(in, p, l.From, l.To))/float64(PerSecond), float64(l.Cap)/float64(PerSecond))
	}
	return b.String()
}

// linkFlow returns the flow of all services over a link.
func linkFlow(in Input, p *Plan, from, to int) Rate {
	var load Rate
	for _, s := range p.Services {
		for z := range in.Zones {
			if in.Zones[z].Region == to {
				load += s.Flow.Row(from)[z]
			}
		}
	}
	return load
}
