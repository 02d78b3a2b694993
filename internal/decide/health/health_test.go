package health

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	epoch    = time.Unix(1000, 0)
	settings = Settings{
		SuspectAfter: 1, EjectAfter: 3, EjectTime: 5 * time.Second, MaxEjectTime: 20 * time.Second,
		ColdTime: 10 * time.Second, LeaveHold: 30 * time.Second, InBandHold: 5 * time.Second, MaxEjectedPermille: 500,
	}
	signalNames = map[string]Signal{"ok": OK, "failed": Failed, "refused": Refused, "leaving": Leaving, "delisted": Delisted}
	sourceNames = map[string]Source{"probe": Probe, "inband": InBand, "list": List}
)

// TestScripts runs the scripts in testdata/scripts. Each command prints the state
// changes. at=T is in seconds.
//
//	update  at=T: lines "NAME [draining] [since=T]"
//	signals at=T: lines "NAME probe|inband|list SIGNAL [xN]"; NAME may be a,b,c
//	tick    at=T
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		m := New(settings)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at int
			d.ScanArgs(t, "at", &at)
			now := timeAtSecond(at)
			switch d.Cmd {
			case "update":
				m.Update(now, parseBackends(d.Input))
			case "signals":
				for line := range strings.Lines(d.Input) {
					f := strings.Fields(line)
					times := 1
					if len(f) > 3 {
						fmt.Sscanf(f[3], "x%d", &times)
					}
					for name := range strings.SplitSeq(f[0], ",") {
						for range times {
							m.Step(Event{Name: name, Source: sourceNames[f[1]], Signal: signalNames[f[2]], At: now})
						}
					}
				}
			case "tick":
				m.Tick(now)
			}
			var b strings.Builder
			for _, c := range m.Ready() {
				fmt.Fprintf(&b, "%s: %v -> %v\n", c.Name, c.From, c.To)
			}
			return b.String()
		})
	})
}

func timeAtSecond(n int) time.Time { return epoch.Add(time.Duration(n) * time.Second) }

func parseBackends(text string) []Backend {
	var out []Backend
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		b := Backend{Name: f[0], Draining: strings.Contains(line, " draining")}
		if _, s, ok := strings.Cut(line, "since="); ok {
			var n int
			fmt.Sscan(s, &n)
			b.Since = timeAtSecond(n)
		}
		out = append(out, b)
	}
	return out
}

// TestInvariantsUnderRandomSignals checks with random signals that no more backend
// servers are ejected than allowed, and that one with a Leaving signal receives no
// requests for LeaveHold unless it has stopped and returned.
func TestInvariantsUnderRandomSignals(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		m := New(settings)
		var bs []Backend
		for _, n := range names[:rapid.IntRange(1, 5).Draw(t, "n")] {
			bs = append(bs, Backend{Name: n})
		}
		now := epoch
		m.Update(now, bs)
		leavingAt, stopped := map[string]time.Time{}, map[string]bool{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			e := Event{
				Name: rapid.SampledFrom(names).Draw(t, "name"), At: now,
				Source: Source(rapid.IntRange(0, 2).Draw(t, "source")),
				Signal: Signal(rapid.IntRange(1, 5).Draw(t, "signal")),
			}
			m.Step(e)
			switch e.Signal {
			case Leaving:
				leavingAt[e.Name], stopped[e.Name] = now, false
			case Refused, Delisted:
				stopped[e.Name] = true
			}
			ejected, total := 0, 0
			for _, b := range bs {
				s := m.State(b.Name)
				if at, ok := leavingAt[b.Name]; ok && now.Sub(at) < settings.LeaveHold && !stopped[b.Name] {
					require.Equal(t, Draining, s, b.Name)
				}
				if s != Draining {
					total++
				}
				if s == Ejected {
					ejected++
				}
			}
			require.LessOrEqual(t, ejected*1000, total*settings.MaxEjectedPermille)
		}
	})
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			m := New(settings)
			var bs []Backend
			for i := range n {
				bs = append(bs, Backend{Name: fmt.Sprintf("b%02d", i)})
			}
			m.Update(epoch, bs)
			rng := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				m.Step(Event{Name: bs[rng.IntN(n)].Name, Source: InBand, Signal: OK, At: epoch})
			}
		})
	}
}
