package platform_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

// start opens a stand-in on loopback with a clock of its own, and a client
// that retries without waiting.
func start(t *testing.T, opts api.Options) (*platform.Server, *api.Client, *time.Time) {
	t.Helper()
	now := time.Unix(0, 0)
	s := platform.New(platform.Config{
		Addr: "127.0.0.1:0", Admin: "127.0.0.1:0", ListLag: time.Second,
		Now: func() time.Time { return now },
	})
	require.NoError(t, s.Open())
	t.Cleanup(s.Close)
	opts.InitialBackoff = time.Nanosecond
	c, err := api.New([]string{s.URL()}, opts)
	require.NoError(t, err)
	return s, c, &now
}

func put(row string, expect uint64, value string) api.Write {
	return api.Write{Row: row, Expect: expect, Value: []byte(value)}
}

func TestCompareAndSet(t *testing.T) {
	_, c, _ := start(t, api.Options{})
	ctx := t.Context()
	rows, err := c.Commit(ctx, api.Txn{ID: "a", Writes: []api.Write{put("zone/pos1", 0, "1"), put("head", 0, "2")}})
	require.NoError(t, err)
	require.Equal(t, uint64(1), rows[0].Version)

	_, err = c.Commit(ctx, api.Txn{ID: "b", Writes: []api.Write{put("head", 1, "3"), put("zone/pos1", 0, "9")}})
	var conflict *api.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "zone/pos1", conflict.Row.Name)
	require.Equal(t, "a", conflict.Row.ChangeID)

	row, err := c.ReadRow(ctx, "head")
	require.NoError(t, err)
	require.Equal(t, uint64(1), row.Version, "nothing of the second transaction was written")
	_, err = c.ReadRow(ctx, "none")
	var missing *api.NotFound
	require.ErrorAs(t, err, &missing)
}

func TestVersionsRiseAcrossDeletion(t *testing.T) {
	_, c, _ := start(t, api.Options{})
	ctx := t.Context()
	_, err := c.Commit(ctx, api.Txn{ID: "a", Writes: []api.Write{put("r", 0, "1")}})
	require.NoError(t, err)
	_, err = c.Commit(ctx, api.Txn{ID: "b", Writes: []api.Write{{Row: "r", Expect: 1, Delete: true}}})
	require.NoError(t, err)
	rows, err := c.Commit(ctx, api.Txn{ID: "c", Writes: []api.Write{put("r", 0, "2")}})
	require.NoError(t, err)
	require.Equal(t, uint64(3), rows[0].Version)
}

func TestObjectsAreCheckedByDigest(t *testing.T) {
	_, c, _ := start(t, api.Options{})
	digest, err := c.PutObject(t.Context(), []byte("estate"))
	require.NoError(t, err)
	body, err := c.GetObject(t.Context(), digest)
	require.NoError(t, err)
	require.Equal(t, "estate", string(body))
	_, err = c.GetObject(t.Context(), api.Digest([]byte("other")))
	var missing *api.NotFound
	require.ErrorAs(t, err, &missing)
}

func TestInstanceListLagsAndFreezes(t *testing.T) {
	s, c, now := start(t, api.Options{})
	list := func() []api.Instance {
		l, err := c.Instances(t.Context())
		require.NoError(t, err)
		return l
	}
	in := api.Instance{ID: "e1", Kind: api.KindEntry, Zone: "pos1", State: api.InstanceLive}
	s.PutInstance(in)
	require.Empty(t, list())
	*now = now.Add(time.Second)
	require.Equal(t, []api.Instance{in}, list())

	require.NoError(t, s.SetFaults(platform.Faults{FreezeList: true}))
	s.RemoveInstance("e1")
	*now = now.Add(time.Hour)
	require.Len(t, list(), 1, "a frozen list keeps what was seen")
	require.NoError(t, s.SetFaults(platform.Faults{}))
	require.Empty(t, list())
}

// TestWriterThatKnowsNothing: a client that has not read a row writes it at the
// version that it was told of, and no other.
func TestWriterThatKnowsNothing(t *testing.T) {
	s, c, _ := start(t, api.Options{})
	ctx := t.Context()
	_, err := c.Commit(ctx, api.Txn{ID: "a", Writes: []api.Write{put("r", 0, "1")}})
	require.NoError(t, err)
	other, err := api.New([]string{s.URL()}, api.Options{})
	require.NoError(t, err)
	rows, err := other.Commit(ctx, api.Txn{ID: "b", Writes: []api.Write{put("r", 1, "2")}})
	require.NoError(t, err)
	require.Equal(t, uint64(2), rows[0].Version)

	var conflict *api.Conflict
	_, err = c.Commit(ctx, api.Txn{ID: "c", Writes: []api.Write{put("r", 1, "3")}})
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, api.Row{Name: "r", Version: 2, ChangeID: "b", Value: []byte("2")}, conflict.Row)
	_, err = other.Commit(ctx, api.Txn{ID: "d", Writes: []api.Write{put("absent", 5, "1")}})
	require.ErrorAs(t, err, &conflict)
	require.Zero(t, conflict.Row.Version)
	require.Equal(t, uint64(2), s.Stats().Commits)
}
