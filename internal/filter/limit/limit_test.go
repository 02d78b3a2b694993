package limit

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/balance"
	decide "github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/pool"
	"github.com/banyandeal/banyandeal/internal/quarantine"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// large is an answer that streams.
var large = strings.Repeat("x", 200_000)

// rig is a handler before backend servers with one slot each.
type rig struct {
	Handler
	results []pool.Result
}

func newRig(service *estate.Service, addresses ...string) *rig {
	r := &rig{}
	p := pool.New(balance.LeastLoaded, func(res pool.Result) { r.results = append(r.results, res) })
	var owned []pool.Backend
	for i, a := range addresses {
		b := estate.Backend{Name: string(rune('a' + i)), Address: a, Slots: 1, MaxConnections: 4}
		owned = append(owned, pool.Backend{Backend: b, Service: service.Name, Eligibility: balance.Eligible})
	}
	p.Set([]estate.Service{*service}, owned)
	r.Handler = Handler{Pool: p, Guard: quarantine.NewGuard("i", nil, func([]decide.Notice) {}), Recorder: trace.NewRecorder("i", 16, nil)}
	return r
}

func request(s *estate.Service) *filter.Request {
	return &filter.Request{Service: s, Method: "GET", Path: "/", Header: http.Header{}, Avoid: filter.NewAvoid(), Idempotent: true}
}

// crashes is a backend server that goes down in the middle of its answer.
func crashes(t *testing.T) string {
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, large)
		_ = srv.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func answers(t *testing.T, body string) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func TestCrashInTheMiddleOfALargeAnswerIsACrash(t *testing.T) {
	s := &estate.Service{Name: "documents"}
	r := newRig(s, crashes(t), crashes(t))
	q := request(s)
	for range 2 {
		a, err := r.Serve(t.Context(), q)
		require.NoError(t, err)
		_, err = io.ReadAll(a.Stream)
		require.Equal(t, outcome.KindCutAnswer, outcome.AsError(err).Kind)
		require.NoError(t, a.Stream.Close())
	}
	require.True(t, r.Guard.Quarantined(quarantine.Fingerprint(q)))
	require.Zero(t, r.Pool.TotalInFlight())
	for _, res := range r.results {
		require.True(t, res.ConnectionLost)
		require.Equal(t, outcome.Unknown, res.Outcome)
	}
	_, err := r.Serve(t.Context(), request(s))
	require.Equal(t, outcome.KindQuarantined, outcome.AsError(err).Kind)
}

// TestSlotIsHeldUntilTheStreamIsClosed: and given back once, read whole or not.
func TestSlotIsHeldUntilTheStreamIsClosed(t *testing.T) {
	s := &estate.Service{Name: "documents", MeanTime: 10 * time.Second}
	r := newRig(s, answers(t, large))
	for _, whole := range []bool{true, false} {
		a, err := r.Serve(t.Context(), request(s))
		require.NoError(t, err)
		_, err = r.Serve(t.Context(), request(s))
		e := outcome.AsError(err)
		require.Equal(t, outcome.KindNoCapacity, e.Kind)
		require.Equal(t, outcome.NotRun, e.Outcome)
		require.GreaterOrEqual(t, e.RetryAfter, s.MeanTime, "the work ahead takes that long")
		if whole {
			got, err := io.ReadAll(a.Stream)
			require.NoError(t, err)
			require.Equal(t, large, string(got))
		}
		for range 2 {
			_ = a.Stream.Close()
		}
		require.Zero(t, r.Pool.TotalInFlight())
	}
	require.Len(t, r.results, 2)
}

func TestSmallAnswerGivesItsSlotBackAtOnce(t *testing.T) {
	s := &estate.Service{Name: "scoring"}
	r := newRig(s, answers(t, "ok"))
	a, err := r.Serve(t.Context(), request(s))
	require.NoError(t, err)
	require.Equal(t, "ok", string(a.Body))
	require.Zero(t, r.Pool.TotalInFlight())
	none := newRig(s)
	_, err = none.Serve(t.Context(), request(s))
	require.Equal(t, time.Second, outcome.AsError(err).RetryAfter)
}

func TestDeclaredLengthOfAStreamIsPassedOn(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "200000")
		_, _ = io.WriteString(w, large)
	}))
	defer srv.Close()
	s := &estate.Service{Name: "documents"}
	a, err := newRig(s, srv.Listener.Addr().String()).Serve(t.Context(), request(s))
	require.NoError(t, err)
	defer a.Close()
	require.Equal(t, int64(len(large)), a.Length)
}
