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
	epoch      = time.Unix(1000, 0)
	settings   = Settings{Policy: LeastLoaded, ColdTime: 10 * time.Second, Deadline: 2 * time.Second}
	loadPolicy = load.Policy{FreshAge: time.Second, StaleAge: 5 * time.Second, AssumedUtilisation: 700, RefusalHold: time.Second}
)

// TestScripts runs the scripts in testdata/scripts. at=T is in seconds, and
// unless stated otherwise a command prints the free and the usable slots.
//
//	new      policy=P: replace the balancer
//	backends at=T: lines "NAME SLOTS eligible|last-resort|ineligible [cold]"
//	pick     at=T n=N [exclude=NAME]: print the names of N picks
//	finish   name=NAME n=N latency=MS [failed]: end N requests
//	report   at=T name=NAME busy=N inflight=N
//	choose-peer at=T n=N: lines "neighbour|zone NAME SLOTS BUSY AGE [sent=N] [refused] [unavailable]";
//	         print how many of N draws chose each peer
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		b := New(settings)
		rng := rand.New(rand.NewPCG(1, 1))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var name, exclude, policy string
			var at, n, ms, busy, inFlight int
			d.MaybeScanArgs(t, "name", &name)
			d.MaybeScanArgs(t, "exclude", &exclude)
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
				return pickRepeatedly(b, now, rng, n, exclude)
			case "finish":
				for range n {
					b.Finish(name, time.Duration(ms)*time.Millisecond, d.HasArg("failed"))
				}
			case "report":
				b.Report(name, busy, inFlight, now)
			case "choose-peer":
				return choosePeerRepeatedly(d.Input, now, rng, n)
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
		be.Eligibility = map[string]Eligibility{"eligible": Eligible, "last-resort": LastResort, "ineligible": Ineligible}[standing]
		if strings.Contains(line, " cold") {
			be.ColdSince = now
		}
		out = append(out, be)
	}
	return out
}

func pickRepeatedly(b *Balancer, now time.Time, rng *rand.Rand, n int, exclude string) string {
	var names []string
	for range n {
		name, err := b.Pick(now, rng.Uint64(), exclude)
		if err != nil {
			names = append(names, err.Error())
			break
		}
		names = append(names, name)
	}
	return strings.Join(names, " ") + "\n"
}

func choosePeerRepeatedly(text string, now time.Time, rng *rand.Rand, n int) string {
	var neighbours, zones []Peer
	var order []string
	for line := range strings.Lines(text) {
		var kind string
		var p Peer
		var busy, age int
		fmt.Sscan(line, &kind, &p.Name, &p.Slots, &busy, &age)
		p.Report = load.Report{Busy: load.MilliSlots(busy) * load.Slot, Slots: p.Slots, At: now.Add(-time.Duration(age) * time.Second)}
		if _, sent, ok := strings.Cut(line, "sent="); ok {
			fmt.Sscan(sent, &p.Observation.SentSinceReport)
		}
		if strings.Contains(line, "refused") {
			p.Observation.Refused = now
		}
		p.Unavailable = strings.Contains(line, "unavailable")
		order = append(order, p.Name)
		if kind == "zone" {
			zones = append(zones, p)
		} else {
			neighbours = append(neighbours, p)
		}
	}
	counts := map[string]int{}
	for range n {
		name, _ := ChoosePeer(now, loadPolicy, neighbours, zones, rng.Uint64())
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

// TestInFlightCountsMatchModel applies random operations to a balancer and
// compares its counts of requests in flight with those of a simple model.
func TestInFlightCountsMatchModel(t *testing.T) {
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
					b.Finish(name, time.Duration(rapid.IntRange(0, 99).Draw(t, "latency")), rapid.Bool().Draw(t, "failed"))
					inFlight[name]--
				}
			default:
				got, err := b.Pick(now, rapid.Uint64().Draw(t, "random"))
				if err == nil {
					inFlight[got]++
					require.LessOrEqual(t, inFlight[got], slots[got], "Pick selected a backend server without a free slot")
				}
			}
			for _, n := range []string{"a", "b", "c"} {
				require.Equal(t, inFlight[n], b.InFlight(n))
			}
		}
	})
}

// completion is the end of a simulated request.
type completion struct {
	at, latency time.Duration
	name        string
	failed      bool
}

// completionHeap is a min-heap of completions ordered by time.
type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// simulate sends requests at 80 % of the capacity of 6 backend servers with 3
// slots each, one of which is four times as slow as the others. It returns the
// mean time of a request in milliseconds and the share of requests that found no
// free slot. With the policy Random, which also selects full backend servers,
// such requests queue.
func simulate(policy Policy, requests int) (mean, full float64) {
	const meanServiceTime = 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(7, 7))
	set := settings
	set.Policy = policy
	b := New(set)
	var bes []Backend
	for i := range 6 {
		bes = append(bes, Backend{Name: fmt.Sprint("b", i), Slots: 3, Eligibility: Eligible})
	}
	b.Update(bes)
	var inFlight completionHeap
	var now, total time.Duration
	done := 0
	for range requests {
		now += time.Duration(rng.ExpFloat64() * float64(meanServiceTime) / (0.8 * 15.75))
		for len(inFlight) > 0 && inFlight[0].at <= now {
			e := heap.Pop(&inFlight).(completion)
			b.Finish(e.name, e.latency, e.failed)
		}
		name, err := b.Pick(epoch.Add(now), rng.Uint64())
		if err != nil {
			full++
			continue
		}
		work := time.Duration(rng.ExpFloat64() * float64(meanServiceTime))
		if name == "b0" {
			work *= 4
		}
		if n := b.InFlight(name); n > 3 {
			full++
			work += work * time.Duration(n-3) / 3
		}
		total += work
		done++
		heap.Push(&inFlight, completion{at: now + work, latency: work, name: name})
	}
	return float64(total.Milliseconds()) / float64(done), full / float64(requests)
}

// TestLoadAwarePoliciesBeatRandom checks that the policies that consider the load
// give a lower mean time and find fewer full backend servers than Random.
func TestLoadAwarePoliciesBeatRandom(t *testing.T) {
	random, randomFull := simulate(Random, 20_000)
	for _, p := range []Policy{LeastLoaded, PowerOfTwo} {
		mean, full := simulate(p, 20_000)
		require.Less(t, mean, random, p)
		require.Less(t, full, randomFull, p)
	}
}

func BenchmarkPolicies(b *testing.B) {
	for _, p := range []Policy{LeastLoaded, PowerOfTwo, Random} {
		b.Run(string(p), func(b *testing.B) {
			var mean, full float64
			for b.Loop() {
				mean, full = simulate(p, 100_000)
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
					bal.Finish(name, time.Millisecond, false)
				}
			})
		}
	}
}
