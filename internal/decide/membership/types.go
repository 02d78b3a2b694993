// Package membership implements the failure detector of one entry instance. It
// tracks which instances are live, leaving, suspect or gone, selects the relays
// of each zone, and selects the instances that receive heartbeats.
//
// An instance that stays silent becomes suspect: lookup answers no longer name
// it, and it receives no forwarded requests. An instance becomes gone only on
// evidence of its death: its address refuses a connection, another process
// answers at its address, or several successive platform lists omit it. The
// state gone is final for one incarnation. Only when an instance is gone may
// other instances take over the resources that it held.
//
// A Machine performs no I/O and reads no clock. Callers pass it events and the
// current time, and carry out the actions that it returns as a Ready.
package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Identity identifies one run of an instance. Incarnation increases with every
// start under the same ID.
type Identity struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns the identity in the form "ID#Incarnation", as used in logs.
func (i Identity) String() string { return fmt.Sprintf("%s#%d", i.ID, i.Incarnation) }

// Compare orders identities by ID, then incarnation.
func (i Identity) Compare(o Identity) int {
	if c := cmp.Compare(i.ID, o.ID); c != 0 {
		return c
	}
	return cmp.Compare(i.Incarnation, o.Incarnation)
}

// State is the known state of an instance. Of two records with the same sequence
// number, the one with the higher state takes precedence.
type State uint8

// States, in ascending order of precedence.
const (
	// Live is the state of an instance that accepts all work.
	Live State = iota
	// Leaving is the state of an instance that has begun a planned shutdown and
	// hands over the resources that it holds.
	Leaving
	// Suspect is the state of an instance that has been silent for too long. It
	// receives no new work and keeps the resources that it holds.
	Suspect
	// Gone is the state of an instance that is known to be dead. It is final.
	Gone
)

// String returns the name of the state, as used in logs.
func (s State) String() string {
	return [...]string{"live", "leaving", "suspect", "gone"}[s&3]
}

// Instance describes one incarnation of an instance.
type Instance struct {
	Identity
	// Zone is the name of the availability zone.
	Zone string `json:"zone"`
	// Caller is the address (host:port) that serves callers.
	Caller string `json:"caller"`
	// Peer is the address (host:port) that serves other instances.
	Peer string `json:"peer"`
	// Operator is the address (host:port) that serves operators.
	Operator string `json:"operator"`
	State    State  `json:"state"`
	// Sequence is the version of this description. Only the instance itself
	// increments it: when its state changes or when it learns that another
	// instance suspects it.
	Sequence uint64 `json:"sequence"`
}

// stateBits is the number of low bits of a record's sequence number that hold
// the State.
const stateBits = 2

// RecordSequence returns the sequence number of the instance's replicated
// record. It orders by Sequence, then by State: a record that marks the instance
// as suspect replaces the record with the same Sequence, and the instance's next
// Sequence replaces the suspicion.
func (i Instance) RecordSequence() uint64 { return i.Sequence<<stateBits | uint64(i.State) }

// Cause is the reason for a change of an instance's state, as used in logs.
type Cause string

// Causes of state changes.
const (
	// CauseHeartbeat means that the instance sent a message or a reply directly.
	CauseHeartbeat Cause = "heartbeat"
	// CauseReport means that a relay passed on a record of the instance.
	CauseReport Cause = "report"
	// CauseSilence means that the instance sent nothing for Config.SuspectAfter.
	CauseSilence Cause = "silence"
	// CauseZoneSilence means that no instance of the zone sent anything for
	// Config.ZoneSuspectAfter.
	CauseZoneSilence Cause = "zone-silence"
	// CauseConnectionRefused means that the instance's address refused a
	// connection.
	CauseConnectionRefused Cause = "connection-refused"
	// CauseAddressTaken means that another process uses the instance's address.
	CauseAddressTaken Cause = "address-taken"
	// CauseNotListed means that successive platform lists omitted the instance.
	CauseNotListed Cause = "not-listed"
	// CauseListedLeaving means that the platform lists the instance as leaving.
	CauseListedLeaving Cause = "listed-leaving"
	// CauseLeave means that this instance began its own planned shutdown.
	CauseLeave Cause = "leave"
	// CauseRefuted means that this instance refuted a suspicion of itself.
	CauseRefuted Cause = "refuted"
)

// Change is one change of an instance's state.
type Change struct {
	// Instance is the instance after the change.
	Instance Instance
	// From is the state before the change. It is meaningful only if New is false.
	From State
	// New reports whether the instance was unknown before the change.
	New   bool
	Cause Cause
}

// ProbeResultKind tells how a dial to an instance's peer address ended.
type ProbeResultKind uint8

// Kinds of probe results.
const (
	// Refused means that the address refused the connection, so no process
	// listens there. It proves the death of the target because an instance closes
	// its peer listener last; the dial must have begun after the target was known
	// to listen at the address.
	Refused ProbeResultKind = iota
	// Answered means that a process answered. ProbeResult.Observed is its
	// identity.
	Answered
	// TimedOut means that the dial revealed nothing about the target.
	TimedOut
)

// ProbeResult is the result of one dial that checks whether Target is alive.
type ProbeResult struct {
	// Kind tells how the dial ended.
	Kind ProbeResultKind
	// Target is the instance whose death the probe may prove.
	Target Identity
	// Zone is the zone of Target.
	Zone string
	// Peer is the dialled peer address (host:port).
	Peer string
	// Observed is the identity of the process that answered. It is set only when
	// Kind is Answered.
	Observed Identity
}

// Probe requests a dial to Peer, whose result the caller passes to
// Machine.ProbeResult. When a process answers, the caller then makes an exchange
// that carries this instance's record of Target, and passes the reply to
// Machine.Heartbeat: a live target reads that it is suspected and refutes the
// suspicion in its reply.
type Probe struct {
	// Target is the instance to check.
	Target Identity
	// Zone is the zone of Target.
	Zone string
	// Peer is the peer address (host:port) to dial.
	Peer string
}

// Config holds the settings of a Machine. A zero duration selects its default.
type Config struct {
	// Self describes this instance. Its State and Sequence are ignored.
	Self Instance
	// SuspectAfter is the silence after which an instance that is expected to send
	// heartbeats becomes suspect.
	SuspectAfter time.Duration
	// ZoneSuspectAfter is the silence of a whole zone after which all its
	// instances become suspect. Only relays apply it.
	ZoneSuspectAfter time.Duration
	// ProbeInterval is the minimum time between two probes of one suspect
	// instance.
	ProbeInterval time.Duration
	// DelistAfter is the minimum time of continuous absence from the platform's
	// lists that counts as evidence of death. It must exceed the maximum lag of a
	// list.
	DelistAfter time.Duration
	// GoneRetention is the time for which a gone instance stays in the view.
	GoneRetention time.Duration
}

// Default durations of Config.
const (
	DefaultSuspectAfter     = 3 * time.Second
	DefaultZoneSuspectAfter = 6 * time.Second
	DefaultProbeInterval    = time.Second
	DefaultDelistAfter      = time.Minute
	DefaultGoneRetention    = 10 * time.Minute
)

// RelaysPerZone is the maximum number of instances that relay for a zone.
const RelaysPerZone = 3

// maxProbesPerTick is the maximum number of probes that one Tick requests.
const maxProbesPerTick = 16

// minAbsentLists is the minimum number of successive platform lists that must
// omit an instance to count as evidence of its death.
const minAbsentLists = 3

func (c Config) withDefaults() Config {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, DefaultSuspectAfter)
	c.ZoneSuspectAfter = cmp.Or(c.ZoneSuspectAfter, DefaultZoneSuspectAfter)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.DelistAfter = cmp.Or(c.DelistAfter, DefaultDelistAfter)
	c.GoneRetention = cmp.Or(c.GoneRetention, DefaultGoneRetention)
	c.Self.State, c.Self.Sequence = Live, 1
	return c
}

// Ready holds the actions that the caller must carry out after an event.
type Ready struct {
	// Changes lists the state changes since the previous Ready, in order.
	Changes []Change
	// Probes lists the probes to make now.
	Probes []Probe
	// Announce is set when this instance's own record changed. The caller sends
	// the record to the heartbeat targets immediately.
	Announce bool
	// DeclaredGone is set when another instance reports that this incarnation is
	// gone, and stays set. This instance must stop accepting work and restart as a
	// new incarnation, because others may have taken over its resources.
	DeclaredGone bool
}
