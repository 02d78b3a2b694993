package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/hrw"
)

// removedHold is how long an instance counts as a member after its removal from the table: it may
// be cut off and go on using its credits.
const removedHold = 30 * time.Second

// Member is an entry instance.
type Member struct{ Name, Zone string }

// members holds the entry instances that share the credits of accounts.
type members struct {
	// known holds those that count, and removed until when those count that have been removed
	// from the table.
	known   map[string]Member
	removed map[string]time.Time
	// names holds the names of those that count, sorted.
	names []string
	// generation changes with names.
	generation int
	// rankings holds the first members of accounts.
	rankings map[string][]string
}

func newMembers() *members {
	return &members{known: map[string]Member{}, removed: map[string]time.Time{}, rankings: map[string][]string{}}
}

// set replaces the table.
func (s *members) set(list []Member, now time.Time) {
	listed := map[string]bool{}
	for _, m := range list {
		listed[m.Name] = true
		s.known[m.Name] = m
		delete(s.removed, m.Name)
	}
	for name := range s.known {
		if _, held := s.removed[name]; !listed[name] && !held {
			s.removed[name] = now.Add(removedHold)
		}
	}
	s.expire(now)
	s.index()
}

// expire forgets the members that were removed long ago.
func (s *members) expire(now time.Time) {
	expired := false
	for name, until := range s.removed {
		if !now.Before(until) {
			delete(s.removed, name)
			delete(s.known, name)
			expired = true
		}
	}
	if expired {
		s.index()
	}
}

// index computes names.
func (s *members) index() {
	names := slices.Sorted(maps.Keys(s.known))
	if !slices.Equal(names, s.names) {
		s.names = names
		s.generation++
		clear(s.rankings)
	}
}

// minPerHolder is the number of credits that each holder has of an account that has few. An
// instance that asks a holder then finds a free one more often.
const minPerHolder = 8

// holderCount returns how many members have credits of an account.
func (s *members) holderCount(credits int) int {
	return min(len(s.names), max(1, credits/minPerHolder))
}

// share returns how many of the credits of an account a member has. The members that rank first for
// the account hold them, equally many each, and the first of these have one of the rest.
func (s *members) share(name, account string, credits int) int {
	if _, ok := s.known[name]; !ok {
		return 0
	}
	holders := s.holderCount(credits)
	equal, rest := credits/holders, credits%holders
	switch rank := s.rank(name, account); {
	case rank < rest:
		return equal + 1
	case rank < holders:
		return equal
	}
	return 0
}

// rank returns the number of members that rank before one for an account.
func (s *members) rank(name, account string) int {
	own, rank := hrw.Fraction(account, name), 0
	for _, other := range s.names {
		if f := hrw.Fraction(account, other); f > own || f == own && other < name {
			rank++
		}
	}
	return rank
}

// maxRankings bounds the accounts whose holders are kept.
const maxRankings = 256

// holders returns the members that have credits of an account.
func (s *members) holders(account string, credits int) []string {
	n := s.holderCount(credits)
	if n == len(s.names) {
		return s.names
	}
	ranking := s.rankings[account]
	if len(ranking) < n {
		if len(s.rankings) >= maxRankings {
			clear(s.rankings)
		}
		ranking = s.first(account, n)
		s.rankings[account] = ranking
	}
	return ranking[:n]
}

// first returns the n members that rank first for an account.
func (s *members) first(account string, n int) []string {
	type ranked struct {
		fraction float64
		name     string
	}
	all := make([]ranked, len(s.names))
	for i, name := range s.names {
		all[i] = ranked{hrw.Fraction(account, name), name}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.fraction, a.fraction), cmp.Compare(a.name, b.name))
	})
	names := make([]string, n)
	for i := range names {
		names[i] = all[i].name
	}
	return names
}
