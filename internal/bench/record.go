package bench

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Ends of requests.
const (
	// Done was answered whole by a backend server.
	Done Outcome = "done"
	// NotRun was told that it was not run.
	NotRun Outcome = "not-run"
	// Unknown was told that it may have been run.
	Unknown Outcome = "unknown"
	// Unanswered got no whole answer from any instance it was sent to.
	Unanswered Outcome = "unanswered"
)

// Record is one request as its caller saw it.
type Record struct {
	// Token is unique; it stands in the URL's query.
	Token   string
	Service string
	Op      string
	// Key is the idempotency key that was sent, or empty.
	Key        string
	Method     string
	Idempotent bool
	// BodySum is the xxhash64 of the body that was sent, in hex.
	BodySum string
	End     Outcome
	Status  int
	// Detail is the error body or the connection error of an end other than
	// done.
	Detail string
	// Answer is what a backend server said, if Done.
	Answer backend.Answer
	// Entry is the ID of the entry instance of the last sending.
	Entry string
	// Attempts counts the sendings. Uncertain is set when one of them may have
	// been run without the caller learning of it.
	Attempts  int
	Uncertain bool
	// Start is when the request was due, Latency how long its caller waited.
	Start   time.Time
	Latency time.Duration
}

// WriteRecords writes records to a file, a JSON line each.
func WriteRecords(path string, records []Record) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	out := json.NewEncoder(f)
	for _, r := range records {
		if err := out.Encode(r); err != nil {
			_ = f.Close()
			return errors.Trace(err)
		}
	}
	return errors.Trace(f.Close())
}
