package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

// newClaimTransport returns the transport of an instance whose platform client
// doesn't retry.
func newClaimTransport(t *testing.T, store *platform.Server, id string) *keyTransport {
	c, err := api.New([]string{store.URL()}, api.Options{MaxAttempts: 1, BreakerThreshold: 100})
	require.NoError(t, err)
	return &keyTransport{platform: c, self: once.Home{Zone: "z", ID: id, Incarnation: 1}}
}

func newClaimBatch(t *keyTransport, keys ...string) once.ClaimBatch {
	b := once.ClaimBatch{Shard: 3}
	for _, k := range keys {
		b.Claims = append(b.Claims, once.Claim{Key: once.ClaimKey(k), Owner: t.self, ExpiryMS: time.Now().Add(time.Hour).UnixMilli()})
	}
	return b
}

func newClaimStore(t *testing.T) *platform.Server {
	store := platform.New(platform.Config{Addr: benchLoopback, Admin: benchLoopback})
	require.NoError(t, store.Open())
	t.Cleanup(store.Close)
	return store
}

// A claim must succeed, and be written only once, if the reply or the request of its
// write is lost.
func TestClaimWithLostReply(t *testing.T) {
	store := newClaimStore(t)
	a := newClaimTransport(t, store, "a")
	require.NoError(t, store.SetFaults(platform.Faults{LoseReplies: 1}))
	batch := newClaimBatch(a, "k")
	require.Equal(t, once.ClaimResult{Shard: 3, Claims: batch.Claims}, a.Claim(t.Context(), batch))
	require.Equal(t, uint64(1), store.Stats().Commits, "the claim must be written only once")
	require.NoError(t, store.SetFaults(platform.Faults{LoseRequests: 1}))
	batch = newClaimBatch(a, "l")
	require.Equal(t, once.ClaimResult{Shard: 3, Claims: batch.Claims}, a.Claim(t.Context(), batch))
}

// A claim of another instance must take precedence even if a stale read doesn't
// show it.
func TestClaimWithStaleRead(t *testing.T) {
	store := newClaimStore(t)
	a, b := newClaimTransport(t, store, "a"), newClaimTransport(t, store, "b")
	require.Len(t, a.Claim(t.Context(), newClaimBatch(a, "j")).Claims, 1)
	first := newClaimBatch(a, "k")
	require.Equal(t, first.Claims, a.Claim(t.Context(), first).Claims)
	require.NoError(t, store.SetFaults(platform.Faults{StaleVersions: 1}))
	require.Equal(t, once.ClaimResult{Shard: 3, Claims: first.Claims}, b.Claim(t.Context(), newClaimBatch(b, "k")))
}

func TestClaimFailsIfTableIsDown(t *testing.T) {
	store := newClaimStore(t)
	a := newClaimTransport(t, store, "a")
	require.NoError(t, store.SetFaults(platform.Faults{Down: platform.DownUnavailable}))
	require.Equal(t, once.ClaimResult{Shard: 3, Failed: true}, a.Claim(t.Context(), newClaimBatch(a, "k")))
}
