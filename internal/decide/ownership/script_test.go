package ownership

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/worldtest"
)

// TestScripts runs the sessions in testdata. Beside the commands of
// worldtest.World.Command there are:
//
//	world backends=N               a zone with N backend servers
//	work NODE BACKEND SECONDS      work begins if the owner has a free slot
//	stale NODE VERSIONS            NODE reads an old version of the row
//	owners                         the row, and who uses what
//
// Every command prints what the nodes did meanwhile.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	for _, path := range paths {
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "world" {
				var backends int
				d.ScanArgs(t, "backends", &backends)
				w = newWorld(backends)
				return ""
			}
			w.log.Reset()
			var args []string
			for _, a := range d.CmdArgs {
				args = append(args, a.Key)
			}
			out := w.command(t, d.Cmd, args)
			w.check(t)
			return w.log.String() + out
		})
	}
}

func (w *world) command(t *testing.T, cmd string, args []string) string {
	if w.Command(cmd, args) {
		return ""
	}
	switch cmd {
	case "work":
		before := len(w.work)
		w.begin(w.Named(args[0]), args[1], worldtest.Seconds(args[2]))
		return fmt.Sprintf("began=%t\n", len(w.work) > before)
	case "stale":
		ago, err := strconv.Atoi(args[1])
		require.NoError(t, err)
		w.Read(w.Named(args[0]), ago)
	case "owners":
		return w.owners()
	default:
		t.Fatalf("unknown command %q", cmd)
	}
	return ""
}

func (w *world) owners() string {
	var b strings.Builder
	for _, s := range w.backends {
		users, owner := []string{}, "nobody"
		for _, n := range w.Nodes {
			if n.Alive && n.State.open[s.Name] {
				users = append(users, n.Identity.String())
			}
			if a, ok := n.M.OwnerOf(s.Name); ok && w.Up(n) {
				owner = a.Owner.String()
			}
		}
		fmt.Fprintf(&b, "%s row=%s used by %v\n", s.Name, owner, users)
	}
	return b.String()
}
