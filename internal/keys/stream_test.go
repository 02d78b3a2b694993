package keys

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
)

// endless is a streamed answer that ends with its context.
type endless struct {
	ctx    context.Context
	closed chan struct{}
}

func newEndless() *endless { return &endless{closed: make(chan struct{})} }

func (e *endless) Read([]byte) (int, error) {
	<-e.ctx.Done()
	return 0, e.ctx.Err()
}

func (e *endless) Close() error { close(e.closed); return nil }

func (e *endless) handler() filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, _ *filter.Request) (*filter.Response, error) {
		e.ctx = ctx
		return &filter.Response{Status: 200, Stream: e, Length: -1}, nil
	})
}

func request(t *testing.T, service string) *filter.Request {
	key, err := Issue(homeOf("a"), time.Now(), time.Hour)
	require.NoError(t, err)
	return &filter.Request{
		Service: &estate.Service{Name: service}, Method: "POST", Path: "/", Key: key,
		Header: map[string][]string{}, Deadline: time.Now().Add(time.Minute),
	}
}

// TestStreamToACallerThatIsGone: the run of a key outlives its caller, but a
// large answer that only that caller can have does not.
func TestStreamToACallerThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, body := newGroup("a"), newEndless()
		ctx, leave := context.WithCancel(t.Context())
		a, err := g.members["a"].Do(ctx, request(t, "scoring"), 0, body.handler())
		require.NoError(t, err)
		began := time.Now()
		time.AfterFunc(time.Second, leave)
		_, err = io.ReadAll(a.Stream)
		require.ErrorIs(t, err, context.Canceled)
		require.Equal(t, time.Second, time.Since(began))
		require.NoError(t, a.Stream.Close())
		<-body.closed
	})
}

// lateStream is a transport whose streamed answer comes after the caller left.
type lateStream struct {
	member
	body *endless
}

func (l lateStream) Forward(ctx context.Context, _ once.Home, _ *filter.Request) (*filter.Response, bool, bool, error) {
	<-ctx.Done()
	time.Sleep(time.Second)
	return &filter.Response{Status: 200, Stream: l.body, Length: -1}, true, true, nil
}

func TestForwardedStreamThatComesTooLateIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, body := newGroup("a", "b"), newEndless()
		k := NewKeeper(once.Config{Self: homeOf("b"), MaxKeyTTL: time.Hour, ClaimTTL: time.Hour}, lateStream{member{g, "b"}, body})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		_, err := k.Do(ctx, request(t, "scoring"), 0, g.handler())
		require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
		time.Sleep(time.Minute)
		select {
		case <-body.closed:
		default:
			t.Fatal("the stream was left open")
		}
	})
}

// TestKeyOfAnotherService: one key, path and body sent to two services are two
// requests, and the second never gets the answer of the first.
func TestKeyOfAnotherService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup("a")
		r := request(t, "scoring")
		_, err := g.members["a"].Do(t.Context(), r, 0, g.handler())
		require.NoError(t, err)
		other := *r
		other.Service = &estate.Service{Name: "documents"}
		_, err = g.members["a"].Do(t.Context(), &other, 0, g.handler())
		require.Error(t, err)
		require.Equal(t, outcome.KindForeignKey, outcome.AsError(err).Kind)
	})
}

// TestNoTryBeginsForNobody: once the only caller of a started run is gone, the
// run makes no further try, and a resend runs the key.
func TestNoTryBeginsForNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup("a")
		r := request(t, "scoring")
		ctx, leave := context.WithCancel(t.Context())
		second := make(chan bool, 1)
		_, err := g.members["a"].Do(ctx, r, 0, filter.HandlerFunc(func(ctx context.Context, _ *filter.Request) (*filter.Response, error) {
			require.True(t, filter.AttemptPermitted(ctx))
			leave()
			time.Sleep(time.Second)
			second <- filter.AttemptPermitted(ctx)
			return nil, outcome.NotRunError(outcome.KindCancelled, 0, "withdrawn")
		}))
		require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
		time.Sleep(2 * time.Second)
		require.False(t, <-second)
		a, err := g.members["a"].Do(t.Context(), r, 0, g.handler())
		require.NoError(t, err)
		require.Equal(t, r.Key, string(a.Body))
	})
}
