package traffic

import (
	"cmp"
	"slices"
	"strings"
)

// hostIndex finds the routes of one host by their prefixes, in a time that does not depend on
// their number.
type hostIndex struct {
	// byPrefix holds the routes whose prefix ends with a slash. Of routes with the same
	// prefix it holds the first one.
	byPrefix map[string]*Route
	// longest is the length of the longest prefix in byPrefix, in bytes.
	longest int
	// others holds the routes whose prefix does not end with a slash, which Validate rejects.
	// The longest prefix comes first.
	others []*Route
}

func newHostIndex(routes []*Route) *hostIndex {
	h := &hostIndex{byPrefix: make(map[string]*Route, len(routes))}
	for _, r := range routes {
		if !strings.HasSuffix(r.Prefix, "/") {
			h.others = append(h.others, r)
			continue
		}
		if h.byPrefix[r.Prefix] == nil {
			h.byPrefix[r.Prefix] = r
		}
		h.longest = max(h.longest, len(r.Prefix))
	}
	slices.SortStableFunc(h.others, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	return h
}

// match returns the route with the longest prefix of the path, or nil if there is none.
func (h *hostIndex) match(path string) *Route {
	found := h.matchIndexed(path)
	for _, r := range h.others {
		if found != nil && len(found.Prefix) >= len(r.Prefix) {
			break
		}
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return found
}

// matchIndexed is match among the routes of byPrefix. It looks up each part of the path that
// ends with a slash, from the longest one that can be a prefix down.
func (h *hostIndex) matchIndexed(path string) *Route {
	for end := min(len(path), h.longest); end > 0; end-- {
		end = strings.LastIndexByte(path[:end], '/') + 1
		if r := h.byPrefix[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}
