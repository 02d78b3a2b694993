package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// rig calls a backend server's handler without a network, so that time can be
// that of a synctest bubble.
type rig struct {
	t   *testing.T
	s   *Server
	out bytes.Buffer
}

func newRig(t *testing.T, cfg Config) *rig {
	r := &rig{t: t}
	cfg.Name = "b1"
	r.s = New(cfg, &r.out, nil)
	return r
}

// result is one answered call; ready is closed when it is.
type result struct {
	rec    *httptest.ResponseRecorder
	ready  chan struct{}
	cancel context.CancelFunc
}

// send starts a request; headers are name, value pairs.
func (r *rig) send(key string, headers ...string) *result {
	ctx, cancel := context.WithCancel(r.t.Context())
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "/scoring/decisions?t="+key, strings.NewReader(key))
	req.Header.Set(HeaderKey, key)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res := &result{rec: httptest.NewRecorder(), ready: make(chan struct{}), cancel: cancel}
	go func() {
		defer close(res.ready)
		r.s.Handler().ServeHTTP(res.rec, req)
	}()
	synctest.Wait()
	return res
}

func (r *rig) states() map[string]RunState {
	m := map[string]RunState{}
	for _, run := range r.s.Runs() {
		m[run.Key] = run.State
	}
	return m
}

func TestSlotsQueueAndShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, Config{Slots: 1, Queue: 1, Mean: time.Second})
		first, second, third := r.send("k1"), r.send("k2"), r.send("k3")
		require.Equal(t, Load{Slots: 1, Busy: 1, Queued: 1}, r.s.Load())
		<-third.ready
		require.Equal(t, http.StatusServiceUnavailable, third.rec.Code)
		require.Equal(t, "true", third.rec.Header().Get(HeaderNotRun))
		require.Equal(t, "1", third.rec.Header().Get("Retry-After"))
		<-second.ready
		<-first.ready
		require.Equal(t, map[string]RunState{"k1": RunDone, "k2": RunDone}, r.states())
		a, err := ReadAnswer(second.rec.Body, 0)
		require.NoError(t, err)
		require.Equal(t, "k2", a.Key)
		require.Equal(t, "/scoring/decisions?t=k2", a.URL)
	})
}

func TestCancelledWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, Config{Slots: 1, Queue: 1, Mean: time.Second})
		running, queued := r.send("running"), r.send("queued")
		queued.cancel()
		<-queued.ready
		running.cancel()
		<-running.ready
		require.Equal(t, map[string]RunState{"running": RunStopped}, r.states(), "queued work never ran")
		require.Equal(t, Load{Slots: 1}, r.s.Load(), "every slot is free again")
	})
}

func TestDeadlinePassedIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, Config{Slots: 1, Queue: 1, Mean: time.Second})
		first := r.send("k1")
		late := r.send("k2", HeaderDeadline, "300")
		passed := r.send("k3", HeaderDeadline, "0")
		for _, res := range []*result{passed, late} {
			<-res.ready
			require.Equal(t, http.StatusGatewayTimeout, res.rec.Code)
			require.Equal(t, "true", res.rec.Header().Get(HeaderNotRun))
		}
		<-first.ready
		require.Len(t, r.s.Runs(), 1)
	})
}

func TestDrainingRefusesAfterTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, Config{Slots: 1, Mean: time.Millisecond, DrainGrace: time.Second})
		r.s.SetDraining(true)
		within := r.send("k1")
		<-within.ready
		require.Equal(t, http.StatusOK, within.rec.Code)
		require.Equal(t, "true", within.rec.Header().Get(HeaderDraining))
		time.Sleep(time.Second)
		after := r.send("k2")
		<-after.ready
		require.Equal(t, "true", after.rec.Header().Get(HeaderNotRun))
		require.Len(t, r.s.Runs(), 1)
	})
}

func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, Config{Slots: 1, Mean: time.Second, ColdRequests: 1, ColdFactor: 3})
		for _, want := range []time.Duration{3 * time.Second, time.Second} {
			began := time.Now()
			<-r.send("k").ready
			require.Equal(t, want, time.Since(began))
		}
	})
}

func TestLoadLagsAndLies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, Config{Slots: 2, Mean: time.Minute})
		load := func(f Faults) Load {
			r.s.fault.set(f)
			rec := httptest.NewRecorder()
			r.s.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/load", nil))
			var l Load
			require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &l))
			return l
		}
		time.Sleep(time.Second)
		running := r.send("k1")
		time.Sleep(time.Second)
		require.Equal(t, 1, load(Faults{}).Busy)
		require.Equal(t, 0, load(Faults{LagMS: 1500}).Busy, "as it was before the request")
		require.Equal(t, 99, load(Faults{Load: &Load{Slots: 99, Busy: 99}}).Busy)
		<-running.ready
	})
}

func TestRunLogSurvivesItsProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, Config{Slots: 2, Mean: time.Second})
		<-r.send("k1").ready
		dying := r.send("k2")
		r.s.runs.mu.Lock()
		written := r.out.String()
		r.s.runs.mu.Unlock()
		runs, err := ReadRuns(strings.NewReader(written + `{"backend":"b1","inc`))
		require.NoError(t, err)
		require.Len(t, runs, 2)
		require.Equal(t, RunDone, runs[0].State)
		require.Equal(t, RunStarted, runs[1].State)
		<-dying.ready
	})
}
