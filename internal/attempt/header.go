package attempt

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopHeaders removes the hop-by-hop headers from h, including those that the
// Connection header names.
func StripHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
