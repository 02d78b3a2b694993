package membership

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/platform"
)

// TestScripts runs the scripts in testdata. The commands are new, heartbeat,
// report, list, evidence, leave, tick and view. Each accepts at=<seconds>, the time
// of the event. Each command except view prints the resulting Ready.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	for _, path := range paths {
		var m *Machine
		start := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at int
			d.MaybeScanArgs(t, "at", &at)
			now := start.Add(time.Duration(at) * time.Second)
			switch d.Cmd {
			case "new":
				m = New(Config{Self: parseInstance(t, d.Input)}, now)
			case "heartbeat":
				eachLine(d.Input, func(l string) { m.Heartbeat(now, parseInstance(t, l)) })
			case "report":
				eachLine(d.Input, func(l string) { m.Report(now, parseInstance(t, l)) })
			case "list":
				m.PlatformList(now, parseList(t, d.Input))
			case "evidence":
				eachLine(d.Input, func(l string) { m.ProbeResult(now, parseProbeResult(t, l)) })
			case "leave":
				m.Leave(now)
			case "tick":
				m.Tick(now)
			case "view":
				return printView(m)
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			requireStateLists(t, m)
			return printReady(m.Ready())
		})
	}
}

func eachLine(s string, f func(string)) {
	for _, l := range strings.Split(strings.TrimSpace(s), "\n") {
		f(l)
	}
}

// parseIdentity parses "ID#Incarnation", for example "a#1".
func parseIdentity(t *testing.T, s string) Identity {
	var id Identity
	name, inc, ok := strings.Cut(s, "#")
	require.True(t, ok, s)
	id.ID = name
	_, err := fmt.Sscan(inc, &id.Incarnation)
	require.NoError(t, err)
	return id
}

// parseInstance parses "a#1 z1 state seq=N peer=P". The state defaults to live,
// the sequence to 1 and the peer address to the ID.
func parseInstance(t *testing.T, s string) Instance {
	f := strings.Fields(s)
	in := Instance{Identity: parseIdentity(t, f[0]), Zone: f[1], Sequence: 1}
	in.Peer = in.ID
	for _, w := range f[2:] {
		switch k, v, _ := strings.Cut(w, "="); k {
		case "seq":
			_, err := fmt.Sscan(v, &in.Sequence)
			require.NoError(t, err)
		case "peer":
			in.Peer = v
		default:
			in.State = State(slices.Index([]string{"live", "leaving", "suspect", "gone"}, k))
		}
	}
	return in
}

// parseList parses platform list entries "ID" or "ID=state". The state defaults to
// live and the peer address is the ID.
func parseList(t *testing.T, s string) []platform.Instance {
	var out []platform.Instance
	for _, w := range strings.Fields(s) {
		id, state, _ := strings.Cut(w, "=")
		if state == "" {
			state = "live"
		}
		out = append(out, platform.Instance{ID: id, Kind: platform.KindEntry, Peer: id, State: platform.InstanceState(state)})
	}
	return out
}

// parseProbeResult parses "refused a#1 z1 peer", "timeout a#1 z1 peer" or
// "answered a#1 z1 peer b#2", where b#2 is the identity that answered.
func parseProbeResult(t *testing.T, s string) ProbeResult {
	f := strings.Fields(s)
	res := ProbeResult{Target: parseIdentity(t, f[1]), Zone: f[2], Peer: f[3]}
	res.Kind = ProbeResultKind(slices.Index([]string{"refused", "answered", "timeout"}, f[0]))
	if res.Kind == Answered {
		res.Observed = parseIdentity(t, f[4])
	}
	return res
}

func printReady(r Ready) string {
	var b strings.Builder
	for _, c := range r.Changes {
		from := c.From.String()
		if c.New {
			from = "new"
		}
		fmt.Fprintf(&b, "%s %s: %s -> %s (%s)\n", c.Instance.Zone, c.Instance.Identity, from, c.Instance.State, c.Cause)
	}
	for _, p := range r.Probes {
		fmt.Fprintf(&b, "probe %s at %s\n", p.Target, p.Peer)
	}
	if r.Announce {
		b.WriteString("announce\n")
	}
	if r.DeclaredGone {
		b.WriteString("condemned\n")
	}
	return b.String()
}

func printView(m *Machine) string {
	var b strings.Builder
	for _, z := range m.View().Zones {
		fmt.Fprintf(&b, "%s relays=%v\n", z.Name, z.Relays)
		for _, in := range z.Instances {
			fmt.Fprintf(&b, "  %s %s seq=%d\n", in.Identity, in.State, in.Sequence)
		}
	}
	fmt.Fprintf(&b, "heartbeats to %v\n", m.HeartbeatTargets())
	return b.String()
}

// TestSilenceNeverMakesGone checks that an instance never becomes gone without
// evidence of its death: neither heartbeats, suspicions, silence, timed-out probes
// nor outdated platform lists, in any order, may make it gone.
func TestSilenceNeverMakesGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		self := Instance{Identity: Identity{"a", 1}, Zone: "z1", Peer: "a"}
		other := Instance{Identity: Identity{"b", 1}, Zone: "z1", Peer: "b"}
		m := New(Config{Self: self}, now)
		m.Heartbeat(now, other)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				other.Sequence++
				m.Heartbeat(now, other)
			case 1:
				in := other
				in.State = Suspect
				m.Report(now, in)
			case 2:
				m.PlatformList(now, []platform.Instance{{ID: "a", Kind: platform.KindEntry, Peer: "a"}, {ID: "b", Kind: platform.KindEntry, Peer: "b"}})
			case 3:
				// An empty list, as from before this instance's start.
				m.PlatformList(now, nil)
			case 4:
				m.ProbeResult(now, ProbeResult{Kind: TimedOut, Target: other.Identity, Peer: "b"})
				m.ProbeResult(now, ProbeResult{Kind: Answered, Target: other.Identity, Peer: "b", Observed: other.Identity})
			default:
				m.Tick(now)
			}
			in, ok := m.View().Instance(other.Identity)
			require.True(t, ok)
			require.NotEqual(t, Gone, in.State)
			requireStateLists(t, m)
		}
	})
}

// requireStateLists checks that the lists of identities that Tick uses match the
// states of all members.
func requireStateLists(t require.TestingT, m *Machine) {
	var expectedSenders, suspects, gone []Identity
	for _, id := range m.sortedIdentities() {
		mb := m.members[id]
		if mb.expected {
			expectedSenders = append(expectedSenders, id)
		}
		switch mb.State {
		case Suspect:
			suspects = append(suspects, id)
		case Gone:
			gone = append(gone, id)
		}
	}
	require.Equal(t, [][]Identity{expectedSenders, suspects, gone}, [][]Identity{m.expectedSenders, m.suspects, m.gone})
}

// TestReportOrderIndependence checks that the same records result in the same
// states, whatever the order in which they arrive.
func TestReportOrderIndependence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var records []Instance
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			id := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "id")
			records = append(records, Instance{
				Identity: Identity{id, uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))}, Zone: "z1", Peer: id,
				State: State(rapid.IntRange(0, 3).Draw(t, "state")), Sequence: uint64(rapid.IntRange(1, 4).Draw(t, "sequence")),
			})
		}
		self := Instance{Identity: Identity{"a", 1}, Zone: "z1", Peer: "a"}
		states := func(ins []Instance) string {
			m := New(Config{Self: self}, now)
			m.Reports(now, ins)
			var b strings.Builder
			for _, in := range m.View().Zone("z1").Instances {
				fmt.Fprintln(&b, in.Identity, in.State)
			}
			return b.String()
		}
		require.Equal(t, states(records), states(rapid.Permutation(records).Draw(t, "order")))
	})
}

// TestHeartbeatTargetCount checks that the number of heartbeat targets is bounded:
// an instance sends heartbeats to the relays of its own zone, and only a relay
// also sends them to one relay of each other zone.
func TestHeartbeatTargetCount(t *testing.T) {
	const zones, perZone = 26, 242
	now := time.Unix(0, 0)
	var all []Instance
	for z := range zones {
		for i := range perZone {
			id := fmt.Sprintf("z%02d-%03d", z, i)
			all = append(all, Instance{Identity: Identity{id, 1}, Zone: id[:3], Peer: id, Sequence: 1})
		}
	}
	m := New(Config{Self: all[0]}, now)
	m.Reports(now, all)
	require.LessOrEqual(t, len(m.HeartbeatTargets()), RelaysPerZone+zones)
	relays, nonRelays := 0, 0
	for _, in := range m.View().Zone("z00").Instances {
		n := len(m.View().selectHeartbeatTargets(in))
		if n > RelaysPerZone {
			relays++
			require.Equal(t, RelaysPerZone-1+zones-1, n)
		} else {
			nonRelays++
			require.Equal(t, RelaysPerZone, n)
		}
	}
	require.Equal(t, RelaysPerZone, relays)
	require.Equal(t, perZone-RelaysPerZone, nonRelays)
}

// BenchmarkTick measures one Tick without any state change.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 6300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			m := New(Config{Self: Instance{Identity: Identity{"self", 1}, Zone: "z00", Peer: "self"}}, now)
			var all []Instance
			for i := range n {
				id := fmt.Sprintf("i%05d", i)
				all = append(all, Instance{Identity: Identity{id, 1}, Zone: fmt.Sprintf("z%02d", i%26), Peer: id, Sequence: 1})
			}
			m.Reports(now, all)
			for b.Loop() {
				m.Tick(now)
			}
		})
	}
}

// BenchmarkChange measures the processing of one record that changes the state of
// an instance.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 6300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			m := New(Config{Self: Instance{Identity: Identity{"self", 1}, Zone: "z00", Peer: "self"}}, now)
			var all []Instance
			for i := range n {
				id := fmt.Sprintf("i%05d", i)
				all = append(all, Instance{Identity: Identity{id, 1}, Zone: fmt.Sprintf("z%02d", i%26), Peer: id, Sequence: 1})
			}
			m.Reports(now, all)
			for b.Loop() {
				all[0].Sequence++
				all[0].State = Leaving - all[0].State
				m.Report(now, all[0])
				m.Ready()
			}
		})
	}
}

// TestRecordRelay checks that an instance exchanges records with a live relay of
// its zone if there is one, that RecordRelay selects none for a relay, and that
// the other instances spread over the relays.
func TestRecordRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := ZoneView{Name: "z"}
		for i := range rapid.IntRange(1, 60).Draw(t, "instances") {
			state := State(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "state"))
			z.Instances = append(z.Instances, Instance{Identity: Identity{fmt.Sprintf("i%02d", i), 1}, Zone: "z", State: state})
		}
		z.Relays = selectRelays("z", z.Instances)
		live := map[Identity]bool{}
		for _, in := range z.Instances {
			if in.State == Live && z.IsRelay(in.Identity) {
				live[in.Identity] = true
			}
		}
		for _, in := range z.Instances {
			relay, ok := z.RecordRelay(in.Identity)
			require.Equal(t, len(z.Relays) > 0 && !z.IsRelay(in.Identity), ok)
			if ok {
				require.True(t, z.IsRelay(relay))
				require.True(t, len(live) == 0 || live[relay])
			}
		}
	})
	z := ZoneView{Name: "z"}
	for i := range 240 {
		z.Instances = append(z.Instances, Instance{Identity: Identity{fmt.Sprintf("i%03d", i), 1}, Zone: "z"})
	}
	z.Relays = selectRelays("z", z.Instances)
	counts := map[Identity]int{}
	for _, in := range z.Instances {
		if relay, ok := z.RecordRelay(in.Identity); ok {
			counts[relay]++
		}
	}
	for _, r := range z.Relays {
		require.Greater(t, counts[r], 40)
	}
}
