package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

func named(name string) Fingerprint { return Fingerprint(name[0]) }

func render(n Notice) string {
	return fmt.Sprintf("%c strikes=%d quarantined=%t cleared=%t for %v\n",
		rune(n.Fingerprint), len(n.Incidents), n.Quarantined, n.Cleared, n.Expiry.Sub(epoch))
}

// TestScripts runs the sessions of testdata. Requests are single letters;
// every instance is told what another tells at the command "pass". Commands:
//
//	instance NAME [max=N]
//	crash I INCIDENT REQUEST...     with a ! for one that was sent apart
//	survived I REQUEST
//	pass I to=J              the notices of I since the last pass go to J
//	digest I                 the digest of I
//	verdict I REQUEST...
//	mayrun I REQUEST OTHER...
//	advance D
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		machines, told, now := map[string]*Machine{}, map[string][]Notice{}, epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			name := d.CmdArgs[0].Key
			step := func(ev Event) {
				for _, tell := range machines[name].Step(now, ev) {
					told[name] = append(told[name], tell.Notice)
					out.WriteString("tell " + render(tell.Notice))
				}
			}
			var requests []Fingerprint
			for _, a := range d.CmdArgs[1:] {
				requests = append(requests, named(a.Key))
			}
			switch d.Cmd {
			case "instance":
				cfg := Config{}
				d.MaybeScanArgs(t, "max", &cfg.MaxEntries)
				machines[name] = New(cfg)
			case "crash":
				c := Crash{Incident: Incident(requests[0])}
				for _, a := range d.CmdArgs[2:] {
					c.InFlight = append(c.InFlight, SentRequest{Fingerprint: named(a.Key), Isolated: strings.HasSuffix(a.Key, "!")})
				}
				step(c)
			case "survived":
				step(Completed{Fingerprint: requests[0]})
			case "pass":
				var to string
				d.ScanArgs(t, "to", &to)
				for _, n := range told[name] {
					machines[to].Step(now, NoticeReceived{Notice: n})
				}
				told[name] = nil
			case "digest":
				for _, n := range machines[name].Digest(2) {
					out.WriteString(render(n))
				}
			case "verdict":
				for _, fp := range requests {
					fmt.Fprintf(&out, "%c %s\n", rune(fp), machines[name].Verdict(now, fp))
				}
			case "mayrun":
				fmt.Fprintf(&out, "%t\n", machines[name].MayRun(now, requests[0], requests[1:]))
			case "advance":
				by, err := time.ParseDuration(name)
				require.NoError(t, err)
				now = now.Add(by)
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return out.String()
		})
	})
}

// TestOneBadRequest lets a crowd of requests run on several backend servers,
// with one that crashes each server that runs it and that its caller keeps
// sending, as the others do. Only the bad request is ever quarantined, and
// when its caller waits for each answer it takes two servers down.
func TestOneBadRequest(t *testing.T) {
	const bad = Fingerprint(0)
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{})
		kinds := rapid.IntRange(2, 12).Draw(t, "requests")
		waits := rapid.Bool().Draw(t, "caller waits")
		servers := make([][]SentRequest, rapid.IntRange(2, 5).Draw(t, "servers"))
		crashes, flying := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
			fp := Fingerprint(rapid.IntRange(0, kinds-1).Draw(t, "request"))
			var inFlight []Fingerprint
			for _, sent := range servers[s] {
				inFlight = append(inFlight, sent.Fingerprint)
			}
			switch {
			case slices.Contains(inFlight, bad):
				crashes++
				flying--
				m.Step(epoch, Crash{Incident: Incident(crashes), InFlight: servers[s]})
				servers[s] = nil
			case rapid.Bool().Draw(t, "end") && len(servers[s]) > 0:
				m.Step(epoch, Completed{Fingerprint: servers[s][0].Fingerprint})
				servers[s] = servers[s][1:]
			case fp == bad && waits && flying > 0:
			case m.MayRun(epoch, fp, inFlight):
				servers[s] = append(servers[s], SentRequest{Fingerprint: fp, Isolated: m.Verdict(epoch, fp) == Suspect})
				if fp == bad {
					flying++
				}
			}
			for fp := range Fingerprint(kinds) {
				require.True(t, fp == bad || m.Verdict(epoch, fp) != Quarantined, "request %d did nothing", fp)
			}
		}
		if waits {
			require.LessOrEqual(t, crashes, 2)
		}
	})
}

func TestFingerprints(t *testing.T) {
	a := FingerprintOf("scoring", "POST", "/decisions", []byte("x"))
	require.Equal(t, a, FingerprintOf("scoring", "POST", "/decisions", []byte("x")))
	require.NotEqual(t, a, FingerprintOf("scoring", "POST", "/decisionsx", nil))
	require.NotEqual(t, IncidentOf("e1", "b1", 1), IncidentOf("e1", "b1", 2))
	require.Equal(t, 422, RejectionError().Status())
}
