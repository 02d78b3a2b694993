package cli_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/cli"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

// Two operators apply from the same version at the same moment, while replies
// of the platform are lost: one is told that it is accepted, the other that it
// came second, and each round makes one version.
func TestTwoOperatorsAtOnce(t *testing.T) {
	const (
		rounds    = 20
		lostShare = 0.3
	)
	p := platform.New(platform.Config{Addr: "127.0.0.1:0", Admin: "127.0.0.1:0", Seed: 1})
	require.NoError(t, p.Open())
	defer p.Close()
	require.NoError(t, p.SetFaults(platform.Faults{LoseReplyShare: lostShare}))
	store, err := api.New([]string{p.URL()}, api.Options{})
	require.NoError(t, err)
	for round := range rounds {
		var (
			wait  sync.WaitGroup
			codes [2]int
			out   [2]bytes.Buffer
		)
		for i := range codes {
			id := fmt.Sprintf("change-%d-%d", round, i)
			o := cli.Options{Stdout: &out[i], Stderr: &out[i], Clock: newFakeClock(), NewID: func() string { return id }}
			wait.Go(func() {
				codes[i] = cli.Run(t.Context(), []string{
					"banyanctl", "--platform", p.URL(), "apply", "testdata/estate", "--expect-version", fmt.Sprint(round), "--author", id,
				}, o)
			})
		}
		wait.Wait()
		winner := 0
		if codes[1] == cli.ExitOK {
			winner = 1
		}
		require.Equal(t, cli.ExitOK, codes[winner], out[winner].String())
		require.Equal(t, cli.ExitConflict, codes[1-winner], out[1-winner].String())
		row, err := store.ReadRow(t.Context(), "config/head")
		require.NoError(t, err)
		require.Equal(t, uint64(round+1), row.Version)
		require.Equal(t, fmt.Sprintf("change-%d-%d", round, winner), row.ChangeID)
		require.Contains(t, out[1-winner].String(), "by "+fmt.Sprintf("change-%d-%d", round, winner))
	}
	require.NotZero(t, p.Stats().LostReplies)
}
