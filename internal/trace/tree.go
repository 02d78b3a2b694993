package trace

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// WriteTree writes spans, which may come from several instances and contain
// duplicates, as a tree with start offsets and durations in milliseconds. A span
// whose parent is missing is a root.
func WriteTree(w io.Writer, spans []Span) {
	spans = deduplicate(spans)
	if len(spans) == 0 {
		fmt.Fprintln(w, "no spans")
		return
	}
	known := map[string]bool{}
	for _, s := range spans {
		known[s.ID] = true
	}
	children := map[string][]Span{}
	for _, s := range spans {
		parent := s.Parent
		if !known[parent] {
			parent = ""
		}
		children[parent] = append(children[parent], s)
	}
	writeSpans(w, children, "", 0, spans[0].Start)
}

func writeSpans(w io.Writer, children map[string][]Span, parent string, depth int, start time.Time) {
	for _, s := range children[parent] {
		label := strings.Repeat("  ", depth) + s.Name
		fmt.Fprintf(w, "%-32s %-16s +%8.3fms %8.3fms%s\n", label, s.Instance,
			milliseconds(s.Start.Sub(start)), milliseconds(s.Duration), formatDetails(s))
		writeSpans(w, children, s.ID, depth+1, start)
	}
}

// formatDetails returns the span's attributes in the order of their keys, and its
// error.
func formatDetails(s Span) string {
	keys := make([]string, 0, len(s.Attrs))
	for k := range s.Attrs {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%s", k, s.Attrs[k])
	}
	if s.Error != "" {
		fmt.Fprintf(&b, " error=%q", s.Error)
	}
	return b.String()
}

// deduplicate returns one span of each ID, in the order of their start times.
func deduplicate(spans []Span) []Span {
	seen := map[string]bool{}
	var out []Span
	for _, s := range spans {
		if !seen[s.ID] {
			seen[s.ID] = true
			out = append(out, s)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Start.Before(out[j].Start) })
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
