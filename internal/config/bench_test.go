package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/estate"
)

var benchSizes = []int{10_000, 100_000, 670_000}

// bigEstate has 8 regions, 26 zones and 1,200 sites of 12 backend servers, and
// n blocks.
func bigEstate(n int) *estate.Estate {
	e := &estate.Estate{Name: "big", Shift: estate.ShiftPolicy{MaxShare: 1, ColdShare: 1}}
	for i := range 8 {
		e.Regions = append(e.Regions, estate.Region{Name: fmt.Sprintf("region-%d", i), State: estate.Active})
	}
	for i := range 26 {
		e.Zones = append(e.Zones, estate.Zone{Name: fmt.Sprintf("zone-%02d", i), Region: fmt.Sprintf("region-%d", i%8), State: estate.Active})
	}
	s := estate.Service{Name: "big", Deadline: DefaultDeadline, MeanTime: DefaultMeanTime, MaxUtilisation: 1, Weights: map[string]float64{}}
	for i := range 1200 {
		site := estate.Site{Name: fmt.Sprintf("site-%04d", i), Zone: fmt.Sprintf("zone-%02d", i%26), State: estate.Active, Weight: 1}
		e.Sites = append(e.Sites, site)
		for j := range 12 {
			s.Backends = append(s.Backends, estate.Backend{
				Name: fmt.Sprintf("backend-%04d-%02d", i, j), Site: site.Name, Zone: site.Zone, State: estate.Active,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(j)}), 80).String(), Slots: 4, MaxConnections: 400,
			})
		}
	}
	e.Services = []estate.Service{s}
	for i := range n {
		a := uint32(i) * 5987 << 8 // spread over the address space, no two alike
		p := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(a >> 24), byte(a >> 16), byte(a >> 8)}), 24)
		e.Blocks = append(e.Blocks, estate.Block{Prefix: p, Region: fmt.Sprintf("region-%d", i%8), Demand: float64(i % 40)})
	}
	sortBlocks(e.Blocks)
	return e
}

// BenchmarkApplyDelta applies one changed line at a receiver: of a block and of
// a site. bytes/change is the delta and the changed parts.
func BenchmarkApplyDelta(b *testing.B) {
	for _, n := range benchSizes {
		for _, what := range []string{"block", "site"} {
			b.Run(fmt.Sprintf("%s/blocks=%d", what, n), func(b *testing.B) {
				e := bigEstate(n)
				parts, old := mustSplit(b, e)
				a, err := Join(old, getterOf(parts))
				require.NoError(b, err)
				if what == "block" {
					e.Blocks[n/2].Demand++
				} else {
					e.Sites[600].State = estate.Draining
				}
				parts, next := mustSplit(b, e)
				d := NewDelta(old, next)
				d.From, d.To = 1, 2
				d.SetInline(parts)
				data, err := d.Encode()
				require.NoError(b, err)
				size := len(data)
				for _, c := range d.Changed {
					if _, ok := d.Inline[c.Name]; !ok {
						size += c.Size
					}
				}
				get := getterOf(parts)
				b.ReportAllocs()
				for b.Loop() {
					d, err := DecodeDelta(data)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := a.Apply(d, get); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(size), "bytes/change")
			})
		}
	}
}

func getterOf(parts []Part) func(Entry) ([]byte, error) {
	byName := map[string][]byte{}
	for _, p := range parts {
		byName[p.Name] = p.Bytes
	}
	return func(e Entry) ([]byte, error) { return byName[e.Name], nil }
}

// BenchmarkFull splits and joins the whole estate, as an operator's tool and a
// new instance do.
func BenchmarkFull(b *testing.B) {
	for _, n := range benchSizes {
		e := bigEstate(n)
		parts, m := mustSplit(b, e)
		total := 0
		for _, p := range parts {
			total += p.Size
		}
		b.Run(fmt.Sprintf("split/blocks=%d", n), func(b *testing.B) {
			for b.Loop() {
				mustSplit(b, e)
			}
			b.ReportMetric(float64(total), "bytes/estate")
			b.ReportMetric(float64(len(parts)), "parts")
		})
		b.Run(fmt.Sprintf("join/blocks=%d", n), func(b *testing.B) {
			get := getterOf(parts)
			for b.Loop() {
				_, err := Join(m, get)
				if err != nil {
					b.Fatal(err)
				}
			}
			index, pages, err := m.Encode()
			require.NoError(b, err)
			b.ReportMetric(float64(len(index)), "bytes/index")
			b.ReportMetric(float64(len(pages[0])), "bytes/page")
		})
		b.Run(fmt.Sprintf("csv/blocks=%d", n), func(b *testing.B) {
			var csv bytes.Buffer
			csv.WriteString(csvHeader + "\n")
			for _, bl := range e.Blocks {
				fmt.Fprintf(&csv, "%s,%s,%g\n", bl.Prefix, bl.Region, bl.Demand)
			}
			for b.Loop() {
				c := &collector{places: map[string]place{}}
				if got := c.decodeBlocksCSV(csv.Bytes()); len(got) != n {
					b.Fatal(len(got), c.faults)
				}
			}
		})
	}
}

// BenchmarkParse reads base and overlays of n sites with 12 backend servers
// each, without blocks.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{12, 120, 1200} {
		var base, sites, groups bytes.Buffer
		files := Files{}
		for i := range n {
			fmt.Fprintf(&sites, "  s%d: {zone: z}\n", i)
			fmt.Fprintf(&groups, "      - {site: s%d, name: \"b%d-{n}\", count: 12, address: \"10.%d.%d.1:80\", increment: ip}\n", i, i, i>>8, i&255)
			files[overlayFile(fmt.Sprint("s", i))] = fmt.Appendf(nil, "site: s%d\nweight: 0.5\nbackends:\n  b%d-3: {state: draining}\n", i, i)
		}
		fmt.Fprintf(&base, "name: x\nregions: {r: {}}\nzones: {z: {region: r}}\nsites:\n%sservices:\n  a:\n    slots: 4\n    connections: 400\n"+
			"    operations: {}\n    backends:\n%s", &sites, &groups)
		files[baseFile] = base.Bytes()
		b.Run(fmt.Sprintf("sites=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Parse(files); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
