package attempt

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopHeaders removes the headers that belong to one connection, and those
// that the Connection header names.
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
