// Package membership decides what one instance believes of all instances: who
// is live, leaving, suspect or gone, who relays for a zone, and whom to send
// heartbeats to.
//
// Silence makes an instance suspect: it leaves look-up answers and gets no
// forwarded work. Only evidence of death makes it gone: a refused connection
// at its address, another process answering there, or its absence from several
// lists of the platform. Gone is final for one incarnation, and only then may
// another take over what it held.
//
// The machine is pure: events and the time go in, a Ready comes out.
package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Identity names one run of an instance. Incarnation rises with every start of
// the same ID.
type Identity struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns the identity as it stands in logs.
func (i Identity) String() string { return fmt.Sprintf("%s#%d", i.ID, i.Incarnation) }

// Compare orders identities by ID, then incarnation.
func (i Identity) Compare(o Identity) int {
	if c := cmp.Compare(i.ID, o.ID); c != 0 {
		return c
	}
	return cmp.Compare(i.Incarnation, o.Incarnation)
}

// State is what is believed of an instance. At one sequence number the higher
// state wins.
type State uint8

// States, in rising order of precedence.
const (
	// Live instances take part in everything.
	Live State = iota
	// Leaving instances have begun a planned stop and hand over what they hold.
	Leaving
	// Suspect instances are silent. They get no new work and keep what they
	// hold.
	Suspect
	// Gone instances are known to be dead; the state is final.
	Gone
)

// String returns the state as it stands in logs.
func (s State) String() string {
	return [...]string{"live", "leaving", "suspect", "gone"}[s&3]
}

// Instance is what is believed of one incarnation.
type Instance struct {
	Identity
	Zone string `json:"zone"`
	// Caller, Peer and Operator are the addresses (host:port) for callers, for
	// other instances and for operators.
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
	State    State  `json:"state"`
	// Sequence is raised by the instance itself when its state changes or when
	// it learns that it is suspected.
	Sequence uint64 `json:"sequence"`
}

// stateBits is the room of a State in a record's sequence number.
const stateBits = 2

// RecordSequence returns the sequence number of the instance's replicated
// record; it orders by Sequence, then State, so that a suspicion replaces what
// it suspects and the instance's next sequence number replaces the suspicion.
func (i Instance) RecordSequence() uint64 { return i.Sequence<<stateBits | uint64(i.State) }

// Cause is why an instance's state changed.
type Cause string

// Causes of changes.
const (
	CauseHeartbeat Cause = "heartbeat"
	CauseReport    Cause = "report"
	CauseSilence   Cause = "silence"
	CauseZoneSilence      Cause = "zone-silence"
	CauseConnectionRefused   Cause = "connection-refused"
	CauseAddressTaken  Cause = "address-taken"
	CauseNotListed  Cause = "not-listed"
	CauseListedLeaving    Cause = "listed-leaving"
	CauseLeave     Cause = "leave"
	CauseRefuted   Cause = "refuted"
)

// Change is one change of state. New is set when the instance was not known.
type Change struct {
	Instance Instance
	From     State
	New      bool
	Cause    Cause
}

// ProbeOutcome is what a dial to an instance's peer address showed.
type ProbeOutcome uint8

// Kinds of evidence.
const (
	// ProbeRefused means that nothing listens at the address. The dial must have
	// begun after the instance was known to listen there, and an instance
	// closes its peer listener last.
	ProbeRefused ProbeOutcome = iota
	// ProbeAnswered means that a process answered; Observed is its identity.
	ProbeAnswered
	// ProbeTimedOut means that nothing was learnt.
	ProbeTimedOut
)

// ProbeResult is the outcome of one dial to Peer, made to learn about About.
type ProbeResult struct {
	Outcome     ProbeOutcome
	Target    Identity
	Zone     string
	Peer     string
	Observed Identity
}

// Probe asks for a dial to Peer whose outcome is reported as Evidence. When a
// process answers, the caller follows with an exchange that carries this
// instance's record of it and passes the reply to Machine.Heartbeat: a live
// instance reads the suspicion first and refutes it in its reply.
type Probe struct {
	Target Identity
	Zone  string
	Peer  string
}

// Config holds the settings of a Machine. Zero durations get the defaults.
type Config struct {
	// Self is this instance; its State and Sequence are ignored.
	Self Instance
	// SuspectAfter is the silence that makes an expected sender suspect.
	SuspectAfter time.Duration
	// ZoneSuspectAfter is the silence of a whole zone that makes all its
	// instances suspect; only relays judge it.
	ZoneSuspectAfter time.Duration
	// ProbeInterval paces the dials to one suspect.
	ProbeInterval time.Duration
	// DelistAfter is the shortest time of continuous absence from the
	// platform's lists that is evidence of death. It must exceed the most that
	// a list can lag.
	DelistAfter time.Duration
	// GoneRetention is how long a gone instance stays in the view.
	GoneRetention time.Duration
}

// Defaults of Config.
const (
	DefaultSuspectAfter     = 3 * time.Second
	DefaultZoneSuspectAfter = 6 * time.Second
	DefaultProbeInterval       = time.Second
	DefaultDelistAfter      = time.Minute
	DefaultGoneRetention         = 10 * time.Minute
)

// RelaysPerZone is how many instances of a zone relay for it.
const RelaysPerZone = 3

// maxProbes is the most dials asked for by one Tick.
const maxProbes = 16

// delistCount is how many successive lists an instance must be absent from.
const delistCount = 3

func (c Config) withDefaults() Config {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.ZoneSuspectAfter = cmp.Or(c.ZoneSuspectAfter, DefaultZoneSuspectAfter)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.DelistAfter = cmp.Or(c.DelistAfter, DefaultDelistAfter)
	c.GoneRetention = cmp.Or(c.GoneRetention, DefaultGoneRetention)
	c.Self.State, c.Self.Sequence = Live, 1
	return c
}

// Ready is what the caller has to do after an event.
type Ready struct {
	// Changes are the changes of state since the last Ready, in order.
	Changes []Change
	// Probes are dials to make now.
	Probes []Probe
	// Announce is set when this instance's own record changed: send it to the
	// heartbeat targets now.
	Announce bool
	// DeclaredGone is set when others hold this incarnation for gone. It must stop
	// taking work and be started anew: what it held may have been taken over.
	DeclaredGone bool
}
