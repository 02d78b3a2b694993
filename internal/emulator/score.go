package emulator

import (
	"slices"
	"time"
)

// windowLength is the length of the parts of a day whose worst ones count.
const windowLength = 2 * time.Second

// worstWindows is how many windows are the worst ones.
const worstWindows = 2

// Score is what a day was worth: credit earned by credit owed, each in [0,1].
type Score struct {
	// Whole is over all requests, Windows over the worst windows, Kind and Zone
	// over the worst kind of request and the worst zone of callers.
	Whole, Windows, Kind, Zone float64
	// Served, Refused and Failed are shares of the requests.
	Served, Refused, Failed float64
}

// Worth weighs the parts as users of the platform do.
func (s Score) Worth() float64 {
	return 0.28*s.Whole + 0.1*s.Windows + 0.13*s.Kind + 0.3*s.Zone + 0.14*s.Served
}

type account struct{ owed, earned float64 }

func (a account) share() float64 {
	if a.owed == 0 {
		return 1
	}
	return a.earned / a.owed
}

// tally counts credit.
type tally struct {
	whole                    account
	kinds, zones             map[string]*account
	windows                  map[time.Duration]*account
	owed, served, no, failed int
	settled                  map[*call]bool
}

func newTally() *tally {
	return &tally{
		kinds: map[string]*account{}, zones: map[string]*account{}, windows: map[time.Duration]*account{}, settled: map[*call]bool{},
	}
}

func accountOf[K comparable](m map[K]*account, key K) *account {
	if m[key] == nil {
		m[key] = &account{}
	}
	return m[key]
}

func (t *tally) each(c *call, do func(a *account)) {
	do(&t.whole)
	do(accountOf(t.kinds, c.kind.Name))
	do(accountOf(t.zones, c.zone))
	do(accountOf(t.windows, c.began/windowLength))
}

func (t *tally) owe(c *call) {
	t.owed++
	t.each(c, func(a *account) { a.owed += c.kind.Worth })
}

// settle reports whether the call was open.
func (t *tally) settle(c *call) bool {
	if t.settled[c] {
		return false
	}
	t.settled[c] = true
	return true
}

func (t *tally) answer(c *call, took time.Duration) {
	if !t.settle(c) {
		return
	}
	t.served++
	credit := c.kind.Worth
	if took > c.kind.Objective {
		credit = c.kind.LateWorth
	}
	t.each(c, func(a *account) { a.earned += credit })
}

func (t *tally) refuse(c *call) {
	if t.settle(c) {
		t.no++
	}
}

func (t *tally) fail(c *call) {
	if t.settle(c) {
		t.failed++
	}
}

func (t *tally) score() Score {
	s := Score{Whole: t.whole.share(), Kind: 1, Zone: 1}
	for _, a := range t.kinds {
		s.Kind = min(s.Kind, a.share())
	}
	for _, a := range t.zones {
		s.Zone = min(s.Zone, a.share())
	}
	var windows []float64
	for _, a := range t.windows {
		windows = append(windows, a.share())
	}
	slices.Sort(windows)
	worst := windows[:min(worstWindows, len(windows))]
	for _, share := range worst {
		s.Windows += share / float64(len(worst))
	}
	total := float64(max(1, t.owed))
	s.Served, s.Refused, s.Failed = float64(t.served)/total, float64(t.no)/total, float64(t.failed)/total
	return s
}
