package filter

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to one connection only, and
// Content-Length, which each hop sets itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of the header without the hop-by-hop headers and
// without Content-Length, which each hop sets itself.
func EndToEnd(header http.Header) http.Header {
	out := header.Clone()
	StripHopByHop(out)
	return out
}

// StripHopByHop deletes from the header what EndToEnd leaves out. It does not
// modify the slices of values, which other headers may share.
func StripHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}
