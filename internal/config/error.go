package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind names the cause of a fault; it is stable and appears in exit codes and
// logs.
type Kind string

// Kinds of faults. docs/CONFIG.md lists each with its remedy.
const (
	// KindUnreadable is a file or directory that cannot be read.
	KindUnreadable Kind = "unreadable"
	// KindSyntax is a file that is not well-formed YAML, CSV or JSON.
	KindSyntax Kind = "syntax"
	// KindUnknownField is a field that the format does not have.
	KindUnknownField Kind = "unknown_field"
	// KindDuplicateKey is a key that stands twice in one mapping.
	KindDuplicateKey Kind = "duplicate_key"
	// KindMissingField is a required field that is not there.
	KindMissingField Kind = "missing_field"
	// KindWrongType is a value of another shape than the field takes.
	KindWrongType Kind = "wrong_type"
	// KindWrongUnit is a quantity without its unit or with another one.
	KindWrongUnit Kind = "wrong_unit"
	// KindOutOfRange is a value outside of its bounds.
	KindOutOfRange Kind = "out_of_range"
	// KindDangling is a name that nothing declares.
	KindDangling Kind = "dangling"
	// KindWeights is a set of weights that does not fit the zones or does not
	// add up to 1.
	KindWeights Kind = "weights"
	// KindDuplicateName is a backend server's name declared twice.
	KindDuplicateName Kind = "duplicate_name"
	// KindDuplicateAddress is an address declared twice.
	KindDuplicateAddress Kind = "duplicate_address"
	// KindDuplicateBlock is a block of clients declared twice.
	KindDuplicateBlock Kind = "duplicate_block"
	// KindOvercommitted is a cap below what is committed to it.
	KindOvercommitted Kind = "overcommitted"
	// KindForeign is an overlay that names what belongs to another site.
	KindForeign Kind = "foreign"
	// KindCorrupt is a stored part that does not match its digest or form.
	KindCorrupt Kind = "corrupt"
)

// Error is one fault of the configuration.
type Error struct {
	Kind Kind
	// File is relative to the configuration's directory.
	File string
	// Line and Column count from 1; 0 means that the fault has no place.
	Line, Column int
	// Path is the field, as in services.scoring.weights.
	Path string
	// Message says what is wrong and Remedy what to do about it.
	Message, Remedy string
}

// Error implements error: file:line:column: kind: path: message; remedy.
func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		b.WriteString(e.File)
		if e.Line > 0 {
			fmt.Fprintf(&b, ":%d", e.Line)
		}
		if e.Column > 0 {
			fmt.Fprintf(&b, ":%d", e.Column)
		}
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "%s: ", e.Kind)
	if e.Path != "" {
		fmt.Fprintf(&b, "%s: ", e.Path)
	}
	fmt.Fprintf(&b, "%s; %s", e.Message, e.Remedy)
	return b.String()
}

// Errors is every fault found, by file, line, column, path and kind.
type Errors []*Error

// Error implements error with one line a fault.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find an *Error in the list.
func (es Errors) Unwrap() []error {
	out := make([]error, len(es))
	for i, e := range es {
		out[i] = e
	}
	return out
}

// orNil returns the sorted list as an error, or nil when it is empty.
func (es Errors) orNil() error {
	if len(es) == 0 {
		return nil
	}
	slices.SortStableFunc(es, func(a, b *Error) int {
		return cmp.Or(
			strings.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			strings.Compare(a.Path, b.Path), strings.Compare(string(a.Kind), string(b.Kind)),
			strings.Compare(a.Message, b.Message))
	})
	return es
}
