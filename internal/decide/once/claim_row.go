package once

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Limits of a row of claims.
const (
	// MaxClaimsPerRow is the largest number of claims in one row.
	MaxClaimsPerRow = 4096
	// ClaimRetentionMargin is how long a claim is kept after its key expired.
	// It covers clock skew and attempts that are still in transit.
	ClaimRetentionMargin = 2 * time.Minute
)

// Claim assigns a home to a key chosen by a caller.
type Claim struct {
	// Key is the hash of the key's text; see ClaimKey.
	Key string `json:"key"`
	// Owner is the home of the key.
	Owner Home `json:"owner"`
	// ExpiryMS is the key's expiry in Unix milliseconds.
	ExpiryMS int64 `json:"expiry_ms"`
}

// Expiry returns the time at which the claimed key expires.
func (c Claim) Expiry() time.Time { return time.UnixMilli(c.ExpiryMS).UTC() }

// ClaimKey returns a 128-bit hash of a key's text, in hexadecimal.
func ClaimKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:16])
}

// shardOf returns the index of the row that holds the claim, in [0, shards).
// claimKey is a result of ClaimKey.
func shardOf(claimKey string, shards uint32) uint32 {
	b, err := hex.DecodeString(claimKey[:8])
	if err != nil {
		return 0
	}
	return binary.BigEndian.Uint32(b) % shards
}

// ClaimRow is the value of one row of claims.
type ClaimRow struct {
	// Claims is sorted by key.
	Claims []Claim `json:"claims"`
}

// Merge returns the row with the batch added and without the claims whose
// retention has ended, the effective claim of each key of the batch, and whether
// the row must be written before these claims take effect. A key for which the
// row is full has no effective claim. A claim that is already in the row stays
// unchanged. Merge is therefore idempotent: after a lost reply to a write, the
// caller reads the row again and merges the same batch into it.
func (r ClaimRow) Merge(batch []Claim, now time.Time) (next ClaimRow, effective []Claim, write bool) {
	for _, c := range r.Claims {
		if now.Before(c.Expiry().Add(ClaimRetentionMargin)) {
			next.Claims = append(next.Claims, c)
		}
	}
	for _, c := range batch {
		i, found := slices.BinarySearchFunc(next.Claims, c.Key, func(e Claim, key string) int {
			return strings.Compare(e.Key, key)
		})
		switch {
		case found:
			effective = append(effective, next.Claims[i])
		case len(next.Claims) < MaxClaimsPerRow:
			next.Claims = slices.Insert(next.Claims, i, c)
			effective = append(effective, c)
			write = true
		}
	}
	slices.SortFunc(effective, func(a, b Claim) int { return cmp.Compare(a.Key, b.Key) })
	return next, effective, write
}
