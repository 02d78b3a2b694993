// Package linkcap divides the cap of a link between two regions into rights of
// the source region's entry instances. The requests that all instances start
// together never exceed the cap, and no request needs a message between
// instances.
//
// The rights are stored in one ledger row per source region, which is changed
// by compare-and-set. A holder reduces its usable rights before it writes a
// smaller share, and uses a larger share only after it has read it in the row.
// Between writes, and while the table is down, unused rights move directly
// between partners, which the ledger names. The sender reduces its usable
// rights first, then sends the receiver the total of all rights it has ever
// sent to it. Totals make the messages idempotent: a duplicate or late message
// changes nothing, and the next message makes up for a lost one.
//
// A holder lends only its own rights and returns what it borrowed; it never
// lends borrowed rights. After evidence that a holder is dead, each of its
// partners settles in the ledger what it borrowed from that holder. When all
// partners have settled, and the dead holder's requests can no longer be
// running, the remaining rights are granted to others. Rights are never
// reclaimed by a timeout alone.
//
// The rate is limited by a count as well: each started request holds one unit
// of rate for exactly RateWindow. So no window of that length contains more
// starts than rights, even when rights move between instances within the
// window. A token bucket with a burst cannot guarantee this.
package linkcap

import (
	"cmp"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// RowPrefix followed by a region's name is the name of the region's ledger row.
const RowPrefix = "links/"

// RateWindow is the period over which the rate cap is counted.
const RateWindow = time.Second

// Rights is an amount of capacity on a link.
type Rights struct {
	// InFlight is the maximum number of requests in flight.
	InFlight int64 `json:"in_flight"`
	// Rate is the maximum number of requests started per second.
	Rate int64 `json:"rate"`
}

func (r Rights) add(o Rights) Rights { return Rights{r.InFlight + o.InFlight, r.Rate + o.Rate} }
func (r Rights) sub(o Rights) Rights { return Rights{r.InFlight - o.InFlight, r.Rate - o.Rate} }
func (r Rights) min(o Rights) Rights {
	return Rights{min(r.InFlight, o.InFlight), min(r.Rate, o.Rate)}
}
func (r Rights) max(o Rights) Rights {
	return Rights{max(r.InFlight, o.InFlight), max(r.Rate, o.Rate)}
}
func (r Rights) positive() Rights { return r.max(Rights{}) }
func (r Rights) isZero() bool     { return r == Rights{} }

// scale returns r*num/den, rounded down. A dimension in which num is not below
// den stays as it is.
func (r Rights) scale(num, den Rights) Rights {
	return Rights{scaleOne(r.InFlight, num.InFlight, den.InFlight), scaleOne(r.Rate, num.Rate, den.Rate)}
}

func scaleOne(v, num, den int64) int64 {
	if num >= den {
		return v
	}
	return v * num / den
}

// LinkRights is an amount of rights on the link to one region.
type LinkRights struct {
	To string `json:"to"`
	Rights
}

// Ledger is the decoded value of a region's row.
type Ledger struct {
	// Caps holds, per link, the larger of the configured cap and the sum of the
	// holders' rights at the time of the write. Sorted by target region. The
	// holders' rights never add up to more, and a lower configured cap scales
	// the usable rights of every holder down.
	Caps []LinkRights `json:"caps"`
	// Holders is sorted by identity.
	Holders []Holder `json:"holders"`
}

// Holder is the share of one incarnation of an instance.
type Holder struct {
	membership.Identity
	// Peer is the holder's peer address. It is dialed for evidence of the
	// holder's death.
	Peer string `json:"peer"`
	// Links is sorted by target region.
	Links []LinkRights `json:"links"`
	// Partners are the holders that may exchange rights with this one. The
	// relation is stored on both sides. Sorted by identity.
	Partners []membership.Identity `json:"partners,omitempty"`
}

// Transfer informs a partner of the total of rights ever sent to it on a link.
// It is sent again until Machine.TransferAcked is called for it.
type Transfer struct {
	To    membership.Identity
	Link  string
	Total Rights
}

// RightsRequest asks a partner for unused rights on a link.
type RightsRequest struct {
	To   membership.Identity
	Link string
	Rights
}

// Ready holds the actions that the caller must perform after an event.
type Ready struct {
	// Read is set when the row must be read. The outcome goes to Machine.Row or
	// Machine.ReadFailed.
	Read bool
	// Write is a transaction to send. The outcome goes to Machine.WriteReplied,
	// or to Machine.WriteFailed when it is not known.
	Write          *platform.Txn
	Transfers      []Transfer
	RightsRequests []RightsRequest
	Probes         []membership.Probe
	// RightsLost is set when other instances removed this live instance from
	// the ledger. It has no rights until it is granted new ones.
	RightsLost bool
}

// Config holds the settings of a Machine. Zero values of the fields below
// Region are replaced by the defaults.
type Config struct {
	// Self is the identity of this incarnation.
	Self membership.Identity
	// Peer is the peer address of this instance.
	Peer string
	// Region is the source region of the links.
	Region string
	// MaxHolders bounds the number of live holders, and with it the size of the
	// row. An instance that is not a holder has no rights and forwards requests
	// to one that is.
	MaxHolders int
	// PollInterval is the interval between reads of the row when no hint
	// announces a change.
	PollInterval time.Duration
	// ProbeInterval is the minimum interval between dials to a holder that is
	// missing from the membership view.
	ProbeInterval time.Duration
	// RankDelay is how much longer each lower-ranked instance waits before it
	// grants free rights.
	RankDelay time.Duration
	// ResendAfter is the time after which an unacknowledged transfer is sent
	// again.
	ResendAfter time.Duration
	// RightsRequestInterval is the minimum interval between requests for rights
	// on one link.
	RightsRequestInterval time.Duration
}

// Defaults of Config.
const (
	DefaultMaxHolders            = 64
	DefaultPollInterval          = 30 * time.Second
	DefaultProbeInterval         = time.Second
	DefaultRankDelay             = 250 * time.Millisecond
	DefaultResendAfter           = time.Second
	DefaultRightsRequestInterval = 200 * time.Millisecond
)

const (
	// maxRank bounds the wait of the lowest-ranked instances.
	maxRank = 8
	// minPartners is the number of partners that a holder is given. Other
	// holders may choose it as well, up to maxPartners.
	minPartners = 2
	maxPartners = 6
	// recomputeInterval is how often the next ledger is computed without an
	// event, because the amount of spare rights changes with the load.
	recomputeInterval = time.Second
)

func (c Config) withDefaults() Config {
	c.MaxHolders = cmp.Or(c.MaxHolders, DefaultMaxHolders)
	c.PollInterval = cmp.Or(c.PollInterval, DefaultPollInterval)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.RankDelay = cmp.Or(c.RankDelay, DefaultRankDelay)
	c.ResendAfter = cmp.Or(c.ResendAfter, DefaultResendAfter)
	c.RightsRequestInterval = cmp.Or(c.RightsRequestInterval, DefaultRightsRequestInterval)
	return c
}
