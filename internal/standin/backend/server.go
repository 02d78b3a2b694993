// Package backend is a stand-in for a backend server in tests and in the demo:
// slots, a bounded queue, shedding, cold start, draining, cancellation and
// deadlines, with faults. It repeats each request in its answer and logs every
// run, so that lost, doubled and crossed answers are seen.
//
// Every path is a request but these:
//
//	GET  /healthz       200, or 503 when draining
//	GET  /load          Load
//	POST /admin/faults  Faults in force from now on; GET returns them
//	POST /admin/drain   Drain
//	GET  /admin/runs    []Run
//
// A request may ask for an answer of so many bytes with ?size=N; it is
// streamed.
package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/standin/faultnet"
)

// Headers of requests and answers.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderRequest  = "Banyandeal-Request-Id"
	HeaderDeadline = "Banyandeal-Deadline" // time left in milliseconds
	HeaderNotRun   = "Banyandeal-Not-Run"
	HeaderDraining = "Banyandeal-Draining"
	HeaderCrash    = "X-Crash"
)

const (
	maxRequestBytes   = 64 << 20
	streamPieceBytes  = 32 << 10
	shedRetryAfterSec = 1
)

// Drain is the body of POST /admin/drain.
type Drain struct {
	Draining bool `json:"draining"`
}

// Server is one stand-in backend server.
type Server struct {
	cfg   Config
	time  *serviceTime
	gate  *gate
	load  *loadHistory
	runs  *runLog
	fault faultState
	net   *faultnet.Server
	// crash ends the process, or nil.
	crash func()

	mu sync.Mutex
	// drainSince is zero unless draining.
	drainSince time.Time
}

// New returns a backend server that is not yet open. Runs are copied to log as
// JSON lines unless it is nil. crash is called when a request crashes the
// backend server; nil closes the listener and every connection instead.
func New(cfg Config, log io.Writer, crash func()) *Server {
	s := &Server{
		cfg: cfg, time: newServiceTime(cfg), load: &loadHistory{},
		runs: newRunLog(cfg.Name, log), crash: crash,
	}
	s.load.update(func(l *Load) { l.Slots = cfg.Slots })
	s.gate = &gate{slots: cfg.Slots, queue: cfg.Queue, changed: func(busy, queued int) {
		s.load.update(func(l *Load) { l.Busy, l.Queued = busy, queued })
	}}
	s.net = faultnet.New(cfg.Address, s.Handler())
	return s
}

// Open starts to listen.
func (s *Server) Open() error { return errors.Trace(s.net.Open()) }

// Close stops at once; what is in flight is cut.
func (s *Server) Close() { s.net.Close() }

// Name returns the backend server's name.
func (s *Server) Name() string { return s.cfg.Name }

// Addr returns the bound address.
func (s *Server) Addr() string { return s.net.Addr() }

// Runs returns every run so far.
func (s *Server) Runs() []Run { return s.runs.list() }

// Load returns the load as it is.
func (s *Server) Load() Load { return s.load.at(0) }

// SetDraining starts or ends draining.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !on:
		s.drainSince = time.Time{}
	case s.drainSince.IsZero():
		s.drainSince = time.Now()
	}
	s.load.update(func(l *Load) { l.Draining = on })
}

// draining reports whether it drains, and whether new work is refused by now.
func (s *Server) draining() (draining, refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainSince.IsZero() {
		return false, false
	}
	return true, time.Since(s.drainSince) >= s.cfg.DrainGrace
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) error {
	s.fault.set(f)
	if f.Refuse {
		s.net.Refuse()
		return nil
	}
	if f.Silent {
		s.net.Silence()
	}
	return errors.Trace(s.net.Open())
}

// Handler returns the handler of requests and of /admin.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.Handle("/admin/", s.AdminHandler())
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

// AdminHandler returns the handler of /admin alone.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.fault.get()) })
	mux.HandleFunc("POST /admin/faults", s.serveFaults)
	mux.HandleFunc("POST /admin/drain", s.serveDrain)
	mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) })
	return mux
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	f := s.fault.get()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	fail := s.load.at(time.Duration(f.LagMS) * time.Millisecond).Draining
	if f.Health != "" {
		fail = f.Health == HealthFail
	} else if fail {
		w.Header().Set(HeaderDraining, "true")
	}
	if fail {
		http.Error(w, HealthFail, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, HealthOK+"\n")
}

func (s *Server) serveLoad(w http.ResponseWriter, r *http.Request) {
	f := s.fault.get()
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.Load != nil {
		writeJSON(w, f.Load)
		return
	}
	writeJSON(w, s.load.at(time.Duration(f.LagMS)*time.Millisecond))
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	var d Drain
	if !readJSON(w, r, &d) {
		return
	}
	s.SetDraining(d.Draining)
	w.WriteHeader(http.StatusNoContent)
}

// serveRequest takes one request through the queue and a slot.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	// The whole body is read first: net/http only notices after it that the
	// client has gone.
	sum := xxhash.New()
	if _, err := io.Copy(sum, http.MaxBytesReader(w, r.Body, maxRequestBytes)); err != nil {
		notRun(w, http.StatusBadRequest, err.Error())
		return
	}
	if s.fault.take(dropBefore) {
		panic(http.ErrAbortHandler)
	}
	draining, refusing := s.draining()
	if draining {
		w.Header().Set(HeaderDraining, "true")
	}
	if refusing || s.fault.get().Shed {
		notRun(w, http.StatusServiceUnavailable, "no new work is taken")
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		notRun(w, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if err := s.gate.acquire(ctx); err != nil {
		refuse(w, r, err)
		return
	}
	defer s.gate.release()
	s.run(ctx, w, r, strconv.FormatUint(sum.Sum64(), 16))
}

// withDeadline returns a context that ends when the request must have been
// started.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	v := r.Header.Get(HeaderDeadline)
	if v == "" {
		return r.Context(), func() {}, nil
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "header %s", HeaderDeadline)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

// refuse answers a request that got no slot.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	if r.Context().Err() != nil {
		return // nobody is there to be answered
	}
	if errors.Is(err, errShed) {
		notRun(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	notRun(w, http.StatusGatewayTimeout, "the deadline passed before a slot was free")
}

func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotRun, "true")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(shedRetryAfterSec))
	}
	http.Error(w, reason, status)
}

// run works on a request that holds a slot, and answers it. ctx ends at the
// request's deadline.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, bodySum string) {
	run := s.runs.start(Run{
		Key: r.Header.Get(HeaderKey), Request: r.Header.Get(HeaderRequest),
		Method: r.Method, URL: r.URL.RequestURI(),
	})
	if s.crashes(r) {
		s.runs.end(run, RunCrashed)
		s.goDown()
		panic(http.ErrAbortHandler)
	}
	if !wait(r.Context(), s.time.next()) {
		s.runs.end(run, RunStopped)
		return
	}
	if !s.fault.held(ctx) {
		s.runs.end(run, RunStopped)
		panic(http.ErrAbortHandler)
	}
	s.runs.end(run, RunDone)
	if s.fault.take(dropAfter) {
		panic(http.ErrAbortHandler)
	}
	if s.fault.take(late) {
		wait(r.Context(), time.Duration(s.fault.get().LateMS)*time.Millisecond)
	}
	s.answer(w, r, Answer{
		Backend: run.Backend, Key: run.Key, Request: run.Request, Run: run.Number,
		Method: run.Method, URL: run.URL, BodySum: bodySum,
	})
}

// wait sleeps and reports whether the client stayed.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) crashes(r *http.Request) bool {
	if r.Header.Get(HeaderCrash) != "" {
		return true
	}
	for _, p := range []string{s.cfg.CrashPath, s.fault.get().CrashPath} {
		if p != "" && strings.Contains(r.URL.RequestURI(), p) {
			return true
		}
	}
	return false
}

// goDown ends the process, or closes the listener and every connection.
func (s *Server) goDown() {
	if s.crash != nil {
		s.crash()
	}
	s.net.Refuse()
	if s.cfg.RestartAfter > 0 {
		time.AfterFunc(s.cfg.RestartAfter, func() { _ = s.net.Open() })
	}
}

// answer writes the answer; one with a size is streamed.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, a Answer) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRequest, a.Request)
	line := a.line()
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	size = min(size, maxAnswerSize)
	if err != nil || size <= int64(len(line)) {
		w.Header().Set("Content-Length", strconv.Itoa(len(line)))
		if s.fault.take(cut) {
			cutShort(w, line[:len(line)/2])
		}
		_, _ = w.Write(line)
		return
	}
	if s.fault.take(cut) {
		cutShort(w, append(line, a.fill(0, size/2)...))
	}
	stream(w, a, line, size-int64(len(line)))
}

// cutShort writes a part of an answer and closes the connection.
func cutShort(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func stream(w http.ResponseWriter, a Answer, line []byte, rest int64) {
	if _, err := w.Write(line); err != nil {
		return
	}
	flush := http.NewResponseController(w).Flush
	for off := int64(0); off < rest; {
		piece := a.fill(off, min(streamPieceBytes, rest-off))
		if _, err := w.Write(piece); err != nil {
			return
		}
		_ = flush()
		off += int64(len(piece))
	}
}

// readJSON decodes a bounded body strictly; it answers 400 and returns false
// when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	const maxAdminBytes = 64 << 10
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
