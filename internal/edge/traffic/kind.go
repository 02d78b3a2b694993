package traffic

// RouteKind says whether the requests of a route may run more than once, and how large their
// bodies and their responses are. The zero value is the one that allows least.
type RouteKind uint8

// Kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Download requests are idempotent and have large responses.
	Download
	// Upload requests have large bodies and run at most once.
	Upload
)

// String returns the name of the kind in logs.
func (k RouteKind) String() string {
	return [...]string{"non_idempotent", "idempotent", "download", "upload"}[k]
}

// Idempotent reports whether the requests may run more than once.
func (k RouteKind) Idempotent() bool { return k == Idempotent || k == Download }

// Large reports whether the requests or their responses are large.
func (k RouteKind) Large() bool { return k == Download || k == Upload }
