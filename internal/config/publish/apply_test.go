package publish

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/platform"
	standin "github.com/banyandeal/banyandeal/internal/standin/platform"
)

func applyMany(t *testing.T, s Store, from, to uint64) {
	for v := from; v < to; v++ {
		e := smallEstate(t, fmt.Sprintf("0.%d", 10+v))
		_, err := Apply(context.Background(), s, e, options("anna", fmt.Sprint("c", v+1), v))
		require.NoError(t, err)
	}
}

// A receiver that is up to maxDeltaChain versions behind fetches the deltas, and
// one that is further behind fetches the manifest.
func TestDistantReceiverFetchesManifest(t *testing.T) {
	for _, tc := range []struct {
		behind uint64
		want   string
	}{{maxDeltaChain, "delta 32->33"}, {maxDeltaChain + 1, "index"}} {
		s := newFakeStore()
		applyMany(t, s, 0, 1)
		m := &model{store: s, receivers: []*instance{{Receiver: NewReceiver(Platform)}}}
		m.collectFetches(0)
		r := m.receivers[0]
		answerAllFetches(m, r)
		require.EqualValues(t, 1, r.Version())
		applyMany(t, s, 1, 1+tc.behind)
		r.Poll(Platform)
		m.collectFetches(0)
		m.reply(r, r.fetches[0], "whole")
		r.fetches = nil
		m.collectFetches(0)
		require.Equal(t, tc.want, s.label(r.fetches[0].Digest))
		answerAllFetches(m, r)
		require.Equal(t, 1+tc.behind, r.Version())
	}
}

func answerAllFetches(m *model, r *instance) {
	for len(r.fetches) > 0 {
		f := r.fetches[0]
		r.fetches = r.fetches[1:]
		m.reply(r, f, "whole")
		m.collectFetches(0)
	}
}

// A receiver must install what Apply published through the platform's client and
// the simulated platform, also when replies or requests are lost and reads are
// stale.
func TestApplyAndInstallThroughPlatformClient(t *testing.T) {
	server := standin.New(standin.Config{Addr: "127.0.0.1:0", Admin: "127.0.0.1:0", Seed: 1})
	require.NoError(t, server.Open())
	defer server.Close()
	client, err := platform.New([]string{server.URL()}, platform.Options{})
	require.NoError(t, err)
	require.NoError(t, server.SetFaults(standin.Faults{LoseReplies: 1}))
	applyMany(t, client, 0, 1)
	require.NoError(t, server.SetFaults(standin.Faults{LoseRequests: 1}))
	applyMany(t, client, 1, 2)
	require.NoError(t, server.SetFaults(standin.Faults{StaleVersions: 1, StaleReads: 1}))
	applyMany(t, client, 2, 3)
	require.EqualValues(t, 3, server.Stats().Commits)
	_, err = Apply(context.Background(), client, smallEstate(t, "0.5"), options("bela", "other", 2))
	var conflict *ConflictError
	require.True(t, errors.As(err, &conflict), "%v", err)
	require.Equal(t, "anna", conflict.Head.Author)

	head, err := ReadHead(context.Background(), client)
	require.NoError(t, err)
	require.EqualValues(t, 3, head.Version)
	a, err := ReadContent(context.Background(), client, head)
	require.NoError(t, err)
	want := smallEstate(t, "0.12")
	got, err := a.Estate(0)
	require.NoError(t, err)
	require.Len(t, config.Diff(want, got), 1, "only the since time of the site differs")

	installed := make(chan *Installed, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	runner := &Runner{Fetcher: StoreFetcher{Store: client}, Install: func(i *Installed) { installed <- i }}
	go func() { ended <- runner.Run(ctx, NewReceiver(Platform)) }()
	require.Equal(t, head.Root, (<-installed).Assembly.Root())
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// hangingFetcher never returns the head of one source before the context ends.
type hangingFetcher struct {
	StoreFetcher
	hanging Source
}

func (f hangingFetcher) Head(ctx context.Context, from Source) (Head, error) {
	if from == f.hanging {
		<-ctx.Done()
		return Head{}, ctx.Err()
	}
	return f.StoreFetcher.Head(ctx, from)
}

// A new instance whose neighbour doesn't respond must install the platform's
// version once the fetch has timed out, and must follow later polls.
func TestRunnerInstallsAfterNeighbourTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		applyMany(t, s, 0, 1)
		installed := make(chan *Installed, 1)
		events := make(chan func(*Receiver))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		r := &Runner{
			Fetcher: hangingFetcher{StoreFetcher{Store: s}, "b"}, Events: events,
			Install: func(i *Installed) { installed <- i },
		}
		began := time.Now()
		go func() { ended <- r.Run(ctx, NewReceiver(Platform, "b")) }()
		require.EqualValues(t, 1, (<-installed).Head.Version)
		require.Equal(t, DefaultFetchTimeout, time.Since(began))
		applyMany(t, s, 1, 2)
		events <- func(rec *Receiver) { rec.Poll(Platform) }
		i := <-installed
		require.EqualValues(t, 2, i.Head.Version)
		require.Equal(t, []string{"since/west-a1", "site/west-a1"}, i.Changed)
		cancel()
		<-ended
	})
}
