package platform_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

func TestLostReplyIsSettled(t *testing.T) {
	s, c, _ := start(t, api.Options{})
	require.NoError(t, s.SetFaults(platform.Faults{LoseReplies: 1}))
	rows, err := c.Commit(t.Context(), api.Txn{ID: "a", Writes: []api.Write{put("r", 0, "1")}})
	require.NoError(t, err)
	require.Equal(t, "a", rows[0].ChangeID)
	require.Equal(t, uint64(1), s.Stats().Commits, "written once")
	require.Equal(t, uint64(1), c.Stats().Resolved)
}

func TestLostRequestIsSentAgain(t *testing.T) {
	s, c, _ := start(t, api.Options{})
	require.NoError(t, s.SetFaults(platform.Faults{LoseRequests: 1}))
	_, err := c.Commit(t.Context(), api.Txn{ID: "a", Writes: []api.Write{put("r", 0, "1")}})
	require.NoError(t, err)
	require.Equal(t, uint64(1), s.Stats().Commits)
}

func TestReplyLostWhenNothingAnswers(t *testing.T) {
	s, c, _ := start(t, api.Options{MaxAttempts: 1})
	require.NoError(t, s.SetFaults(platform.Faults{LoseReplies: 1}))
	_, err := c.Commit(t.Context(), api.Txn{ID: "a", Writes: []api.Write{put("r", 0, "1")}})
	var lost *api.ReplyLost
	require.ErrorAs(t, err, &lost)
	require.ErrorContains(t, err, "read its rows back")
}

func TestDownIsUnavailable(t *testing.T) {
	for _, down := range []platform.Down{platform.DownRefuse, platform.DownUnavailable} {
		t.Run(string(down), func(t *testing.T) {
			s, c, _ := start(t, api.Options{})
			require.NoError(t, s.SetFaults(platform.Faults{Down: down}))
			var down *api.Unavailable
			_, err := c.Commit(t.Context(), api.Txn{ID: "a", Writes: []api.Write{put("r", 0, "1")}})
			require.ErrorAs(t, err, &down, "a commit that reached nothing is not of unknown outcome")
			_, err = c.ReadRow(t.Context(), "r")
			require.ErrorAs(t, err, &down)

			require.NoError(t, s.SetFaults(platform.Faults{}))
			c2, err := api.New([]string{s.URL()}, api.Options{})
			require.NoError(t, err)
			_, err = c2.Commit(t.Context(), api.Txn{ID: "b", Writes: []api.Write{put("r", 0, "1")}})
			require.NoError(t, err, "up again on the same address, nothing written before")
		})
	}
}

func TestBreakerStopsCalls(t *testing.T) {
	s, c, _ := start(t, api.Options{BreakerThreshold: 2, BreakerOpenTime: time.Hour})
	require.NoError(t, s.SetFaults(platform.Faults{Down: platform.DownUnavailable}))
	for range 5 {
		_, err := c.Instances(t.Context())
		require.Error(t, err)
	}
	require.Equal(t, uint64(2), c.Stats().Attempts)
	require.Equal(t, uint64(2), s.Stats().Refused)
}

func TestSlowIsBoundedByTheTimeout(t *testing.T) {
	s, c, _ := start(t, api.Options{Timeout: 5 * time.Millisecond, MaxAttempts: 1})
	require.NoError(t, s.SetFaults(platform.Faults{DelayMS: int(time.Hour / time.Millisecond)}))
	_, err := c.ReadRow(t.Context(), "r")
	var down *api.Unavailable
	require.ErrorAs(t, err, &down)
	_, err = c.Commit(t.Context(), api.Txn{ID: "a", Writes: []api.Write{put("r", 0, "1")}})
	var lost *api.ReplyLost
	require.ErrorAs(t, err, &lost, "a commit that timed out may have been written")
}

func TestStaleReads(t *testing.T) {
	s, c, _ := start(t, api.Options{})
	for i, v := range []string{"1", "2", "3"} {
		_, err := c.Commit(t.Context(), api.Txn{ID: v, Writes: []api.Write{put("r", uint64(i), v)}})
		require.NoError(t, err)
	}
	require.NoError(t, s.SetFaults(platform.Faults{StaleVersions: 2, StaleReads: 1}))
	for _, want := range []uint64{1, 3} {
		row, err := c.ReadRow(t.Context(), "r")
		require.NoError(t, err)
		require.Equal(t, want, row.Version)
	}
}
