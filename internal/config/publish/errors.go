package publish

import "fmt"

// ConflictError says that another operator moved the head first. Nothing of
// this change is in force, unless Incomplete is set.
type ConflictError struct {
	// Expected is the version the operator started from.
	Expected uint64
	// Head is the version in force, by another author.
	Head Head
	// SearchIncomplete is set if not all versions since Expected could be searched
	// for this change, which an earlier run of the command may have applied.
	SearchIncomplete bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.SearchIncomplete {
		return fmt.Sprintf("version %d by %s (change %s) is in force and this change started from version %d; "+
			"this run applied nothing: look at the diff whether an earlier run did, and apply with --expect-version %d",
			e.Head.Version, e.Head.Author, e.Head.ChangeID, e.Expected, e.Head.Version)
	}
	if e.Head.Version == 0 {
		return fmt.Sprintf("expected version %d and there is none yet; apply with --expect-version 0", e.Expected)
	}
	return fmt.Sprintf("version %d by %s (change %s) is in force and this change started from version %d; "+
		"nothing was applied: merge that change, look at the diff and apply with --expect-version %d",
		e.Head.Version, e.Head.Author, e.Head.ChangeID, e.Expected, e.Head.Version)
}

// StaleError says that the platform still reads a version older than the one
// the operator started from.
type StaleError struct {
	Expected, Read uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the platform reads version %d and this change starts from version %d; "+
		"nothing was applied: try again when the platform has caught up, or correct --expect-version", e.Read, e.Expected)
}

// OutcomeUnknownError says that the reply to the compare-and-set was lost and that
// the head could not be read to settle it.
type OutcomeUnknownError struct {
	Version  uint64
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s is in force as version %d: %v; "+
		"run the same command with --change-id %s again when the platform answers", e.ChangeID, e.Version, e.Cause, e.ChangeID)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// UnavailableError says that the platform failed before the head could have
// moved. Nothing is in force.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s failed: %v; nothing was applied: run the command again when the platform answers", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
