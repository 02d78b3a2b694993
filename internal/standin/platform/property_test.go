package platform_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

// interposer runs a step before each attempt of the client under test.
type interposer struct {
	next  http.RoundTripper
	steps []func()
}

func (i *interposer) RoundTrip(r *http.Request) (*http.Response, error) {
	if len(i.steps) > 0 {
		i.steps[0]()
		i.steps = i.steps[1:]
	}
	return i.next.RoundTrip(r)
}

// TestCommitOutcomeIsTrue commits under random faults while others write and
// delete the same rows between its attempts. Whatever Commit says must agree
// with the table.
func TestCommitOutcomeIsTrue(t *testing.T) {
	s := platform.New(platform.Config{Addr: "127.0.0.1:0", Admin: "127.0.0.1:0"})
	require.NoError(t, s.Open())
	defer s.Close()
	pool := &http.Transport{}
	defer pool.CloseIdleConnections()
	other, err := api.New([]string{s.URL()}, api.Options{Transport: pool, InitialBackoff: time.Nanosecond})
	require.NoError(t, err)
	txns := 0
	rapid.Check(t, func(rt *rapid.T) {
		txns++
		rows := []string{fmt.Sprint("a", txns), fmt.Sprint("b", txns)}
		id, seen := fmt.Sprint("txn", txns), false
		look := func() {
			for _, name := range rows {
				row, err := other.ReadRow(t.Context(), name)
				seen = seen || err == nil && row.ChangeID == id
			}
		}
		write := func(name string, remove bool) {
			look()
			row, _ := other.ReadRow(t.Context(), name)
			_, err := other.Commit(t.Context(), api.Txn{ID: fmt.Sprint("other", txns, "-", row.Version), Writes: []api.Write{
				{Row: name, Expect: row.Version, Value: []byte(`1`), Delete: remove && row.Version > 0},
			}})
			require.NoError(t, err)
		}
		step := rapid.Custom(func(rt *rapid.T) func() {
			fault := rapid.SampledFrom([]platform.Faults{
				{}, {}, {LoseReplies: 1}, {LoseRequests: 1}, {Down: platform.DownUnavailable},
			}).Draw(rt, "fault")
			writes := rapid.SliceOfN(rapid.SampledFrom(rows), 0, 2).Draw(rt, "writes of others")
			remove := rapid.Bool().Draw(rt, "remove")
			return func() {
				require.NoError(t, s.SetFaults(platform.Faults{}))
				for _, name := range writes {
					write(name, remove)
				}
				require.NoError(t, s.SetFaults(fault))
			}
		})
		for _, name := range rapid.SliceOfN(rapid.SampledFrom(rows), 0, 3).Draw(rt, "first writes") {
			write(name, false)
		}
		txn := api.Txn{ID: id}
		for _, name := range rows {
			row, _ := other.ReadRow(t.Context(), name)
			txn.Writes = append(txn.Writes, api.Write{Row: name, Expect: row.Version, Value: []byte(`2`)})
		}
		tries := rapid.IntRange(1, 4).Draw(rt, "tries")
		via := &interposer{next: pool, steps: rapid.SliceOfN(step, tries, tries).Draw(rt, "steps")}
		c, err := api.New([]string{s.URL()}, api.Options{Transport: via, MaxAttempts: uint(tries), InitialBackoff: time.Nanosecond, BreakerThreshold: 100})
		require.NoError(t, err)

		_, err = c.Commit(t.Context(), txn)
		require.NoError(t, s.SetFaults(platform.Faults{}))
		look()
		var conflict *api.Conflict
		var down *api.Unavailable
		var lost *api.ReplyLost
		switch {
		case err == nil:
			require.True(rt, seen, "told written, but it was not")
		case errors.As(err, &conflict), errors.As(err, &down):
			require.False(rt, seen, "told not written, but it was: %v", err)
		default:
			require.ErrorAs(rt, err, &lost)
		}
	})
}
