package linkcap

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/worldtest"
)

// TestScripts runs the scripts in testdata. It adds these commands to those of
// worldtest.World.Command:
//
//	world in-flight=N rate=N       creates a region with a link to sfo with these caps
//	transfers lost|arrive          sets whether transfers between partners are lost
//	acquire NODE N SECONDS         starts N requests of this duration, if the rights allow
//	rights                         prints the usable rights and the ledger
//
// After every command it checks that the caps hold.
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
			w.checkCaps(t)
			return out
		})
	}
}

func (w *world) command(t *testing.T, cmd string, args []string) string {
	if w.Command(cmd, args) {
		return ""
	}
	switch cmd {
	case "transfers":
		w.dropTransfers = args[0] == "lost"
	case "acquire":
		return w.acquire(t, w.Latest(args[0]), args[1], args[2])
	case "rights":
		return w.rights(t)
	default:
		t.Fatalf("unknown command %q", cmd)
	}
	return ""
}

func (w *world) acquire(t *testing.T, n *node, count, secs string) string {
	got := 0
	want, err := strconv.Atoi(count)
	require.NoError(t, err)
	for range want {
		if w.startRequest(n, "sfo", worldtest.Seconds(secs)) {
			got++
		}
	}
	return fmt.Sprintf("granted %d of %d\n", got, want)
}

func (w *world) rights(t *testing.T) string {
	var b strings.Builder
	var sum Rights
	for _, n := range w.Nodes {
		if n.Alive {
			u := n.M.Usable("sfo")
			sum = sum.add(u)
			fmt.Fprintf(&b, "%s usable in-flight=%d rate=%d\n", n.Identity, u.InFlight, u.Rate)
		}
	}
	fmt.Fprintf(&b, "sum in-flight=%d rate=%d\n", sum.InFlight, sum.Rate)
	if row := w.Table.Read(RowPrefix + testRegion); row.Version > 0 {
		var l Ledger
		require.NoError(t, json.Unmarshal(row.Value, &l))
		for _, h := range l.Holders {
			fmt.Fprintf(&b, "ledger %s in-flight=%d rate=%d partners=%v\n", h.Identity, h.rights("sfo").InFlight, h.rights("sfo").Rate, h.Partners)
		}
	}
	return b.String()
}
