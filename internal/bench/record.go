package bench

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// End is the outcome of a request as its caller observes it.
type End string

// Outcomes of requests.
const (
	// Done means that the complete response of a backend server was received.
	Done End = "done"
	// NotRun means that the response says that the request was not run.
	NotRun End = "not-run"
	// Unknown means that the response says that the request may have been run.
	Unknown End = "unknown"
	// Unanswered means that no instance returned a complete response.
	Unanswered End = "unanswered"
)

// Record describes one request as its caller observed it.
type Record struct {
	// Token identifies the request and is unique; it is sent as a query parameter.
	Token   string
	Service string
	Op      string
	// Key is the idempotency key that was sent, or empty.
	Key        string
	Method     string
	Idempotent bool
	// BodySum is the xxhash64 of the request body, in hex.
	BodySum string
	End     End
	Status  int
	// Detail is the error body or the connection error if End is not Done.
	Detail string
	// Answer is the response of the backend server if End is Done.
	Answer backend.Answer
	// Entry is the ID of the entry instance of the last attempt.
	Entry string
	// Attempts counts the attempts.
	Attempts int
	// Uncertain is set if one of the attempts may have been run without the caller
	// learning of it.
	Uncertain bool
	// Start is when the request was due.
	Start time.Time
	// Latency is how long the caller waited, counted from Start.
	Latency time.Duration
}

// WriteRecords writes the records to the file at path as one JSON object a line.
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
