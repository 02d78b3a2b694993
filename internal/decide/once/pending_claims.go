package once

import (
	"cmp"
	"slices"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// pendingClaims holds the attempts of caller-chosen keys whose home is not known
// yet, and the claims for these keys.
type pendingClaims struct {
	// shards is the number of rows that hold claims.
	shards uint32
	// attemptsByKey holds the attempts that wait for a claim, by Claim.Key and
	// in order of arrival.
	attemptsByKey map[string][]Arrive
	// waiting is the number of attempts in attemptsByKey.
	waiting int
	// inProgress holds the batch that was sent for a shard.
	inProgress map[uint32][]Claim
	// nextBatch holds the claims of a shard that wait until the batch in
	// progress has ended.
	nextBatch map[uint32][]Claim
}

func newPendingClaims(shards uint32) pendingClaims {
	return pendingClaims{
		shards: shards, attemptsByKey: map[string][]Arrive{},
		inProgress: map[uint32][]Claim{}, nextBatch: map[uint32][]Claim{},
	}
}

// removeAttempt removes a waiting attempt and reports whether it was there. The
// claim of its key continues.
func (c *pendingClaims) removeAttempt(a AttemptID) bool {
	for key, waiting := range c.attemptsByKey {
		i := slices.IndexFunc(waiting, func(w Arrive) bool { return w.Attempt == a })
		if i >= 0 {
			c.attemptsByKey[key] = slices.Delete(waiting, i, i+1)
			c.waiting--
			return true
		}
	}
	return false
}

// takeAttempts removes and returns the attempts that wait for the claim.
func (c *pendingClaims) takeAttempts(key string) []Arrive {
	waiting := c.attemptsByKey[key]
	delete(c.attemptsByKey, key)
	c.waiting -= len(waiting)
	return waiting
}

// takeAllAttempts removes and returns all waiting attempts in order of their
// ids. It also drops the claims that were not sent yet.
func (c *pendingClaims) takeAllAttempts() []Arrive {
	var all []Arrive
	for _, waiting := range c.attemptsByKey {
		all = append(all, waiting...)
	}
	slices.SortFunc(all, func(a, b Arrive) int { return cmp.Compare(a.Attempt, b.Attempt) })
	clear(c.attemptsByKey)
	c.waiting = 0
	clear(c.nextBatch)
	return all
}

// claimKey adds an attempt to those that wait for the claim of its key, and
// starts the claim if the attempt is the key's first.
func (m *Machine) claimKey(a Arrive) {
	if m.pendingClaims.waiting >= MaxUnroutedAttempts {
		m.respond(a.Attempt, retryableUnknown(outcome.KindOverloaded, "too many attempts wait for the claims of their keys"))
		return
	}
	c := Claim{
		Key: ClaimKey(a.Key), Owner: m.cfg.Self,
		ExpiryMS: m.now.Add(m.cfg.ClaimTTL).UnixMilli(),
	}
	waiting, known := m.pendingClaims.attemptsByKey[c.Key]
	m.pendingClaims.attemptsByKey[c.Key] = append(waiting, a)
	m.pendingClaims.waiting++
	if known {
		m.emit(Join{Attempt: a.Attempt, Key: a.Key})
		return
	}
	shard := shardOf(c.Key, m.pendingClaims.shards)
	m.pendingClaims.nextBatch[shard] = append(m.pendingClaims.nextBatch[shard], c)
	m.sendNextBatch(shard)
}

// sendNextBatch sends the waiting claims of a shard unless a batch of the shard
// is in progress.
func (m *Machine) sendNextBatch(shard uint32) {
	batch := m.pendingClaims.nextBatch[shard]
	if len(m.pendingClaims.inProgress[shard]) > 0 || len(batch) == 0 {
		return
	}
	delete(m.pendingClaims.nextBatch, shard)
	m.pendingClaims.inProgress[shard] = batch
	m.emit(ClaimBatch{Shard: shard, Claims: batch})
}

// claimResult routes the attempts that waited for the claims of a batch and
// sends the next batch of the shard.
func (m *Machine) claimResult(e ClaimResult) {
	batch := m.pendingClaims.inProgress[e.Shard]
	delete(m.pendingClaims.inProgress, e.Shard)
	for _, c := range batch {
		waiting := m.pendingClaims.takeAttempts(c.Key)
		i := slices.IndexFunc(e.Claims, func(s Claim) bool { return s.Key == c.Key })
		for _, a := range waiting {
			switch {
			case e.Failed:
				m.respond(a.Attempt, retryableUnknown(outcome.KindTableDown, "the key could not be claimed in the table service"))
			case i < 0:
				m.respond(a.Attempt, retryableUnknown(outcome.KindOverloaded, "the table row for the claim of the key is full"))
			default:
				m.route(a, e.Claims[i].Owner, e.Claims[i].Expiry())
			}
		}
	}
	m.sendNextBatch(e.Shard)
}
