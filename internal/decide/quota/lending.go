package quota

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

const (
	// horizon is the time for whose requests an instance borrows, and keepTime that for whose it keeps
	// credits when it lends.
	horizon  = 350 * time.Millisecond
	keepTime = time.Second
	// refillTime is the time for whose requests the credits that are left must suffice, else more
	// are asked for before they have run out.
	refillTime = 150 * time.Millisecond
	// askTimeout is the time after which an ask counts as failed. It covers a round trip to the
	// farthest region.
	askTimeout = 300 * time.Millisecond
	// dryTime is how long an instance is not asked again that had no credits, twice as long each
	// time in a row up to maxDryTime, which is also how long one is not asked that did not answer.
	dryTime    = 250 * time.Millisecond
	maxDryTime = 2 * time.Second
	// maxFruitless is the number of asks without credits in a row after which this instance pauses,
	// for minPause at first and twice as long each time, up to maxPause, and maxFruitlessAgain that
	// number after a pause. An account that is over its quota costs few messages so.
	maxFruitless      = 12
	maxFruitlessAgain = 3
	minPause          = 250 * time.Millisecond
	maxPause          = 2 * time.Second
	// maxPerDistance is the number of fruitless asks in a row from which on farther instances are
	// asked, and farTime how long that lasts.
	maxPerDistance = 4
	farTime        = 10 * time.Second
	// maxWanted bounds the credits of one ask.
	maxWanted = 256
)

// Ask is a message that asks another instance for credits.
type Ask struct {
	// Account is the name of the account, Lender that of the instance.
	Account, Lender string
	// Credits is how many are wanted.
	Credits int
	// Quota is the quota by which this instance asks.
	Quota traffic.Quota
}

// loan is a number of borrowed credits that can be used until a time.
type loan struct {
	count  int
	lapses time.Time
}

// at returns how many can be used at now.
func (l *loan) at(now time.Time) int {
	if !now.Before(l.lapses) {
		l.count = 0
	}
	return l.count
}

// add adds credits, which then all lapse with those that lapse first.
func (l *loan) add(lapses time.Time, count int, now time.Time) {
	if l.at(now) == 0 || lapses.Before(l.lapses) {
		l.lapses = lapses
	}
	if now.Before(l.lapses) {
		l.count += count
	}
}

// borrowing is what an instance has borrowed for one account, and what it knows of those that it
// may ask.
type borrowing struct {
	borrowed loan
	// askedUntil is when the ask that is under way counts as failed; zero if there is none.
	askedUntil time.Time
	// answered is when the newest answer arrived; zero if there was none.
	answered time.Time
	// fruitless counts the asks in a row that brought nothing. No further one is made until
	// pausedUntil.
	fruitless   int
	pause       time.Duration
	pausedUntil time.Time
	// lender is the instance that last lent something.
	lender string
	// nearest is the distance from which on instances are asked, and farSince when it became
	// greater.
	nearest  int
	farSince time.Time
	// dry holds those that are not asked, and that were not until lately.
	dry map[string]avoidance
}

// avoidance is the time in which an instance is not asked.
type avoidance struct {
	until  time.Time
	length time.Duration
}

// asking reports whether an ask is under way.
func (b *borrowing) asking(now time.Time) bool { return now.Before(b.askedUntil) }

// answerAge returns the age of the newest answer, negative if there was none.
func (b *borrowing) answerAge(now time.Time) time.Duration {
	if b.answered.IsZero() {
		return -1
	}
	return now.Sub(b.answered)
}

// useBorrowed uses a borrowed credit and reports whether there was one.
func (b *borrowing) useBorrowed(now time.Time) bool {
	if b.borrowed.at(now) == 0 {
		return false
	}
	b.borrowed.count--
	return true
}

// maxFruitless returns after how many asks in a row that bring nothing a pause begins.
func (b *borrowing) maxFruitless() int {
	if b.pause > 0 {
		return maxFruitlessAgain
	}
	return maxFruitless
}

// startPause begins a pause without asks.
func (b *borrowing) startPause(now time.Time) {
	b.pause = min(maxPause, max(minPause, 2*b.pause))
	b.pausedUntil, b.fruitless = now.Add(b.pause), 0
}

// ask returns the message that asks for credits, or nil if none may be sent now.
func (m *Machine) ask(a *traffic.Account, h *holding, now time.Time) *Ask {
	if h.asking(now) || now.Before(h.pausedUntil) {
		return nil
	}
	lender := m.chooseLender(a, h, now)
	if lender == "" {
		h.startPause(now)
		return nil
	}
	h.askedUntil = now.Add(askTimeout)
	wanted := int(h.demand.at(now) * horizon.Seconds())
	return &Ask{Account: a.Name, Lender: lender, Credits: min(maxWanted, max(1, wanted)), Quota: h.quota}
}

// Distances between instances.
const (
	sameZone = iota
	sameRegion
	otherRegion
	// lastResort is the distance of those that were of no use lately.
	lastResort
)

// distance returns how far the instances of a zone are.
func (m *Machine) distance(zone string) int {
	switch {
	case zone == m.cfg.Zone:
		return sameZone
	case m.cfg.RegionOf[zone] == m.cfg.Region:
		return sameRegion
	}
	return otherRegion
}

// chooseLender returns the instance to ask for credits: the one that lent last, else one of the
// nearest that have any. Different instances choose different ones. It returns an empty name if
// there is none.
func (m *Machine) chooseLender(a *traffic.Account, h *holding, now time.Time) string {
	if h.lender != "" && !now.Before(h.dry[h.lender].until) {
		return h.lender
	}
	if h.holders == nil {
		h.holders = m.members.holders(a.Name, m.credits(a.Quota))
	}
	if now.Sub(h.farSince) > farTime {
		h.nearest = sameZone
	}
	best, highest, bestDistance := "", -1.0, lastResort+1
	for _, name := range h.holders {
		if name == m.cfg.Instance || now.Before(h.dry[name].until) {
			continue
		}
		d := m.distance(m.members.known[name].Zone)
		if d < h.nearest {
			d = lastResort
		}
		if d > bestDistance {
			continue
		}
		if f := hrw.Fraction(m.cfg.Instance+" "+a.Name, name); d < bestDistance || f > highest {
			best, highest, bestDistance = name, f, d
		}
	}
	return best
}

// Lend returns the credits that this instance lends for an ask. It keeps what it expects to need
// itself, and lends nothing by a higher quota than that of the other instance, which may know a newer
// configuration.
func (m *Machine) Lend(a *traffic.Account, ask Ask, now time.Time) int {
	if a.Quota.PerSecond > ask.Quota.PerSecond || a.Quota.Burst > ask.Quota.Burst {
		return 0
	}
	h := m.holding(a, now)
	lent := max(0, min(ask.Credits, h.free-int(h.demand.at(now)*keepTime.Seconds())))
	h.free -= lent
	h.returning.add(now.Add(m.cfg.Bounds.Window+travelTime+loanTime), lent)
	return lent
}

// Answer is the end of an ask.
type Answer struct {
	// Credits is the number of credits that were lent.
	Credits int
	// Failed is set if no answer came.
	Failed bool
}

// Answered records the end of an ask that was sent at a time.
func (m *Machine) Answered(a *traffic.Account, ask Ask, answer Answer, sent, now time.Time) {
	h := m.holding(a, now)
	if ask.Quota != h.quota {
		return
	}
	h.askedUntil, h.answered = time.Time{}, now
	if answer.Credits > 0 {
		h.fruitless, h.lender = 0, ask.Lender
		if h.pause /= 2; h.pause < minPause {
			h.pause = 0
		}
		delete(h.dry, ask.Lender)
		h.borrowed.add(sent.Add(loanTime), answer.Credits, now)
		return
	}
	h.lender = ""
	h.avoid(ask.Lender, answer.Failed, now)
	h.fruitless++
	if h.fruitless%maxPerDistance == 0 && h.nearest < otherRegion {
		h.nearest, h.farSince = h.nearest+1, now
	}
	if h.fruitless >= h.maxFruitless() {
		h.startPause(now)
	}
}

// avoid notes an instance that has lent nothing.
func (b *borrowing) avoid(lender string, failed bool, now time.Time) {
	if b.dry == nil {
		b.dry = map[string]avoidance{}
	}
	for name, a := range b.dry {
		if now.Sub(a.until) > maxDryTime {
			delete(b.dry, name)
		}
	}
	length := min(maxDryTime, max(dryTime, 2*b.dry[lender].length))
	if failed {
		length = maxDryTime
	}
	b.dry[lender] = avoidance{until: now.Add(length), length: length}
}
