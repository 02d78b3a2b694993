package filter

import (
	"net/http"
	"strings"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of the header without what belongs to one connection
// and without Content-Length, which each hop sets for itself.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	StripHopByHop(out)
	return out
}

// StripHopByHop deletes what EndToEnd leaves out. The lists of values are not
// changed.
func StripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
