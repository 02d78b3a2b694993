// Package ownership decides which entry instance of a zone owns each of the
// zone's backend servers. Only the owner opens connections to a backend server,
// so it knows the in-flight count exactly.
//
// The owners stand in one table row per zone that is changed by
// compare-and-set. An instance uses a backend server only after it read the row
// with itself as the owner. Ownership moves in two ways. In a handover the
// owner stops new work, finishes what is in flight and then writes the receiver
// into the row. In a takeover another instance writes a new owner after
// evidence of the old one's death. Time alone moves nothing: a paused owner, or
// a platform that is down for long, changes no ownership.
//
// Before the first read of the row, as when the platform is down at the first
// start of a zone, an instance owns nothing and serves by forwarding.
package ownership

import (
	"cmp"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// RowPrefix and a zone's name make the name of the zone's row.
const RowPrefix = "owners/"

// RowValue is the value of a zone's row.
type RowValue struct {
	// Assignments is sorted by backend server.
	Assignments []Assignment `json:"assignments"`
}

// Assignment names the owner of one backend server.
type Assignment struct {
	Backend string              `json:"backend"`
	Owner   membership.Identity `json:"owner"`
	// Peer is the owner's peer address, where evidence of its death is sought.
	Peer string `json:"peer"`
	// Epoch rises with every change of owner.
	Epoch uint64 `json:"epoch"`
	// Inherited is set when the owner before did not drain the backend server:
	// its work may still run there.
	Inherited bool `json:"inherited,omitempty"`
}

// Backend is one backend server of the zone as configured.
type Backend struct {
	Name string
	// Slots is the load that the backend server adds to its owner.
	Slots int
	// Deadline is the longest that a request may run there.
	Deadline time.Duration
}

// Start tells that this instance owns a backend server and may use it.
type Start struct {
	Backend string
	Epoch   uint64
	// OccupiedUntil is not zero when work of a dead owner may still run: until
	// then all slots count as occupied.
	OccupiedUntil time.Time
	// Resumed is set when a Stop is taken back.
	Resumed bool
}

// Stop asks to start no new work on a backend server and to call
// Machine.Drained with Attempt once nothing is in flight there.
type Stop struct {
	Backend string
	// Attempt tells one Stop of the backend server from another.
	Attempt uint64
}

// Hint asks to tell an instance that the zone's row has reached Version.
type Hint struct {
	To      membership.Identity
	Version uint64
}

// Ready is what the caller has to do after an event.
type Ready struct {
	// Read is set when the row has to be read. The outcome goes to Machine.Row
	// or Machine.ReadFailed.
	Read bool
	// Write is a transaction to send. The outcome goes to Machine.Written, or
	// to Machine.WriteFailed when it is not known.
	Write  *platform.Txn
	Starts []Start
	Stops  []Stop
	// Lost are backend servers that others took over although this instance
	// lives; it must cut them off at once.
	Lost []string
	// HandedOver are backend servers that this instance has handed over.
	HandedOver   []string
	Probes []membership.Probe
	Hints  []Hint
}

// Config holds the settings of a Machine. Zero durations get the defaults.
type Config struct {
	Self membership.Identity
	Peer string
	Zone string
	// RelayPollInterval and PollOther are the periods at which relays and all others
	// read the row when nothing tells them of a change.
	RelayPollInterval time.Duration
	PollInterval time.Duration
	// ProbeInterval paces the dials to an owner that the view does not know.
	ProbeInterval time.Duration
	// RankDelay is how much longer each lower-ranked instance waits before it
	// assigns backend servers without a live owner.
	RankDelay time.Duration
	// RebalanceAfter is how long the view must be unchanged before backend
	// servers move for balance.
	RebalanceAfter time.Duration
	// RemoveAfter is how long a backend server must be missing from the
	// configuration before its owner removes it from the row.
	RemoveAfter time.Duration
	// FallbackDeadline stands for the deadline of a backend server that is not
	// configured.
	FallbackDeadline time.Duration
}

// Defaults of Config.
const (
	DefaultRelayPollInterval      = time.Second
	DefaultPollInterval      = time.Minute
	DefaultProbeInterval     = time.Second
	DefaultRankDelay      = 250 * time.Millisecond
	DefaultRebalanceAfter = 10 * time.Second
	DefaultRemoveAfter    = 10 * time.Second
	DefaultFallbackDeadline       = time.Minute
)

// checkEvery is how often the wanted owners are worked out anew without an
// event.
const checkEvery = time.Second

// maxClaimRank bounds the wait of the lowest-ranked instances.
const maxClaimRank = 8

func (c Config) withDefaults() Config {
	c.RelayPollInterval = cmp.Or(c.RelayPollInterval, DefaultRelayPollInterval)
	c.PollInterval = cmp.Or(c.PollInterval, DefaultPollInterval)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.RankDelay = cmp.Or(c.RankDelay, DefaultRankDelay)
	c.RebalanceAfter = cmp.Or(c.RebalanceAfter, DefaultRebalanceAfter)
	c.RemoveAfter = cmp.Or(c.RemoveAfter, DefaultRemoveAfter)
	c.FallbackDeadline = cmp.Or(c.FallbackDeadline, DefaultFallbackDeadline)
	return c
}
