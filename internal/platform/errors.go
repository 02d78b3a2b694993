package platform

import "fmt"

// Unavailable is returned when the platform could not be reached or did not
// answer in time. Nothing was written.
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

// Conflict is returned when a row was not at the version that a transaction
// expected. Nothing was written.
type Conflict struct {
	// Row is the first conflicting row as it is now; an absent row has version
	// 0.
	Row Row
	// Expected is the version the transaction expected of Row.
	Expected uint64
}

// Error implements error.
func (e *Conflict) Error() string {
	return fmt.Sprintf("row %s is at version %d (change %q), not %d; read it again and decide anew",
		e.Row.Name, e.Row.Version, e.Row.ChangeID, e.Expected)
}

// NotFound is returned for a row or object that does not exist.
type NotFound struct {
	// Resource is "row" or "object".
	Resource string
	Name string
}

// Error implements error.
func (e *NotFound) Error() string {
	return fmt.Sprintf("no %s %s; check the name, or write it first", e.Resource, e.Name)
}

// ReplyLost is returned when the outcome of a write is unknown: it may have
// taken effect, or may yet.
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

// BadReply is returned when the platform answered with something that the API
// does not allow.
type BadReply struct {
	Op     string
	Status int
	Detail string
}

// Error implements error.
func (e *BadReply) Error() string {
	return fmt.Sprintf("bad reply to %s (status %d): %s; check that the endpoint is the platform's", e.Op, e.Status, e.Detail)
}
