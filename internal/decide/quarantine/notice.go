package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Fingerprint is a hash of a request without its idempotency key. Equal requests
// have equal fingerprints.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. It covers the method, the path
// with the query, the body in pieces, and scope, which is the service or whatever else
// distinguishes requests that are equal otherwise.
func FingerprintOf(scope, method, path string, body ...[]byte) Fingerprint {
	d := xxhash.New()
	for _, text := range []string{scope, method, path} {
		// Writing to an xxhash digest never fails.
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	for _, piece := range body {
		_, _ = d.Write(piece)
	}
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as it appears in logs and as a key of the store.
func (fp Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fp)) }

// ParseFingerprint is the inverse of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil || Fingerprint(n).String() != text {
		return 0, errors.NotValidf("fingerprint %q (16 hexadecimal digits are expected)", text)
	}
	return Fingerprint(n), nil
}

// Incident identifies one crash of one backend server. It is unique in the whole
// deployment.
type Incident uint64

// IncidentOf returns the incident for a crash of the backend server that is the
// n-th crash detected by the instance.
func IncidentOf(instance, backend string, n uint64) Incident {
	d := xxhash.New()
	_, _ = d.WriteString(instance)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(backend)
	for range 8 {
		_, _ = d.Write([]byte{byte(n)})
		n >>= 8
	}
	return Incident(d.Sum64())
}

// Verdict says whether and how a request may run.
type Verdict uint8

// Verdicts.
const (
	// Clear: the request may run without restriction.
	Clear Verdict = iota
	// Suspect: the request may run only isolated from other suspects.
	Suspect
	// Quarantined: the request must not run.
	Quarantined
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[v]
}

// RejectionError returns the final error for a quarantined request.
func RejectionError() *outcome.Error {
	return outcome.RejectedError(outcome.KindQuarantined,
		"do not send the request again unchanged; report it to the operators of the service",
		"the request is quarantined because equal requests crashed the backend servers that ran them")
}

// Notice is the state of a request as instances send it to each other. Notices
// may arrive late, in any order and more than once.
type Notice struct {
	Fingerprint Fingerprint
	// Runs holds the runs that ended with crashes, sorted by incident.
	Runs []Run
	// Voided holds runs that do not count any more, because the request has
	// completed since.
	Voided []Run
	// Quarantined is set if the request is quarantined.
	Quarantined bool
	// Cleared is set if the request has completed. Runs is empty then. If Voided is
	// empty too, all runs known to the receiver are void.
	Cleared bool
	// Expiry is the time at which the state expires.
	Expiry time.Time
}

// Covers reports whether n has all that o holds against or in favour of the request.
func (n Notice) Covers(o Notice) bool {
	known := slices.Concat(n.Runs, n.Voided)
	return len(withoutRuns(o.Runs, known)) == 0 && len(withoutRuns(o.Voided, n.Voided)) == 0 && (n.Quarantined || !o.Quarantined)
}
