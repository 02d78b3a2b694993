// Package ownership decides which entry instance of a zone owns each of the
// zone's backend servers. Only the owner opens connections to a backend server,
// so it knows the exact number of requests in flight there.
//
// The owners are stored in one table row per zone, which is changed by
// compare-and-set. An instance uses a backend server only after it has read the
// row with itself as the owner. Ownership changes in two ways. In a handover
// the owner stops new requests, finishes those in flight and then writes the
// new owner into the row. In a takeover another instance writes a new owner
// after evidence of the old owner's death. Ownership never changes by a timeout
// alone: neither a paused owner nor a long outage of the platform changes it.
//
// Before the first read of the row, for example when the platform is down at
// the first start of a zone, an instance owns nothing and serves requests by
// forwarding them.
package ownership

import (
	"cmp"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// RowPrefix followed by a zone's name is the name of the zone's row.
const RowPrefix = "owners/"

// RowValue is the decoded value of a zone's row.
type RowValue struct {
	// Assignments is sorted by backend server.
	Assignments []Assignment `json:"assignments"`
}

// Assignment names the owner of one backend server.
type Assignment struct {
	// Backend is the name of the backend server.
	Backend string              `json:"backend"`
	Owner   membership.Identity `json:"owner"`
	// Peer is the owner's peer address. It is dialed for evidence of the
	// owner's death.
	Peer string `json:"peer"`
	// Epoch increases with every change of owner.
	Epoch uint64 `json:"epoch"`
	// Inherited is set when the previous owner did not drain the backend
	// server, so that its requests may still be running there.
	Inherited bool `json:"inherited,omitempty"`
}

// Backend is the configuration of one backend server of the zone.
type Backend struct {
	Name string
	// Slots is the load that the backend server adds to its owner.
	Slots int
	// Deadline is the longest time that a request may run there.
	Deadline time.Duration
}

// Start notifies the caller that this instance owns a backend server and may
// use it.
type Start struct {
	Backend string
	Epoch   uint64
	// OccupiedUntil is the time until which requests of a dead owner may still
	// be running. All slots count as occupied until then. It is zero when there
	// are none.
	OccupiedUntil time.Time
	// Resumed is set when the Start revokes a Stop.
	Resumed bool
}

// Stop asks the caller to start no new requests on a backend server and, once
// none is in flight there, to call Machine.Drained with Attempt.
type Stop struct {
	Backend string
	// Attempt distinguishes this Stop from other Stops of the same backend
	// server.
	Attempt uint64
}

// Hint asks the caller to notify an instance that the zone's row has reached
// Version.
type Hint struct {
	To      membership.Identity
	Version uint64
}

// Ready holds the actions that the caller must perform after an event.
type Ready struct {
	// Read is set when the row must be read. The outcome goes to Machine.Row or
	// Machine.ReadFailed.
	Read bool
	// Write is a transaction to send. The outcome goes to Machine.WriteReplied,
	// or to Machine.WriteFailed when it is not known.
	Write  *platform.Txn
	Starts []Start
	Stops  []Stop
	// Lost are backend servers that other instances took over from this live
	// instance. It must cut off its requests there at once.
	Lost []string
	// HandedOver are backend servers that this instance has handed over.
	HandedOver []string
	Probes     []membership.Probe
	Hints      []Hint
}

// Config holds the settings of a Machine. Zero durations are replaced by the
// defaults.
type Config struct {
	// Self is the identity of this incarnation.
	Self membership.Identity
	// Peer is the peer address of this instance.
	Peer string
	// Zone is the name of this instance's zone.
	Zone string
	// RelayPollInterval is the interval at which a relay reads the row when no
	// hint announces a change.
	RelayPollInterval time.Duration
	// NonRelayPollInterval is the same interval for instances that are not
	// relays.
	NonRelayPollInterval time.Duration
	// ProbeInterval is the minimum interval between dials to an owner that is
	// missing from the membership view.
	ProbeInterval time.Duration
	// RankDelay is how much longer each lower-ranked instance waits before it
	// assigns backend servers that have no live owner.
	RankDelay time.Duration
	// RebalanceAfter is how long the set of receivers must be unchanged before
	// backend servers move for balance.
	RebalanceAfter time.Duration
	// RemoveAfter is how long a backend server must be missing from the
	// configuration before its owner removes it from the row.
	RemoveAfter time.Duration
	// FallbackDeadline is used as the deadline of a backend server that is not
	// configured.
	FallbackDeadline time.Duration
}

// Defaults of Config.
const (
	DefaultRelayPollInterval    = time.Second
	DefaultNonRelayPollInterval = time.Minute
	DefaultProbeInterval        = time.Second
	DefaultRankDelay            = 250 * time.Millisecond
	DefaultRebalanceAfter       = 10 * time.Second
	DefaultRemoveAfter          = 10 * time.Second
	DefaultFallbackDeadline     = time.Minute
)

// recomputeInterval is how often the desired owners are computed without an
// event.
const recomputeInterval = time.Second

// maxRank bounds the wait of the lowest-ranked instances.
const maxRank = 8

func (c Config) withDefaults() Config {
	c.RelayPollInterval = cmp.Or(c.RelayPollInterval, DefaultRelayPollInterval)
	c.NonRelayPollInterval = cmp.Or(c.NonRelayPollInterval, DefaultNonRelayPollInterval)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.RankDelay = cmp.Or(c.RankDelay, DefaultRankDelay)
	c.RebalanceAfter = cmp.Or(c.RebalanceAfter, DefaultRebalanceAfter)
	c.RemoveAfter = cmp.Or(c.RemoveAfter, DefaultRemoveAfter)
	c.FallbackDeadline = cmp.Or(c.FallbackDeadline, DefaultFallbackDeadline)
	return c
}
