package cli

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/operator/client"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// Exit codes. They are part of the tool's interface: scripts rely on them.
const (
	ExitOK = 0
	// ExitInternal is a fault of the tool or of what it talks to that has no
	// code of its own.
	ExitInternal = 1
	// ExitUsage is a wrong command line.
	ExitUsage = 2
	// ExitInvalid is a configuration with faults; nothing was applied.
	ExitInvalid = 3
	// ExitConflict means that what is in force is not what the operator started
	// from: another operator was first; nothing was written.
	ExitConflict = 4
	// ExitPlatform means that the platform could not be reached; nothing was
	// written.
	ExitPlatform = 5
	// ExitUnknown means that a write may have taken effect, or may yet.
	ExitUnknown = 6
	// ExitNotInForce means that an accepted version was not in force at every
	// instance in time. It is accepted and never reverts.
	ExitNotInForce = 7
	// ExitUnreachable means that an instance gave no usable answer.
	ExitUnreachable = 8
)

// exitCodeHelp stands in the help of the tool and in docs/OPERATIONS.md.
const exitCodeHelp = `Exit codes:
  0  done
  1  internal error
  2  wrong command line
  3  invalid configuration, nothing was applied
  4  conflict: another operator was first, nothing was written
  5  platform unavailable, nothing was written
  6  outcome of a write unknown: read the version in force before trying again
  7  accepted, but not in force at every instance in time
  8  instance unreachable`

// UsageError is a command line that cannot be run.
type UsageError struct {
	Message string
	Remedy  string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Message + "; " + e.Remedy }

func usagef(remedy, format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// NotInForceError is returned when instances did not put a version in force in
// time.
type NotInForceError struct {
	Version uint64
	// Behind names the instances that are at a lower version or silent.
	Behind []string
	// Total is how many instances were asked.
	Total int
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted and not yet in force at %d of %d instances: %s; "+
		"it never reverts, so look at these with banyanctl status, or wait longer with --wait-timeout",
		e.Version, len(e.Behind), e.Total, strings.Join(e.Behind, ", "))
}

// exitCode maps the kind of an error to the code that the tool ends with. The
// kinds that leave a write in doubt go first.
func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case isKind[*publish.UnsettledError](err), isKind[*platform.ReplyLost](err):
		return ExitUnknown
	case isKind[*UsageError](err):
		return ExitUsage
	case isKind[*publish.ConflictError](err), isKind[*publish.StaleError](err), isKind[*OutOfDateError](err):
		return ExitConflict
	case isKind[*publish.UnavailableError](err), isKind[*platform.Unavailable](err):
		return ExitPlatform
	case isKind[*config.Error](err):
		return ExitInvalid
	case isKind[*NotInForceError](err):
		return ExitNotInForce
	case isKind[*client.Unreachable](err), isKind[*outcome.Error](err):
		return ExitUnreachable
	}
	return ExitInternal
}

func isKind[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
