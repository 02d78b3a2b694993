package quarantine

import "github.com/banyandeal/banyandeal/internal/decide/quarantine"

// CrashCause says how a crash was noticed.
type CrashCause string

// Causes.
const (
	// CauseRefused: the address of the backend server refuses connections.
	CauseRefused CrashCause = "refused"
	// CauseRestarted: another incarnation has taken the place of the backend server.
	CauseRestarted CrashCause = "restarted"
	// CauseLapsed: the backend server has stopped its heartbeats, and does not respond.
	CauseLapsed CrashCause = "lapsed"
)

// Crash is a crash of a backend server as this instance has noticed it.
type Crash struct {
	// Backend is the name of the backend server and its incarnation.
	Backend string
	Cause   CrashCause
	// Requests holds the requests that the crash is counted for.
	Requests []quarantine.Fingerprint
}

// Observer is told what a Guard learns. Its methods must neither block nor call the
// Guard.
type Observer interface {
	// VerdictChanged reports a change of the verdict on a request.
	VerdictChanged(quarantine.Change)
	// CrashNoticed reports a crash of a backend server that had requests of this
	// instance.
	CrashNoticed(Crash)
}

// noObserver is the Observer of a Guard that has none.
type noObserver struct{}

func (noObserver) VerdictChanged(quarantine.Change) {}
func (noObserver) CrashNoticed(Crash)               {}
