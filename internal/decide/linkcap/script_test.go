package linkcap

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
)

// TestScripts runs the sessions in testdata. Commands, one a block:
//
//	world in-flight=N rate=N       a link to sfo with these caps
//	start|kill|pause|resume|leave NODE...
//	know                           every node learns the truth
//	suspect NODE OTHER             NODE suspects OTHER
//	table up|down|lose-reply       the table's faults
//	transfers lost|arrive          what happens between partners
//	acquire NODE N SECONDS         N requests begin if the rights allow
//	run SECONDS                    time passes, messages arrive
//	rights                         usable rights, and the ledger
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	for _, path := range paths {
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "world" {
				var r Rights
				d.ScanArgs(t, "in-flight", &r.InFlight)
				d.ScanArgs(t, "rate", &r.Rate)
				w = newWorld(map[string]Rights{"sfo": r})
				return ""
			}
			var args []string
			for _, a := range d.CmdArgs {
				args = append(args, a.Key)
			}
			out := w.command(t, d.Cmd, args)
			w.check(t)
			return out
		})
	}
}

func (w *world) command(t *testing.T, cmd string, args []string) string {
	switch cmd {
	case "start":
		for _, id := range args {
			w.start(id)
		}
	case "kill", "pause", "resume", "leave":
		for _, id := range args {
			w.control(cmd, w.named(id))
		}
	case "know":
		for _, n := range w.nodes {
			if w.up(n) {
				w.truth(n)
			}
		}
	case "suspect":
		w.believe(w.named(args[0]), w.named(args[1]), membership.Suspect)
	case "table":
		w.table.Down, w.loseReply = args[0] == "down", args[0] == "lose-reply"
	case "transfers":
		w.loseTransfers = args[0] == "lost"
	case "acquire":
		return w.acquire(t, w.named(args[0]), args[1], args[2])
	case "run":
		d, err := time.ParseDuration(args[0] + "s")
		require.NoError(t, err)
		w.run(d, 100*time.Millisecond, false)
	case "rights":
		return w.rights(t)
	default:
		t.Fatalf("unknown command %q", cmd)
	}
	return ""
}

func (w *world) control(cmd string, n *node) {
	switch cmd {
	case "kill":
		n.alive = false
	case "pause", "resume":
		n.paused = cmd == "pause"
	case "leave":
		n.m.Leave(w.now)
		w.obey(n)
	}
}

func (w *world) acquire(t *testing.T, n *node, count, secs string) string {
	var want, got int
	_, err := fmt.Sscan(count, &want)
	require.NoError(t, err)
	d, err := time.ParseDuration(secs + "s")
	require.NoError(t, err)
	for range want {
		if w.begin(n, "sfo", d) {
			got++
		}
	}
	return fmt.Sprintf("granted %d of %d\n", got, want)
}

func (w *world) rights(t *testing.T) string {
	var b strings.Builder
	var sum Rights
	for _, n := range w.nodes {
		if n.alive {
			u := n.m.Usable("sfo")
			sum = sum.add(u)
			fmt.Fprintf(&b, "%s usable in-flight=%d rate=%d\n", n.Identity, u.InFlight, u.Rate)
		}
	}
	fmt.Fprintf(&b, "sum in-flight=%d rate=%d\n", sum.InFlight, sum.Rate)
	if row := w.table.Read(RowPrefix + testRegion); row.Version > 0 {
		var l Ledger
		require.NoError(t, json.Unmarshal(row.Value, &l))
		for _, h := range l.Holders {
			fmt.Fprintf(&b, "ledger %s in-flight=%d rate=%d partners=%v\n", h.Identity, h.rights("sfo").InFlight, h.rights("sfo").Rate, h.Partners)
		}
	}
	return b.String()
}
