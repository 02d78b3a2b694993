package config

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	fieldPattern = regexp.MustCompile(`"(\w+)":\s+func\(v value\)`)
	kindPattern  = regexp.MustCompile(`Kind = "(\w+)"`)
)

// docs/CONFIG.md names every field, every kind of fault and every error of the
// versioned path.
func TestConfigPage(t *testing.T) {
	page := readText(t, "../../docs/CONFIG.md")
	for _, m := range fieldPattern.FindAllStringSubmatch(readText(t, "decode.go"), -1) {
		require.Regexp(t, "[`.]"+m[1]+"[`.]", page, "field %s", m[1])
	}
	for _, m := range kindPattern.FindAllStringSubmatch(readText(t, "error.go"), -1) {
		require.Contains(t, page, "| `"+m[1]+"` |", "kind %s", m[1])
	}
	for _, m := range regexp.MustCompile(`type (\w+Error) struct`).FindAllStringSubmatch(readText(t, "publish/errors.go"), -1) {
		require.Contains(t, page, "| `"+m[1]+"` |", "error %s", m[1])
	}
	for _, d := range []any{DefaultLookupTTL, DefaultDeadline, DefaultMeanTime, DefaultMaxUtilisation, DefaultColdTime} {
		require.Contains(t, page, "`"+fmt.Sprint(d)+"` |", "default %v", d)
	}
}

func readText(t *testing.T, name string) string {
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	return string(data)
}
