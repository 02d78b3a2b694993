package platform

import "fmt"

// Unavailable is returned if the platform could not be reached, did not reply in
// time or failed. Nothing was written.
type Unavailable struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *Unavailable) Error() string {
	return fmt.Sprintf("platform unavailable for %s: %v; nothing was written, try again later", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Cause }

// Conflict is returned if a row did not have the version that a transaction
// expected. Nothing was written.
type Conflict struct {
	// Row is the current state of the first conflicting row; an absent row has
	// version 0.
	Row Row
	// Expected is the version of Row that the transaction expected.
	Expected uint64
}

// Error implements error.
func (e *Conflict) Error() string {
	return fmt.Sprintf("row %s is at version %d (change %q), not %d; read it again and retry with its current version",
		e.Row.Name, e.Row.Version, e.Row.ChangeID, e.Expected)
}

// NotFound is returned for a row or object that does not exist.
type NotFound struct {
	// Resource is the kind of the missing thing, "row" or "object".
	Resource string
	Name     string
}

// Error implements error.
func (e *NotFound) Error() string {
	return fmt.Sprintf("%s %s does not exist; check the name, or write it first", e.Resource, e.Name)
}

// ReplyLost is returned if the outcome of a write is unknown: it may have been
// applied, or may still be applied later.
type ReplyLost struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *ReplyLost) Error() string {
	return fmt.Sprintf("reply to transaction %s lost: %v; read its rows back and compare their change ids before writing again",
		e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *ReplyLost) Unwrap() error { return e.Cause }

// BadReply is returned if the platform's reply violates the API, or rejects a call
// with a status that a retry would not change.
type BadReply struct {
	Op string
	// Status is the HTTP status, or 0 if the contents of the reply are at fault.
	Status int
	Detail string
}

// Error implements error.
func (e *BadReply) Error() string {
	return fmt.Sprintf("bad reply to %s (status %d): %s; check that the endpoint is the platform's", e.Op, e.Status, e.Detail)
}
