// Package caller writes the requests of callers, for tests and simulations.
package caller

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/platform"
)

// HeaderStamp is the header by which a backend server signs its responses.
const HeaderStamp = "X-Banyandeal-Server-Stamp"

// Request is a request of a caller.
type Request struct {
	// Method is the HTTP method, GET if empty. Path is the request target.
	Method, Path, Host, Body string
	// Object is the affinity key, if any.
	Object string
	// Key is the key of the caller's account, if any. Header holds further header lines, each with its
	// end.
	Key, Header string
	// Timeout is the caller's timeout; 0 sends none.
	Timeout time.Duration
}

// Encode returns the request with the given id in HTTP/1.1 format.
func (r Request) Encode(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", cmp.Or(r.Method, http.MethodGet), r.Path, r.Host, platform.HeaderRequestID, id)
	if r.Object != "" {
		fmt.Fprintf(&b, "Cookie: X-Banyandeal-Affinity-Key=%s\r\n", r.Object)
	}
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.Key)
	}
	b.WriteString(r.Header)
	if r.Timeout > 0 {
		fmt.Fprintf(&b, "X-Banyandeal-Deadline-Ms: %d\r\n", r.Timeout.Milliseconds())
	}
	if r.Body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n" + r.Body)
	return b.String()
}
