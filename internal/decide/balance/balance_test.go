package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/decide/load"
)

var (
	epoch    = time.Unix(1000, 0)
	settings = Settings{Policy: LeastLoaded, ColdTime: 10 * time.Second, MaxRequestTime: 2 * time.Second}
	believe  = load.Policy{FreshAge: time.Second, StaleAge: 5 * time.Second, AssumedUtilisation: 700, RefusalHold: time.Second}
)

// TestScripts runs the scripts of testdata/scripts. at=T is seconds.
//
//	new      policy=P
//	backends at=T: lines "NAME SLOTS open|doubtful|closed [cold]"
//	pick     at=T n=N [not=NAME]: the names of N picks
//	end      name=NAME n=N latency=MS [failed]
//	report   at=T name=NAME busy=N inflight=N
//	forward  at=T n=N: lines "neighbour|zone NAME SLOTS BUSY AGE [sent=N] [refused] [closed]";
//	         prints how often each was chosen of N draws
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		b := New(settings)
		rng := rand.New(rand.NewPCG(1, 1))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var name, not, policy string
			var at, n, ms, busy, inFlight int
			d.MaybeScanArgs(t, "name", &name)
			d.MaybeScanArgs(t, "not", &not)
			d.MaybeScanArgs(t, "policy", &policy)
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "n", &n)
			d.MaybeScanArgs(t, "latency", &ms)
			d.MaybeScanArgs(t, "busy", &busy)
			d.MaybeScanArgs(t, "inflight", &inFlight)
			now := epoch.Add(time.Duration(at) * time.Second)
			switch d.Cmd {
			case "new":
				set := settings
				set.Policy = Policy(policy)
				b = New(set)
			case "backends":
				b.Update(parseBackends(d.Input, now))
			case "pick":
				return pickMany(b, now, rng, n, not)
			case "end":
				for range n {
					b.Done(name, time.Duration(ms)*time.Millisecond, d.HasArg("failed"))
				}
			case "report":
				b.Report(name, busy, inFlight, now)
			case "forward":
				return forwardMany(d.Input, now, rng, n)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			free, slots := b.Free(now)
			return fmt.Sprintf("free %d of %d\n", free, slots)
		})
	})
}

func parseBackends(text string, now time.Time) []Backend {
	var out []Backend
	for line := range strings.Lines(text) {
		var be Backend
		var standing string
		fmt.Sscan(line, &be.Name, &be.Slots, &standing)
		be.Eligibility = map[string]Eligibility{"open": Eligible, "doubtful": LastResort, "closed": Ineligible}[standing]
		if strings.Contains(line, " cold") {
			be.ColdSince = now
		}
		out = append(out, be)
	}
	return out
}

func pickMany(b *Balancer, now time.Time, rng *rand.Rand, n int, not string) string {
	var names []string
	for range n {
		name, err := b.Pick(now, rng.Uint64(), not)
		if err != nil {
			names = append(names, err.Error())
			break
		}
		names = append(names, name)
	}
	return strings.Join(names, " ") + "\n"
}

func forwardMany(text string, now time.Time, rng *rand.Rand, n int) string {
	var neighbours, zones []Peer
	var order []string
	for line := range strings.Lines(text) {
		var kind string
		var p Peer
		var busy, age int
		fmt.Sscan(line, &kind, &p.Name, &p.Slots, &busy, &age)
		p.Report = load.Report{Busy: load.MilliSlots(busy) * load.Slot, Slots: p.Slots, At: now.Add(-time.Duration(age) * time.Second)}
		if _, sent, ok := strings.Cut(line, "sent="); ok {
			fmt.Sscan(sent, &p.Observed.SentSinceReport)
		}
		if strings.Contains(line, "refused") {
			p.Observed.LastRefusal = now
		}
		p.Unavailable = strings.Contains(line, "closed")
		order = append(order, p.Name)
		if kind == "zone" {
			zones = append(zones, p)
		} else {
			neighbours = append(neighbours, p)
		}
	}
	counts := map[string]int{}
	for range n {
		name, _ := ChoosePeer(now, believe, neighbours, zones, rng.Uint64())
		counts[name]++
	}
	var b strings.Builder
	for _, name := range append(order, "") {
		if c := counts[name]; c > 0 {
			fmt.Fprintf(&b, "%s: %d\n", strings.Replace(name+" ", " ", "", 1), c)
		}
	}
	return b.String()
}

// TestCountsAreExact drives a balancer at random beside plain counters.
func TestCountsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings
		set.Policy = rapid.SampledFrom([]Policy{LeastLoaded, PowerOfTwo}).Draw(t, "policy")
		b := New(set)
		slots, inFlight := map[string]int{}, map[string]int{}
		now := epoch
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				var bes []Backend
				slots = map[string]int{}
				for _, n := range []string{"a", "b", "c"} {
					if rapid.Bool().Draw(t, "present") {
						be := Backend{Name: n, Slots: rapid.IntRange(0, 4).Draw(t, "slots"), Eligibility: Eligibility(rapid.IntRange(0, 2).Draw(t, "standing"))}
						bes = append(bes, be)
						if be.Eligibility > Ineligible {
							slots[n] = be.Slots
						}
					}
				}
				b.Update(bes)
			case 1:
				b.Report(name, rapid.IntRange(0, 9).Draw(t, "busy"), b.InFlight(name), now)
			case 2:
				if inFlight[name] > 0 {
					b.Done(name, time.Duration(rapid.IntRange(0, 99).Draw(t, "latency")), rapid.Bool().Draw(t, "failed"))
					inFlight[name]--
				}
			default:
				got, err := b.Pick(now, rapid.Uint64().Draw(t, "draw"))
				if err == nil {
					inFlight[got]++
					require.LessOrEqual(t, inFlight[got], slots[got], "only a free slot is given")
				}
			}
			for _, n := range []string{"a", "b", "c"} {
				require.Equal(t, inFlight[n], b.InFlight(n))
			}
		}
	})
}

// ending is a request of the trial that ends at a time.
type ending struct {
	at, latency time.Duration
	name        string
	failed      bool
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// trial sends requests at 80 % of 6 backend servers with 3 slots, one of which
// is four times as slow. It returns the mean time of a request in ms and the
// share that met no free slot: a full backend server queues the baseline's.
func trial(policy Policy, requests int) (mean, full float64) {
	const service = 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(7, 7))
	set := settings
	set.Policy = policy
	b := New(set)
	var bes []Backend
	for i := range 6 {
		bes = append(bes, Backend{Name: fmt.Sprint("b", i), Slots: 3, Eligibility: Eligible})
	}
	b.Update(bes)
	var open endings
	var now, total time.Duration
	done := 0
	for range requests {
		now += time.Duration(rng.ExpFloat64() * float64(service) / (0.8 * 15.75))
		for len(open) > 0 && open[0].at <= now {
			e := heap.Pop(&open).(ending)
			b.Done(e.name, e.latency, e.failed)
		}
		name, err := b.Pick(epoch.Add(now), rng.Uint64())
		if err != nil {
			full++
			continue
		}
		work := time.Duration(rng.ExpFloat64() * float64(service))
		if name == "b0" {
			work *= 4
		}
		if n := b.InFlight(name); n > 3 {
			full++
			work += work * time.Duration(n-3) / 3
		}
		total += work
		done++
		heap.Push(&open, ending{at: now + work, latency: work, name: name})
	}
	return float64(total.Milliseconds()) / float64(done), full / float64(requests)
}

func TestLoadAwarePoliciesBeatTheBaseline(t *testing.T) {
	random, randomFull := trial(Random, 20_000)
	for _, p := range []Policy{LeastLoaded, PowerOfTwo} {
		mean, full := trial(p, 20_000)
		require.Less(t, mean, random, p)
		require.Less(t, full, randomFull, p)
	}
}

func BenchmarkTrial(b *testing.B) {
	for _, p := range []Policy{LeastLoaded, PowerOfTwo, Random} {
		b.Run(string(p), func(b *testing.B) {
			var mean, full float64
			for b.Loop() {
				mean, full = trial(p, 100_000)
			}
			b.ReportMetric(mean, "ms/request")
			b.ReportMetric(100*full, "%full")
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		for _, p := range []Policy{LeastLoaded, PowerOfTwo, Random} {
			b.Run(fmt.Sprintf("%s/backends=%d", p, n), func(b *testing.B) {
				set := settings
				set.Policy = p
				bal := New(set)
				var bes []Backend
				for i := range n {
					bes = append(bes, Backend{Name: fmt.Sprintf("b%02d", i), Slots: 3, Eligibility: Eligible})
				}
				bal.Update(bes)
				rng := rand.New(rand.NewPCG(1, 2))
				b.ReportAllocs()
				for b.Loop() {
					name, err := bal.Pick(epoch, rng.Uint64())
					if err != nil {
						b.Fatal(err)
					}
					bal.Done(name, time.Millisecond, false)
				}
			})
		}
	}
}
