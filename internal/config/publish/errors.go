package publish

import "fmt"

// ConflictError reports that another change moved the head first. No part of
// this change is in force, unless SearchIncomplete is set.
type ConflictError struct {
	// Expected is the version that the operator edited.
	Expected uint64
	// Head is the version in force, which another change created.
	Head Head
	// SearchIncomplete is set if the versions since Expected couldn't all be
	// searched for this change. An earlier run of the command may then have
	// applied it.
	SearchIncomplete bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.SearchIncomplete {
		return fmt.Sprintf("version %d by %s (change %s) is in force and this change started from version %d; "+
			"this run applied nothing: check the diff for an earlier run that did, and apply with --expect-version %d",
			e.Head.Version, e.Head.Author, e.Head.ChangeID, e.Expected, e.Head.Version)
	}
	if e.Head.Version == 0 {
		return fmt.Sprintf("expected version %d but no version exists yet; apply with --expect-version 0", e.Expected)
	}
	return fmt.Sprintf("version %d by %s (change %s) is in force and this change started from version %d; "+
		"nothing was applied: merge that change, look at the diff and apply with --expect-version %d",
		e.Head.Version, e.Head.Author, e.Head.ChangeID, e.Expected, e.Head.Version)
}

// StaleError reports that reads of the head return a version older than the one
// that the operator expects. Nothing was applied.
type StaleError struct {
	// Expected is the version that the operator edited, and Read the version
	// that the platform returned.
	Expected, Read uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the platform reads version %d and this change starts from version %d; "+
		"nothing was applied: try again when the platform has caught up, or correct --expect-version", e.Read, e.Expected)
}

// UnsettledError reports that the reply to the compare-and-set was lost and
// that reads of the head didn't show whether it took effect.
type UnsettledError struct {
	// Version is the version that the change creates if it took effect.
	Version uint64
	// ChangeID is the id of the change, with which the command can be repeated.
	ChangeID string
	// Cause is the error that prevented an answer.
	Cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s is in force as version %d: %v; "+
		"run the same command with --change-id %s again when the platform answers", e.ChangeID, e.Version, e.Cause, e.ChangeID)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// UnavailableError reports that the platform failed before this run could have
// moved the head. Nothing was applied.
type UnavailableError struct {
	// Op is the operation that failed.
	Op string
	// Cause is the platform's error.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s failed: %v; nothing was applied: run the command again when the platform answers", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
