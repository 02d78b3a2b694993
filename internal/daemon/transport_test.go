package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

// claimer is the transport of an instance before a table service whose calls
// are not repeated by the client.
func claimer(t *testing.T, store *platform.Server, id string) *transport {
	c, err := api.New([]string{store.URL()}, api.Options{MaxAttempts: 1, BreakerThreshold: 100})
	require.NoError(t, err)
	return &transport{platform: c, self: once.Home{Zone: "z", ID: id, Incarnation: 1}}
}

func batchOf(t *transport, keys ...string) once.ClaimBatch {
	b := once.ClaimBatch{Shard: 3}
	for _, k := range keys {
		b.Claims = append(b.Claims, once.Claim{Key: once.ClaimKey(k), Owner: t.self, ExpiryMS: time.Now().Add(time.Hour).UnixMilli()})
	}
	return b
}

func claimStore(t *testing.T) *platform.Server {
	store := platform.New(platform.Config{Addr: benchLoopback, Admin: benchLoopback})
	require.NoError(t, store.Open())
	t.Cleanup(store.Close)
	return store
}

func TestClaimWhoseReplyIsLost(t *testing.T) {
	store := claimStore(t)
	a := claimer(t, store, "a")
	require.NoError(t, store.SetFaults(platform.Faults{LoseReplies: 1}))
	batch := batchOf(a, "k")
	require.Equal(t, once.ClaimResult{Shard: 3, Claims: batch.Claims}, a.Claim(t.Context(), batch))
	require.Equal(t, uint64(1), store.Stats().Commits, "written once")
	require.NoError(t, store.SetFaults(platform.Faults{LoseRequests: 1}))
	batch = batchOf(a, "l")
	require.Equal(t, once.ClaimResult{Shard: 3, Claims: batch.Claims}, a.Claim(t.Context(), batch))
}

// TestClaimUnderStaleReads: another instance's claim that a stale read does not
// show still stands.
func TestClaimUnderStaleReads(t *testing.T) {
	store := claimStore(t)
	a, b := claimer(t, store, "a"), claimer(t, store, "b")
	require.Len(t, a.Claim(t.Context(), batchOf(a, "j")).Claims, 1)
	first := batchOf(a, "k")
	require.Equal(t, first.Claims, a.Claim(t.Context(), first).Claims)
	require.NoError(t, store.SetFaults(platform.Faults{StaleVersions: 1}))
	require.Equal(t, once.ClaimResult{Shard: 3, Claims: first.Claims}, b.Claim(t.Context(), batchOf(b, "k")))
}

func TestClaimWithTheTableDownIsFailed(t *testing.T) {
	store := claimStore(t)
	a := claimer(t, store, "a")
	require.NoError(t, store.SetFaults(platform.Faults{Down: platform.DownUnavailable}))
	require.Equal(t, once.ClaimResult{Shard: 3, Failed: true}, a.Claim(t.Context(), batchOf(a, "k")))
}
