package config

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// maxNameLength is the longest name in bytes.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// place is where a value stands in the files.
type place struct {
	file         string
	line, column int
	path         string
}

// collector gathers faults and remembers where each path stands.
type collector struct {
	faults Errors
	places map[string]place
}

func (c *collector) fault(kind Kind, at place, remedy, format string, args ...any) {
	// Paths in an overlay begin with its file, which the fault names anyway.
	at.path = strings.TrimPrefix(strings.TrimPrefix(at.path, at.file), ".")
	c.faults = append(c.faults, &Error{
		Kind: kind, File: at.file, Line: at.line, Column: at.column, Path: at.path,
		Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// at returns the place of a path, or that of the closest declared ancestor.
func (c *collector) at(path string) place {
	for p := path; ; {
		if at, ok := c.places[p]; ok {
			at.path = path
			return at
		}
		i := strings.LastIndexAny(p, ".[")
		if i < 0 {
			return place{file: baseFile, path: path}
		}
		p = p[:i]
	}
}

// value is one node of a YAML file with its path.
type value struct {
	c    *collector
	node ast.Node
	at   place
}

// parseYAML returns the only document of a file. ok is false after a fault.
func (c *collector) parseYAML(file string, data []byte) (v value, ok bool) {
	at := place{file: file}
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		c.syntaxFault(at, err)
		return value{}, false
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		c.fault(KindSyntax, at, "write exactly one YAML document", "the file holds %d documents or is empty", len(parsed.Docs))
		return value{}, false
	}
	return value{c: c, node: parsed.Docs[0].Body, at: at}, true
}

func (c *collector) syntaxFault(at place, err error) {
	message := err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		message = syntax.Message
		if t := syntax.Token; t != nil && t.Position != nil {
			at.line, at.column = t.Position.Line, t.Position.Column
		}
	}
	message, _, _ = strings.Cut(message, "\n")
	c.fault(KindSyntax, at, "correct the YAML at this place", "%s", message)
}

func (v value) fault(kind Kind, remedy, format string, args ...any) {
	v.c.fault(kind, v.at, remedy, format, args...)
}

// entry is one key of a mapping with its value.
type entry struct {
	key string
	// keyAt is the place of the key, value.at that of the value.
	keyAt place
	value
}

// entries returns a mapping's keys in file order without duplicates.
func (v value) entries() []entry {
	var values []*ast.MappingValueNode
	switch n := v.node.(type) {
	case *ast.MappingNode:
		values = n.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{n}
	case *ast.NullNode:
		return nil
	default:
		v.fault(KindWrongType, "write key: value pairs", "want a mapping, have %s", v.kindName())
		return nil
	}
	lines := make(map[string]int, len(values))
	out := make([]entry, 0, len(values))
	for _, mv := range values {
		e := v.entry(mv)
		if first, dup := lines[e.key]; dup {
			v.c.fault(KindDuplicateKey, e.keyAt, "keep one of the two", "the key %q stands already on line %d", e.key, first)
			continue
		}
		lines[e.key] = e.keyAt.line
		v.c.places[e.keyAt.path] = e.keyAt
		out = append(out, e)
	}
	return out
}

func (v value) entry(mv *ast.MappingValueNode) entry {
	token := mv.Key.GetToken()
	keyAt := place{file: v.at.file, line: token.Position.Line, column: token.Position.Column, path: join(v.at.path, token.Value)}
	at := keyAt
	if t := mv.Value.GetToken(); t != nil && isScalar(mv.Value) {
		at.line, at.column = t.Position.Line, t.Position.Column
	}
	return entry{key: token.Value, keyAt: keyAt, value: value{c: v.c, node: mv.Value, at: at}}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fields decodes a mapping whose keys are known; required names those that
// must be there.
func (v value) fields(known map[string]func(value), required ...string) {
	seen := make(map[string]bool, len(known))
	for _, e := range v.entries() {
		decode, ok := known[e.key]
		if !ok {
			names := strings.Join(slices.Sorted(maps.Keys(known)), ", ")
			v.c.fault(KindUnknownField, e.keyAt, "use one of "+names, "there is no field %q here", e.key)
			continue
		}
		seen[e.key] = true
		decode(e.value)
	}
	for _, name := range required {
		if !seen[name] {
			v.fault(KindMissingField, "state "+name, "the field %q is missing", name)
		}
	}
}

// named decodes a mapping from names to values.
func (v value) named(decode func(name string, v value)) {
	for _, e := range v.entries() {
		if v.c.checkName(e.key, e.keyAt) {
			decode(e.key, e.value)
		}
	}
}

func (c *collector) checkName(name string, at place) bool {
	if len(name) <= maxNameLength && namePattern.MatchString(name) {
		return true
	}
	c.fault(KindOutOfRange, at, "use up to 63 lower-case letters, digits and inner hyphens", "%q is no name", name)
	return false
}

// list decodes a sequence.
func (v value) list(decode func(value)) {
	n, ok := v.node.(*ast.SequenceNode)
	if !ok {
		v.fault(KindWrongType, "write a list", "want a list, have %s", v.kindName())
		return
	}
	for i, item := range n.Values {
		at := place{file: v.at.file, line: v.at.line, column: v.at.column, path: fmt.Sprintf("%s[%d]", v.at.path, i)}
		if t := firstToken(item); t != nil {
			at.line, at.column = t.Line, t.Column
		}
		v.c.places[at.path] = at
		decode(value{c: v.c, node: item, at: at})
	}
}

// firstToken returns the position of a node's first token.
func firstToken(n ast.Node) *position {
	switch m := n.(type) {
	case *ast.MappingNode:
		if !m.IsFlowStyle && len(m.Values) > 0 {
			return firstToken(m.Values[0])
		}
	case *ast.MappingValueNode:
		return firstToken(m.Key)
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return &position{t.Position.Line, t.Position.Column}
	}
	return nil
}

type position struct{ Line, Column int }

func isScalar(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return true
	}
	return false
}

func (v value) kindName() string {
	switch v.node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.NullNode:
		return "nothing"
	case *ast.StringNode, *ast.LiteralNode:
		return "a string"
	case *ast.IntegerNode, *ast.FloatNode:
		return "a number"
	case *ast.BoolNode:
		return "a boolean"
	}
	return "an unsupported form (" + v.node.Type().String() + ")"
}

// text returns a scalar's text.
func (v value) text(want string) (string, bool) {
	if !isScalar(v.node) {
		v.fault(KindWrongType, "write "+want, "want %s, have %s", want, v.kindName())
		return "", false
	}
	if s, ok := v.node.(*ast.StringNode); ok {
		return s.Value, true
	}
	return v.node.GetToken().Value, true
}

func (v value) name(to *string) {
	if s, ok := v.text("a name"); ok && v.c.checkName(s, v.at) {
		*to = s
	}
}

func (v value) string(to *string) {
	if s, ok := v.text("a string"); ok {
		*to = s
	}
}

func (v value) bool(to *bool) {
	n, ok := v.node.(*ast.BoolNode)
	if !ok {
		v.fault(KindWrongType, "write true or false", "want a boolean, have %s", v.kindName())
		return
	}
	*to = n.Value
}

func (v value) state(to *estate.State) {
	s, ok := v.text("active or draining")
	if !ok {
		return
	}
	switch st := estate.State(s); st {
	case estate.Active, estate.Draining:
		*to = st
	default:
		v.fault(KindOutOfRange, "write active or draining", "%q is no state", s)
	}
}

// count decodes a whole number of at least 1.
func (v value) count(to *int) {
	n, ok := v.node.(*ast.IntegerNode)
	if !ok {
		v.fault(KindWrongType, "write a whole number", "want a whole number, have %s", v.kindName())
		return
	}
	i, err := strconv.ParseInt(n.GetToken().Value, 10, 32)
	if err != nil || i < 1 {
		v.fault(KindOutOfRange, "write a whole number from 1 to 2147483647", "%s is out of range", n.GetToken().Value)
		return
	}
	*to = int(i)
}

// share decodes a number in [0,1]; zero tells whether 0 is allowed.
func (v value) share(to *float64, zero bool) {
	s, ok := v.text("a number from 0 to 1")
	if !ok {
		return
	}
	v.number(s, to, zero, 1, "write a number from 0 to 1, as 0.25")
}

func (v value) number(s string, to *float64, zero bool, most float64, remedy string) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) {
		v.fault(KindWrongType, remedy, "%q is no number", s)
		return
	}
	if f < 0 || f > most || (f == 0 && !zero) || math.IsInf(f, 0) {
		v.fault(KindOutOfRange, remedy, "%s is out of range", s)
		return
	}
	*to = f
}

// rate decodes a quantity per second, as 120/s.
func (v value) rate(to *float64, zero bool, most float64) {
	s, ok := v.text("a quantity per second, as 120/s")
	if !ok {
		return
	}
	number, found := strings.CutSuffix(s, "/s")
	if !found {
		v.fault(KindWrongUnit, "write the quantity per second, as 120/s", "%q has not the unit /s", s)
		return
	}
	v.number(number, to, zero, most, "write a positive quantity within its bounds, as 0.05/s")
}

// duration decodes a time with its unit; zero tells whether 0s is allowed.
func (v value) duration(to *time.Duration, zero bool) {
	s, ok := v.text("a time with its unit, as 250ms")
	if !ok {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil || s == "0" {
		v.fault(KindWrongUnit, "write a time with its unit, as 250ms, 10s or 5m", "%q is no time with a unit", s)
		return
	}
	if d < 0 || (d == 0 && !zero) {
		v.fault(KindOutOfRange, "write a time above 0s", "%s is out of range", s)
		return
	}
	*to = d
}

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// size decodes a number of bytes with its unit, as 1MiB.
func (v value) size(to *int64) {
	const remedy = "write a size with its unit, as 64KiB or 1MiB"
	s, ok := v.text("a size with its unit, as 1MiB")
	if !ok {
		return
	}
	for _, u := range sizeUnits {
		number, found := strings.CutSuffix(s, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if errors.Is(err, strconv.ErrSyntax) {
			break
		}
		if err != nil || n < 1 || n > math.MaxInt64/u.bytes {
			v.fault(KindOutOfRange, remedy, "%s is out of range", s)
			return
		}
		*to = n * u.bytes
		return
	}
	v.fault(KindWrongUnit, remedy, "%q has no unit of size", s)
}
