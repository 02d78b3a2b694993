package scenario

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// sideBySide is how many scripts run at once: each is several instances with
// timeouts of their own, which a starved processor would trip.
const sideBySide = 4

// TestScenarios runs every script in testdata. Scripts are independent of each
// other and run side by side.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	red := readKnownRed(t)
	slots := make(chan struct{}, sideBySide)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			if entry, ok := red[t.Name()]; ok {
				runRed(t, entry, func(tb testing.TB) { runScript(tb, path) })
				return
			}
			runScript(t, path)
		})
	}
}

func runScript(t testing.TB, path string) {
	s, err := New(debugLogs())
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Close()) }()
	datadriven.RunTestAny(t, path, func(_ testing.TB, d *datadriven.TestData) string {
		return s.Run(d.Cmd, fieldsOf(d), d.Input)
	})
}

// fieldsOf returns the arguments of a command as they were written.
func fieldsOf(d *datadriven.TestData) []string {
	var out []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			out = append(out, a.Key)
			continue
		}
		out = append(out, a.Key+"="+strings.Join(a.Vals, ","))
	}
	return out
}
