package bench

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// entry is a minimal entry instance in front of one backend server.
type entry struct {
	backend *backend.Server
	// runs is the number of times that it runs each request.
	runs int
	// cutFirstAttempt makes it cut the connection on the first attempt with each key.
	cutFirstAttempt bool

	mu   sync.Mutex
	keys int
	seen map[string]bool
	addr string
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/v1/lookup" {
		e.keys++
		_ = json.NewEncoder(w).Encode(Lookup{
			Service: r.FormValue("service"), TTLMS: 60_000, Key: "key-" + strconv.Itoa(e.keys),
			Instances: []Instance{{ID: "e1", Address: e.addr}},
		})
		return
	}
	key := r.Header.Get(filter.HeaderIdempotencyKey)
	if e.cutFirstAttempt && key != "" && !e.seen[key] {
		e.seen[key] = true
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(filter.HeaderOutcome, "done")
	for range e.runs - 1 {
		again := r.Clone(r.Context())
		again.Body = http.NoBody
		e.backend.Handler().ServeHTTP(httptest.NewRecorder(), again)
	}
	e.backend.Handler().ServeHTTP(w, r)
}

// runLoad sends 60 requests of two ops to the entry and returns the result with the
// violations that Check finds.
func runLoad(t *testing.T, e *entry) (*Result, []Violation) {
	t.Helper()
	e.backend = backend.New(backend.Config{Name: "b1", Slots: 1}, nil, nil)
	e.seen = map[string]bool{}
	srv := httptest.NewServer(e)
	defer srv.Close()
	e.addr = srv.Listener.Addr().String()
	load, err := NewLoad(Config{
		Entries: []string{e.addr},
		Callers: []Caller{{Addr: netip.MustParseAddr("10.0.0.1"), Weight: 1}, {Addr: netip.MustParseAddr("10.0.1.1"), Weight: 3}},
		Workloads: []Workload{{Service: "scoring", Rate: 1e6, Deadline: 10 * time.Second, Ops: []Op{
			{Name: "applicant", Method: http.MethodGet, Path: "/applicants/1", Idempotent: true, Weight: 2, ResponseSize: 2000},
			{Name: "decision", Method: http.MethodPost, Path: "/decisions", Weight: 1, BodySize: 100},
		}}},
		Duration: time.Minute, MaxRequests: 60, MaxInFlight: 60, MaxAttempts: 3, MaxWait: time.Minute,
		CallerKeyShare: 0.2, TokenPrefix: "test",
	})
	require.NoError(t, err)
	res := load.Run(t.Context())
	require.Len(t, res.Records, 60)
	return res, Check(res.Records, e.backend.Runs())
}

// Guards against false violations and against reuse of an idempotency key, with an
// entry that runs each request once.
func TestLoadCompletesAllRequests(t *testing.T) {
	res, violations := runLoad(t, &entry{runs: 1})
	require.Empty(t, violations)
	require.Len(t, res.Ops, 2)
	for _, op := range res.Ops {
		require.Equal(t, int64(op.Outcomes[Done]), op.Done.Count)
	}
	keys := map[string]bool{}
	for _, r := range res.Records {
		require.Equal(t, Done, r.End, r.Detail)
		require.False(t, r.Key != "" && keys[r.Key], "a key must be used for one request only")
		keys[r.Key] = true
	}
}

// Guards against a retry with another key after a connection was cut, which could
// run a non-idempotent request twice unnoticed.
func TestLoadRetriesWithSameKey(t *testing.T) {
	res, violations := runLoad(t, &entry{runs: 1, cutFirstAttempt: true})
	require.Empty(t, violations)
	for _, r := range res.Records {
		require.Equal(t, Done, r.End, r.Detail)
		require.Equal(t, r.Key != "", r.Uncertain)
	}
}

// Guards against a checker that overlooks non-idempotent requests that ran twice.
func TestCheckFindsDuplicatedRuns(t *testing.T) {
	res, violations := runLoad(t, &entry{runs: 2})
	posts := 0
	for _, r := range res.Records {
		if !r.Idempotent {
			posts++
		}
	}
	require.Len(t, violations, posts)
	for _, v := range violations {
		require.Equal(t, Duplicated, v.Fault)
	}
}
