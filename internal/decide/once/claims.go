package once

import (
	"cmp"
	"slices"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// claims holds the attempts of caller-chosen keys whose home is not known yet.
type claims struct {
	shards uint32
	// byKey holds the attempts that wait for each claim, in order of arrival.
	byKey map[string][]Arrive
	// waiting counts the attempts in byKey.
	waiting int
	// busy holds the batch that is in progress for a shard; next the keys that
	// wait for it to end.
	busy map[uint32][]Claim
	next map[uint32][]Claim
}

func newClaims(shards uint32) claims {
	return claims{
		shards: shards, byKey: map[string][]Arrive{},
		busy: map[uint32][]Claim{}, next: map[uint32][]Claim{},
	}
}

// drop removes a waiting attempt; its claim goes on.
func (c *claims) drop(a AttemptID) bool {
	for key, waiting := range c.byKey {
		i := slices.IndexFunc(waiting, func(w Arrive) bool { return w.Attempt == a })
		if i >= 0 {
			c.byKey[key] = slices.Delete(waiting, i, i+1)
			c.waiting--
			return true
		}
	}
	return false
}

// take removes and returns the attempts that wait for a claim.
func (c *claims) take(key string) []Arrive {
	waiting := c.byKey[key]
	delete(c.byKey, key)
	c.waiting -= len(waiting)
	return waiting
}

// takeAll removes and returns all waiting attempts in order of their ids.
func (c *claims) takeAll() []Arrive {
	var all []Arrive
	for _, waiting := range c.byKey {
		all = append(all, waiting...)
	}
	slices.SortFunc(all, func(a, b Arrive) int { return cmp.Compare(a.Attempt, b.Attempt) })
	clear(c.byKey)
	c.waiting = 0
	clear(c.next)
	return all
}

// claim lets an attempt wait for the claim of its key.
func (m *Machine) claim(a Arrive) {
	if m.claims.waiting >= MaxUnroutedAttempts {
		m.answer(a.Attempt, resumable(outcome.KindOverloaded, "too many attempts wait for claims of their keys"))
		return
	}
	c := Claim{
		Key: ClaimKey(a.Key), Owner: m.cfg.Self,
		ExpiryMS: m.now.Add(m.cfg.ClaimTTL).UnixMilli(),
	}
	waiting, known := m.claims.byKey[c.Key]
	m.claims.byKey[c.Key] = append(waiting, a)
	m.claims.waiting++
	if known {
		m.emit(Join{Attempt: a.Attempt, Key: a.Key})
		return
	}
	shard := shardOf(c.Key, m.claims.shards)
	m.claims.next[shard] = append(m.claims.next[shard], c)
	m.sendClaims(shard)
}

// sendClaims sends what waits for a shard unless a batch is in progress.
func (m *Machine) sendClaims(shard uint32) {
	batch := m.claims.next[shard]
	if len(m.claims.busy[shard]) > 0 || len(batch) == 0 {
		return
	}
	delete(m.claims.next, shard)
	m.claims.busy[shard] = batch
	m.emit(ClaimBatch{Shard: shard, Claims: batch})
}

func (m *Machine) claimResult(e ClaimResult) {
	batch := m.claims.busy[e.Shard]
	delete(m.claims.busy, e.Shard)
	for _, c := range batch {
		waiting := m.claims.take(c.Key)
		i := slices.IndexFunc(e.Claims, func(s Claim) bool { return s.Key == c.Key })
		for _, a := range waiting {
			switch {
			case e.Failed:
				m.answer(a.Attempt, resumable(outcome.KindTableDown, "the key could not be claimed"))
			case i < 0:
				m.answer(a.Attempt, resumable(outcome.KindOverloaded, "the row for the key's claim is full"))
			default:
				m.route(a, e.Claims[i].Owner, e.Claims[i].Expiry())
			}
		}
	}
	m.sendClaims(e.Shard)
}
