package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/cli"
)

func runTool(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = cli.Run(t.Context(), append([]string{"banyanctl"}, args...), cli.Options{Stdout: &out, Stderr: &errs})
	return code, out.String(), errs.String()
}

// TestExplain: the beliefs of the request's own instance come first, in the
// order of time, and those about other backend servers are left out.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	require.NoError(t, os.WriteFile(one, []byte(`  1.5 one {"time":30,"instance":"one","event":"request","id":"x","reason":"expired"}
{"time":30,"instance":"one","event":"attempt","id":"x","backend":"i-1"}
{"time":31,"instance":"one","event":"config","version":9}
{"time":20,"instance":"one","event":"backend","backend":"i-1"}
{"time":21,"instance":"one","event":"backend","backend":"i-2"}
{"time":10,"instance":"one","event":"config","version":3}
not a line of an instance
`), 0o600))
	require.NoError(t, os.WriteFile(two, []byte(`{"time":15,"instance":"two","event":"config","version":4}`+"\n"), 0o600))
	code, out, _ := runTool(t, "explain", "x", one, two)
	require.Zero(t, code)
	require.Equal(t, `{"time":10,"instance":"one","event":"config","version":3}
{"time":20,"instance":"one","event":"backend","backend":"i-1"}
{"time":30,"instance":"one","event":"request","id":"x","reason":"expired"}
{"time":30,"instance":"one","event":"attempt","id":"x","backend":"i-1"}
`, out)
	code, _, errs := runTool(t, "explain", "unknown", one)
	require.NotZero(t, code)
	require.Contains(t, errs, "no line has the id")
}

// TestExplainNamesVerdict guards against a refusal whose reason, a verdict reached at
// other instances, on-call does not find from the request's id.
func TestExplainNamesVerdict(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	require.NoError(t, os.WriteFile(one, []byte(`{"time":30,"instance":"one","event":"request","id":"x","fingerprint":"f","verdict":"quarantined","reason":"quarantined"}
{"time":12,"instance":"one","event":"verdict","fingerprint":"g","verdict":"suspect"}
`), 0o600))
	require.NoError(t, os.WriteFile(two, []byte(`{"time":10,"instance":"two","event":"verdict","fingerprint":"f","verdict":"suspect","crashes":1}
{"time":11,"instance":"two","event":"isolated","id":"w","fingerprint":"f","backend":"i-1"}
{"time":12,"instance":"two","event":"crash","backend":"i-1","cause":"refused","requests":2,"fingerprints":["g","f"]}
{"time":12,"instance":"two","event":"crash","backend":"i-2","cause":"refused","requests":1,"fingerprints":["g"]}
{"time":13,"instance":"two","event":"verdict","fingerprint":"f","verdict":"quarantined","crashes":3}
{"time":40,"instance":"two","event":"verdict","fingerprint":"f","verdict":"clear"}
`), 0o600))
	_, out, _ := runTool(t, "explain", "x", one, two)
	require.Equal(t, `{"time":10,"instance":"two","event":"verdict","fingerprint":"f","verdict":"suspect","crashes":1}
{"time":11,"instance":"two","event":"isolated","id":"w","fingerprint":"f","backend":"i-1"}
{"time":12,"instance":"two","event":"crash","backend":"i-1","cause":"refused","requests":2,"fingerprints":["g","f"]}
{"time":13,"instance":"two","event":"verdict","fingerprint":"f","verdict":"quarantined","crashes":3}
{"time":30,"instance":"one","event":"request","id":"x","fingerprint":"f","verdict":"quarantined","reason":"quarantined"}
`, out)
}

// TestCheck: faults are named with their remedy.
func TestCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"version":"0000000c","listeners":[{"host":"h","rules":[{"name":"r","match":{"prefix":"/a"},"action":{"service":"s","timeout_s":1}}]}]}`), 0o600))
	code, out, _ := runTool(t, "check", "--config", file)
	require.NotZero(t, code)
	require.Contains(t, out, `prefix "/a": begin and end it with a slash`)
	require.Contains(t, out, `service "s": declare it`)
	code, _, errs := runTool(t, "check")
	require.NotZero(t, code)
	require.Contains(t, errs, "--settings")
}

// TestLimitsShowsLimitedBackends guards against limited backend servers that on-call does not
// see: those known at the end of the logs are shown, and a refusal leads to its limit.
func TestLimitsShowsLimitedBackends(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	require.NoError(t, os.WriteFile(one, []byte(`{"time":1000,"instance":"one","event":"limit_learnt","backend":"i-1","cause":"response","limit":3,"issued":2.6}
{"time":2000,"instance":"one","event":"limit_changed","backend":"i-1","cause":"response","limit":1,"issued":0.9}
{"time":2500,"instance":"one","event":"refusal","id":"x","reason":"limited","limited_backend":"i-1","limit":1}
{"time":3000,"instance":"one","event":"limit_learnt","backend":"i-2","cause":"row","limit":2,"issued":1.8}
{"time":4000,"instance":"one","event":"limit_ended","backend":"i-2","cause":"row"}
`), 0o600))
	require.NoError(t, os.WriteFile(two, []byte(`{"time":1500,"instance":"two","event":"limit_learnt","backend":"i-1","cause":"row","limit":3,"issued":2.6}
{"time":1600,"instance":"two","event":"limit_learnt","backend":"i-3","cause":"row","limit":3,"issued":2.6}
{"time":1800,"instance":"two","event":"start"}
`), 0o600))
	code, out, _ := runTool(t, "limits", one, two)
	require.Zero(t, code)
	require.Equal(t, "BACKEND               LIMIT/S   SENT/S KNOWN AT   REFUSED  LAST CHANGE\n"+
		"i-1                      1.00     0.90        1         1  1970-01-01T00:00:02Z\n", out)
	_, out, _ = runTool(t, "explain", "x", one)
	require.Contains(t, out, "limit_learnt")
	require.Contains(t, out, "limit_changed")
	require.NotContains(t, out, "i-2")
	code, _, errs := runTool(t, "limits")
	require.NotZero(t, code)
	require.Contains(t, errs, "banyanctl limits FILE")
}

// TestExplainNamesRest guards against a request that went elsewhere, or nowhere, because a
// backend server had asked for rest, and nothing that shows it.
func TestExplainNamesRest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "one.log")
	learnt := `{"time":1000,"instance":"one","event":"rest_learnt","backend":"i-1","left":3000}
`
	other := `{"time":1100,"instance":"one","event":"leaving_learnt","backend":"i-9"}
`
	attempt := `{"time":2000,"instance":"one","event":"attempt","id":"x","backend":"i-2","passed_over":"i-1"}
`
	require.NoError(t, os.WriteFile(file, []byte(learnt+other+attempt), 0o600))
	_, out, _ := runTool(t, "explain", "x", file)
	require.Equal(t, learnt+attempt, out)
}
