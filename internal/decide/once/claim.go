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

// Limits of a claim row.
const (
	// MaxClaimsPerRow is the most claims that one row holds.
	MaxClaimsPerRow = 4096
	// ClaimRetentionMargin is how long a claim outlives its key, for clocks that differ
	// and attempts that are still on their way.
	ClaimRetentionMargin = 2 * time.Minute
)

// Claim gives a key chosen by a caller its home.
type Claim struct {
	// Key is the hash of the key's text, see ClaimKey.
	Key   string `json:"key"`
	Owner Home   `json:"owner"`
	// ExpiryMS is the key's expiry in milliseconds since 1970.
	ExpiryMS int64 `json:"expiry_ms"`
}

// Expiry returns when the claimed key expires.
func (c Claim) Expiry() time.Time { return time.UnixMilli(c.ExpiryMS).UTC() }

// ClaimKey returns the 128-bit hash of a key's text in hexadecimal.
func ClaimKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:16])
}

// shardOf returns the row that holds the claim, in [0, shards).
func shardOf(claimKey string, shards uint32) uint32 {
	b, err := hex.DecodeString(claimKey[:8])
	if err != nil {
		return 0
	}
	return binary.BigEndian.Uint32(b) % shards
}

// ClaimRow is the value of one row of claims, sorted by key.
type ClaimRow struct {
	Claims []Claim `json:"claims"`
}

// Merge returns the row with the batch added and with claims dropped whose
// time has passed, the claim that stands for each key of the batch, and whether
// the row has to be written before those stand. A claim that is in the row
// already stands as it is, so a batch whose reply was lost is settled by
// merging it again into the row as read back.
func (r ClaimRow) Merge(batch []Claim, now time.Time) (next ClaimRow, stand []Claim, write bool) {
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
			stand = append(stand, next.Claims[i])
		case len(next.Claims) < MaxClaimsPerRow:
			next.Claims = slices.Insert(next.Claims, i, c)
			stand = append(stand, c)
			write = true
		}
	}
	slices.SortFunc(stand, func(a, b Claim) int { return cmp.Compare(a.Key, b.Key) })
	return next, stand, write
}
