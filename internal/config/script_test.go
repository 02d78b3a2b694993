package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// TestScripts runs testdata/*.txt. Each command starts from testdata/small:
//
//	load           the estate after the changes, as a diff against small
//	show           the named part of the changed estate as JSON
//	edit           drain= or fill=kind/name: the lines to commit and the diff
//
// The input changes files first: "file NAME" opens one, "- text" replaces text
// that must be there by the following "+ text" lines ("\n" is a line break),
// "remove" removes it and "= text" sets it to a line.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			small, err := ReadFiles("testdata/small")
			require.NoError(t, err)
			before, err := Parse(small)
			require.NoError(t, err)
			files := changeFiles(t, d, small)
			switch d.Cmd {
			case "load":
				e, err := Parse(files)
				if err != nil {
					return describe(err)
				}
				return diffText(before, e)
			case "show":
				return showPart(t, d, files)
			case "edit":
				return editText(t, d, files)
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

func changeFiles(t *testing.T, d *datadriven.TestData, files Files) Files {
	var name string
	for line := range strings.Lines(d.Input) {
		op, text, _ := strings.Cut(strings.TrimRight(line, "\n"), " ")
		text = strings.ReplaceAll(text, `\n`, "\n")
		switch op {
		case "file":
			name = text
		case "remove":
			delete(files, name)
		case "=":
			files[name] = append(files[name], text+"\n"...)
		case "-":
			if !strings.Contains(string(files[name]), text) {
				d.Fatalf(t, "%s has no %q", name, text)
			}
			clean := strings.ReplaceAll(string(files[name]), "\x00", "")
			files[name] = []byte(strings.Replace(clean, text, "\x00", 1))
		case "+":
			files[name] = []byte(strings.Replace(string(files[name]), "\x00", text+"\x00", 1))
		}
	}
	for n, data := range files {
		files[n] = []byte(strings.ReplaceAll(string(data), "\x00", ""))
	}
	return files
}

// describe prints faults and checks that each is typed and names a remedy.
func describe(err error) string {
	var all Errors
	if !errors.As(err, &all) {
		return "untyped: " + err.Error()
	}
	var b strings.Builder
	for _, e := range all {
		if e.File == "" || e.Remedy == "" || e.Message == "" {
			fmt.Fprintf(&b, "incomplete: ")
		}
		fmt.Fprintln(&b, e)
	}
	return b.String()
}

func diffText(a, b *estate.Estate) string {
	changes := Diff(a, b)
	if len(changes) == 0 {
		return "no change\n"
	}
	var out strings.Builder
	for _, c := range changes {
		fmt.Fprintln(&out, c)
	}
	return out.String()
}

func showPart(t *testing.T, d *datadriven.TestData, files Files) string {
	e, err := Parse(files)
	if err != nil {
		return describe(err)
	}
	parts, _, err := Split(e)
	require.NoError(t, err)
	var names []string
	for _, p := range parts {
		if d.HasArg("part") && p.Name == d.CmdArgs[0].Vals[0] {
			var v any
			require.NoError(t, json.Unmarshal(p.Bytes, &v))
			out, err := json.MarshalIndent(v, "", " ")
			require.NoError(t, err)
			return string(out) + "\n"
		}
		names = append(names, p.Name)
	}
	return strings.Join(names, "\n") + "\n"
}

func editText(t *testing.T, d *datadriven.TestData, files Files) string {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	state := estate.Draining
	target := ""
	if d.HasArg("drain") {
		d.ScanArgs(t, "drain", &target)
	} else {
		d.ScanArgs(t, "fill", &target)
		state = estate.Active
	}
	kind, name, _ := strings.Cut(target, "/")
	edit, err := SetState(files, Target{Kind: TargetKind(kind), Name: name}, state, now)
	if err != nil {
		return describe(err)
	}
	before, err := Parse(files)
	require.NoError(t, err)
	return edit.String() + diffText(before, edit.Estate)
}
