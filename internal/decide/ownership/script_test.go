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

// TestScripts runs the scripts in testdata. It adds these commands to those of
// worldtest.World.Command:
//
//	world backends=N               creates a zone with N backend servers
//	work NODE BACKEND SECONDS      starts a request at NODE if it may use a free slot
//	stale NODE VERSIONS            NODE reads the row as it was VERSIONS versions ago
//	owners                         prints the owners in the row and the users
//
// Every command also prints what the nodes did during it, and is followed by a
// check that no backend server is used by two instances.
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
			w.checkExclusiveUse(t)
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
		w.startWork(w.Latest(args[0]), args[1], worldtest.Seconds(args[2]))
		return fmt.Sprintf("started=%t\n", len(w.work) > before)
	case "stale":
		ago, err := strconv.Atoi(args[1])
		require.NoError(t, err)
		w.Read(w.Latest(args[0]), ago)
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
		users, owner := []string{}, "none"
		for _, n := range w.Nodes {
			if n.Alive && n.State.open[s.Name] {
				users = append(users, n.Identity.String())
			}
			if a, ok := n.M.OwnerOf(s.Name); ok && w.Running(n) {
				owner = a.Owner.String()
			}
		}
		fmt.Fprintf(&b, "%s row=%s used by %v\n", s.Name, owner, users)
	}
	return b.String()
}
