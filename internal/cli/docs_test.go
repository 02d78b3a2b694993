package cli_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/cli"
	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// docs/OPERATIONS.md has a row for every setting of the daemon with its
// default, and for every exit code and command of the tool.
func TestOperationsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	rows := map[string]string{}
	for line := range strings.Lines(string(data)) {
		if name, rest, ok := strings.Cut(strings.TrimPrefix(line, "| "), " | "); ok {
			rows[name] = rest
		}
	}
	eachSetting("", reflect.ValueOf(static.Default()), func(name, value string) {
		row, ok := rows["`"+name+"`"]
		require.True(t, ok, "no row for setting %s", name)
		require.Contains(t, row, "| "+value+" |", "default of %s", name)
	})
	for code := cli.ExitOK; code <= cli.ExitUnreachable; code++ {
		require.Contains(t, rows, fmt.Sprint(code), "no row for exit code %d", code)
	}
	for _, name := range commandNames {
		require.Contains(t, rows, "`banyanctl "+name+"`", "no row for command %s", name)
	}
}

// Every event that the failure table of docs/OPERATIONS.md names is logged
// somewhere.
func TestOperationsPageEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	logged := map[string]bool{}
	for _, dir := range []string{"../control", "../daemon"} {
		files, err := filepath.Glob(dir + "/*.go")
		require.NoError(t, err)
		for _, name := range files {
			source, err := os.ReadFile(name)
			require.NoError(t, err)
			for _, m := range logCall.FindAllSubmatch(source, -1) {
				logged[string(m[1])] = true
			}
		}
	}
	_, rest, _ := strings.Cut(string(page), "\n| failure | log line |")
	rows, _, _ := strings.Cut(rest, "\n\n")
	named := 0
	for row := range strings.Lines(rows) {
		cells := strings.Split(row, " | ")
		if len(cells) < 2 {
			continue
		}
		for _, m := range event.FindAllStringSubmatch(cells[1], -1) {
			require.True(t, logged[m[1]], "nothing logs %s, which the page names", m[1])
			named++
		}
	}
	require.NotZero(t, named)
}

var (
	logCall = regexp.MustCompile(`Msg\("([a-z_]+)"\)`)
	// event is the first word of a log line.
	event = regexp.MustCompile("`([a-z_]+)[ `]")
)

// eachSetting calls f with the path and the default of every setting; "none"
// stands for an empty one.
func eachSetting(prefix string, v reflect.Value, f func(name, value string)) {
	for i := range v.NumField() {
		name := prefix + v.Type().Field(i).Tag.Get("yaml")
		switch field := v.Field(i); {
		case field.Kind() == reflect.Struct:
			eachSetting(name+".", field, f)
		case field.IsZero():
			f(name, "none")
		default:
			f(name, fmt.Sprint(field.Interface()))
		}
	}
}

// The files of docs/GETTING-STARTED.md fit together.
func TestQuickstart(t *testing.T) {
	const dir = "../../examples/quickstart/"
	e, err := config.Load(dir + "estate")
	require.NoError(t, err)
	f, err := os.Open(dir + "backends.yaml")
	require.NoError(t, err)
	defer f.Close()
	group, err := backend.ReadGroup(f)
	require.NoError(t, err)
	addresses := map[string]string{}
	for _, b := range group.Backends {
		addresses[b.Name] = b.Address
	}
	for _, b := range e.Services[0].Backends {
		require.Equal(t, b.Address, addresses[b.Name], b.Name)
	}
	for _, name := range []string{"entry-north.yaml", "entry-south.yaml"} {
		s, err := static.Load(dir + name)
		require.NoError(t, err)
		require.NoError(t, s.Validate())
		_, ok := e.ZoneOf(s.Zone)
		require.True(t, ok, s.Zone)
	}
}
