// Package linkcap decides how the cap of a link between regions is split into
// rights of the source region's entry instances, so that what they start adds
// up to no more than the cap without a word between them per request.
//
// Rights stand in one ledger row per source region, changed by
// compare-and-set. A holder lowers its usable rights before it writes a smaller
// share, and uses a larger one only after it has read it. Between writes, and
// while the table is down, unused rights move straight between partners that
// the ledger names: the giver lowers its usable rights, then tells the receiver
// the total of all it ever gave. Totals make messages idempotent: a repeated or
// late one changes nothing, and a lost one is made good by the next.
//
// A holder lends only rights of its own and gives back what it borrowed; it
// never lends on. After evidence of a holder's death each of its partners
// settles with the ledger what it got from the dead one; when all have, and the
// work of the dead may no longer run, the rest is granted to others. Time alone
// reclaims nothing.
//
// The rate is kept as a count too: a start holds one unit of rate for exactly
// RateWindow. So no window of that length holds more starts than rights, also
// when rights move between instances inside it, which a token bucket with a
// burst cannot promise.
package linkcap

import (
	"cmp"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// RowPrefix and a region's name make the name of the region's ledger row.
const RowPrefix = "links/"

// RateWindow is the time over which the rate cap is counted.
const RateWindow = time.Second

// Rights is an amount of what a link carries.
type Rights struct {
	// InFlight is the most requests in flight at once.
	InFlight int64 `json:"in_flight"`
	// Rate is the most requests started per second.
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

// scale returns the share num/den of r, rounded down, in each dimension where
// num is below den.
func (r Rights) scale(num, den Rights) Rights {
	return Rights{scaleOne(r.InFlight, num.InFlight, den.InFlight), scaleOne(r.Rate, num.Rate, den.Rate)}
}

func scaleOne(v, num, den int64) int64 {
	if num >= den {
		return v
	}
	return v * num / den
}

// LinkRights is an amount on the link to one region.
type LinkRights struct {
	To string `json:"to"`
	Rights
}

// Ledger is the value of a region's row.
type Ledger struct {
	// Caps is the most that was ever granted per link, sorted by target region.
	// The holders' rights never add up to more, and a lower configured cap
	// scales every holder down.
	Caps []LinkRights `json:"caps"`
	// Holders is sorted by identity.
	Holders []Holder `json:"holders"`
}

// Holder is the share of one incarnation.
type Holder struct {
	membership.Identity
	// Peer is the holder's peer address, where evidence of its death is sought.
	Peer string `json:"peer"`
	// Links is sorted by target region.
	Links []LinkRights `json:"links"`
	// Partners may send rights to the holder and get some from it; the relation
	// is kept on both sides. Sorted.
	Partners []membership.Identity `json:"partners,omitempty"`
}

// Transfer tells a partner the total of rights ever sent to it on a link. It is
// sent again until Machine.Acked.
type Transfer struct {
	To    membership.Identity
	Link  string
	Total Rights
}

// RightsRequest asks a partner for unused rights.
type RightsRequest struct {
	To   membership.Identity
	Link string
	Rights
}

// Ready is what the caller has to do after an event.
type Ready struct {
	// Read is set when the row has to be read; see Machine.Row.
	Read bool
	// Write is a transaction to send; see Machine.Written.
	Write     *platform.Txn
	Transfers []Transfer
	RightsRequests     []RightsRequest
	Probes    []membership.Probe
	// RightsLost is set when others removed this instance from the ledger although it
	// lives; it holds no rights until it is granted new ones.
	RightsLost bool
}

// Config holds the settings of a Machine. Zero durations get the defaults.
type Config struct {
	Self   membership.Identity
	Peer   string
	Region string
	// MaxHolders bounds the live holders, and with them the row. An instance
	// that is none has no rights and forwards to one that is.
	MaxHolders int
	// PollInterval is the period at which the row is read when nothing tells of a
	// change.
	PollInterval time.Duration
	// ProbeInterval paces the dials to a holder that the view does not know.
	ProbeInterval time.Duration
	// RankDelay is how much longer each lower-ranked instance waits before it
	// grants free rights.
	RankDelay time.Duration
	// ResendAfter is when a transfer without an answer is sent again.
	ResendAfter time.Duration
	// RightsRequestInterval paces requests for rights on one link.
	RightsRequestInterval time.Duration
}

// Defaults of Config.
const (
	DefaultMaxHolders  = 64
	DefaultPollInterval        = 30 * time.Second
	DefaultProbeInterval  = time.Second
	DefaultRankDelay   = 250 * time.Millisecond
	DefaultResendAfter = time.Second
	DefaultRightsRequestInterval   = 200 * time.Millisecond
)

const (
	// maxClaimRank bounds the wait of the lowest-ranked instances.
	maxClaimRank = 8
	// wantedPartners is how many partners a holder sees to; others may choose
	// it too, up to maxPartners.
	wantedPartners = 2
	maxPartners    = 6
	// checkEvery is how often the next ledger is worked out anew without an
	// event, since spare rights change with the load.
	checkEvery = time.Second
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
