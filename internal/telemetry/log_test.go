package telemetry

import (
	"bytes"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// A log line must consist of key=value pairs only, also if a field has a name that
// zerolog's console writer treats specially, such as caller or error.
func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, "info", "a1")
	log.Info().Str("caller", "127.0.0.1:8080").Str("error", "it broke").Int("n", 3).Msg("started")
	pair := `[a-z_]+=("[^"]*"|\S+)`
	require.Regexp(t, regexp.MustCompile(`^`+pair+`( `+pair+`)*\n$`), out.String())
	for _, want := range []string{"event=started", "caller=127.0.0.1:8080", `error="it broke"`, "instance=a1", "n=3"} {
		require.Contains(t, out.String(), want)
	}
}
