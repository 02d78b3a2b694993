package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// TargetKind is what a drain or a fill is of.
type TargetKind string

// Kinds of targets.
const (
	TargetBackend TargetKind = "backend"
	TargetSite    TargetKind = "site"
	TargetZone    TargetKind = "zone"
	TargetRegion  TargetKind = "region"
)

// Target is one backend server, site, zone or region.
type Target struct {
	Kind TargetKind
	Name string
}

// String returns the target as kind/name.
func (t Target) String() string { return string(t.Kind) + "/" + t.Name }

// FileEdit is a changed file of the configuration.
type FileEdit struct {
	// Name is relative to the configuration's directory.
	Name string
	// Created is set if there was no such file.
	Created bool
	// Content is the whole new text.
	Content []byte
	// Lines are the changed ones.
	Lines []LineEdit
}

// LineEdit is one changed line. Old is empty for an inserted line.
type LineEdit struct {
	// Line counts from 1 in the new text.
	Line     int
	Old, New string
}

// Edit is a change of the declared configuration, to be committed to version
// control.
type Edit struct {
	// Files are sorted by name; none if the target is in that state already.
	Files []FileEdit
	// Estate is the estate after the edit, with the times of what changed.
	Estate *estate.Estate
}

// String returns the changed lines file by file.
func (e *Edit) String() string {
	var b strings.Builder
	for _, f := range e.Files {
		fmt.Fprintf(&b, "%s:\n", f.Name)
		for _, l := range f.Lines {
			if l.Old != "" {
				fmt.Fprintf(&b, "%4d - %s\n", l.Line, l.Old)
			}
			fmt.Fprintf(&b, "%4d + %s\n", l.Line, l.New)
		}
	}
	return b.String()
}

// Drain declares a target draining. Nothing is written to the directory.
func Drain(dir string, t Target, now time.Time) (*Edit, error) {
	return editDir(dir, t, estate.Draining, now)
}

// Fill declares a target active. Nothing is written to the directory.
func Fill(dir string, t Target, now time.Time) (*Edit, error) {
	return editDir(dir, t, estate.Active, now)
}

func editDir(dir string, t Target, s estate.State, now time.Time) (*Edit, error) {
	files, err := ReadFiles(dir)
	if err != nil {
		return nil, err
	}
	return SetState(files, t, s, now)
}

// SetState declares the state of a target in files that have been read, and
// checks the outcome as Load does. The files are not changed.
func SetState(files Files, t Target, s estate.State, now time.Time) (*Edit, error) {
	before, err := Parse(files)
	if err != nil {
		return nil, err
	}
	name, path, current, err := locate(before, t)
	if err != nil {
		return nil, err
	}
	edit := &Edit{Estate: before}
	if current.IsDraining() == s.IsDraining() {
		return edit, nil
	}
	f, err := editFile(files, name, path, s)
	if err != nil {
		return nil, err
	}
	changed := maps.Clone(files)
	changed[name] = f.Content
	after, err := Parse(changed)
	if err != nil {
		return nil, err
	}
	stampEdit(before, after, now.UTC().Truncate(time.Millisecond))
	edit.Files, edit.Estate = []FileEdit{f}, after
	return edit, nil
}

// locate returns the file and the path of the mapping that holds a target's
// state, and its declared state.
func locate(e *estate.Estate, t Target) (file string, path []string, s estate.State, err error) {
	switch t.Kind {
	case TargetRegion:
		if r, ok := e.RegionOf(t.Name); ok {
			return baseFile, []string{"regions", t.Name}, r.State, nil
		}
	case TargetZone:
		if z, ok := e.ZoneOf(t.Name); ok {
			return baseFile, []string{"zones", t.Name}, z.State, nil
		}
	case TargetSite:
		if s, ok := e.SiteOf(t.Name); ok {
			return overlayFile(t.Name), nil, s.State, nil
		}
	case TargetBackend:
		for i := range e.Services {
			for _, b := range e.Services[i].Backends {
				if b.Name == t.Name {
					return overlayFile(b.Site), []string{"backends", t.Name}, b.State, nil
				}
			}
		}
	default:
		return "", nil, "", Errors{{Kind: KindOutOfRange, File: baseFile, Path: t.String(),
			Message: "there is no such kind of target", Remedy: "use backend, site, zone or region"}}
	}
	return "", nil, "", Errors{{Kind: KindDangling, File: baseFile, Path: t.String(),
		Message: fmt.Sprintf("there is no %s %q", t.Kind, t.Name), Remedy: "correct the name; banyanctl status lists them"}}
}

// editFile sets the state in the mapping at a path of one file.
func editFile(files Files, name string, path []string, s estate.State) (FileEdit, error) {
	f := FileEdit{Name: name, Content: files[name]}
	if f.Content == nil {
		site := strings.TrimSuffix(strings.TrimPrefix(name, overlayDir+"/"), ".yaml")
		f.Created = true
		f.Content = []byte("site: " + site + "\n")
		f.Lines = []LineEdit{{Line: 1, New: "site: " + site}}
	}
	c := &collector{places: map[string]place{}}
	v, ok := c.parseYAML(name, f.Content)
	if !ok {
		return FileEdit{}, c.faults.orNil()
	}
	l := lineEditor{file: &f, lines: strings.SplitAfter(string(f.Content), "\n")}
	l.set(v.node, path, s)
	f.Content = []byte(strings.Join(l.lines, ""))
	slices.SortFunc(f.Lines, func(a, b LineEdit) int { return a.Line - b.Line })
	return f, nil
}

// childPair returns the pair of a key in a mapping, or nil.
func childPair(n ast.Node, key string) *ast.MappingValueNode {
	for _, mv := range pairs(n) {
		if mv.Key.GetToken().Value == key {
			return mv
		}
	}
	return nil
}

func pairs(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	return nil
}

// lineEditor changes the lines of a file and keeps all else, comments too.
type lineEditor struct {
	file  *FileEdit
	lines []string
}

// set puts the state into the mapping at a path below n.
func (l *lineEditor) set(n ast.Node, path []string, s estate.State) {
	if isFlow(n) {
		l.setFlow(n, path, s)
		return
	}
	indent := 0
	if ps := pairs(n); len(ps) > 0 {
		indent = ps[0].Key.GetToken().Position.Column - 1
	}
	for i, key := range path {
		pair := childPair(n, key)
		if pair == nil {
			l.appendBlock(n, indent, append(slices.Clone(path[i:]), "state"), s)
			return
		}
		n = pair.Value
		switch ps := pairs(n); {
		case isFlow(n):
			l.setFlow(n, path[i+1:], s)
			return
		case len(ps) == 0: // nothing stands below the key
			at := pair.Key.GetToken().Position
			l.insert(at.Line, at.Column+1, append(slices.Clone(path[i+1:]), "state"), s)
			return
		default:
			indent = ps[0].Key.GetToken().Position.Column - 1
		}
	}
	if pair := childPair(n, "state"); pair != nil {
		l.replace(pair.Value, s)
		return
	}
	l.appendBlock(n, indent, []string{"state"}, s)
}

func isFlow(n ast.Node) bool {
	m, ok := n.(*ast.MappingNode)
	return ok && m.IsFlowStyle
}

// replace writes the state over a scalar.
func (l *lineEditor) replace(scalar ast.Node, s estate.State) {
	t := scalar.GetToken()
	i, at := t.Position.Line-1, t.Position.Column-1
	line := l.lines[i]
	length := len(strings.TrimSpace(t.Origin))
	l.change(i, line[:at]+string(s)+line[at+length:])
}

// setFlow puts the state into a mapping in braces.
func (l *lineEditor) setFlow(n ast.Node, path []string, s estate.State) {
	for i, key := range path {
		pair := childPair(n, key)
		if pair == nil {
			l.insertFlow(n, nest(path[i:], s))
			return
		}
		n = pair.Value
	}
	if pair := childPair(n, "state"); pair != nil {
		l.replace(pair.Value, s)
		return
	}
	l.insertFlow(n, "state: "+string(s))
}

// nest writes the state below keys, in braces.
func nest(keys []string, s estate.State) string {
	text := "{state: " + string(s) + "}"
	for i := len(keys) - 1; i > 0; i-- {
		text = "{" + keys[i] + ": " + text + "}"
	}
	return keys[0] + ": " + text
}

// insertFlow puts a pair before the closing brace.
func (l *lineEditor) insertFlow(n ast.Node, text string) {
	m := n.(*ast.MappingNode)
	if len(m.Values) > 0 {
		text = ", " + text
	}
	i, at := m.End.Position.Line-1, m.End.Position.Column-1
	line := l.lines[i]
	head := strings.TrimRight(line[:at], " ")
	l.change(i, head+text+line[at:])
}

// appendBlock puts keys and the state after the first pair of a mapping, where
// the indentation is known and no comment of a later pair is torn off.
func (l *lineEditor) appendBlock(n ast.Node, indent int, keys []string, s estate.State) {
	first := pairs(n)[0]
	line := first.Key.GetToken().Position.Line
	if !isScalar(first.Value) {
		line-- // before the first pair, whose value goes on below it
	}
	l.insert(line, indent, keys, s)
}

// insert puts keys and the state after a line; a line is counted from 1.
func (l *lineEditor) insert(after, indent int, keys []string, s estate.State) {
	if after > 0 && !strings.HasSuffix(l.lines[after-1], "\n") {
		l.lines[after-1] += "\n"
	}
	var fresh []string
	for i, key := range keys {
		text := strings.Repeat(" ", indent+2*i) + key + ":"
		if i == len(keys)-1 {
			text += " " + string(s)
		}
		fresh = append(fresh, text+"\n")
		l.file.Lines = append(l.file.Lines, LineEdit{Line: after + i + 1, New: text})
	}
	l.lines = slices.Insert(l.lines, after, fresh...)
}

func (l *lineEditor) change(i int, line string) {
	l.file.Lines = append(l.file.Lines, LineEdit{
		Line: i + 1, Old: strings.TrimRight(l.lines[i], "\r\n"), New: strings.TrimRight(line, "\r\n"),
	})
	l.lines[i] = line
}

// stampEdit sets since when what an edit changed stands as declared.
func stampEdit(before, after *estate.Estate, now time.Time) {
	for i := range after.Sites {
		s := &after.Sites[i]
		old, _ := before.SiteOf(s.Name)
		if old.State != s.State || before.ZoneDraining(s.Zone) != after.ZoneDraining(s.Zone) {
			s.Since = now
		}
	}
	for i := range after.Services {
		old := before.Services[i].Backends
		for j := range after.Services[i].Backends {
			if b := &after.Services[i].Backends[j]; old[j].State != b.State {
				b.Since = now
			}
		}
	}
}

// Merge returns the files with the edit in them.
func (e *Edit) Merge(files Files) Files {
	out := maps.Clone(files)
	for _, f := range e.Files {
		out[f.Name] = bytes.Clone(f.Content)
	}
	return out
}
