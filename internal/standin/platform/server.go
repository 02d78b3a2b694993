// Package platform is a stand-in for the platform in tests and in the demo: the
// store of package store, a lagging list of instances kept in it, and faults.
//
// Besides the API it serves, on both of its addresses:
//
//	GET,POST   /admin/faults          Faults
//	PUT,DELETE /admin/instances/{id}  an Instance; visible after the lag
//	GET        /admin/stats           Stats
//
// The admin address goes on answering while the API refuses connections.
package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/faultnet"
	"github.com/banyandeal/banyandeal/internal/standin/store"
)

const (
	maxBodyBytes = 32 << 20
)

// Config sets up a stand-in.
type Config struct {
	// Addr is the API's address, Admin a second one for /admin alone; both may
	// end in port 0.
	Addr, Admin string
	// ListLag is how far the instance list is behind.
	ListLag time.Duration
	// Seed drives the faults that hit a share of calls.
	Seed uint64
	// Now is the clock of the instance list; nil means time.Now.
	Now func() time.Time
}

// Stats is the answer of GET /admin/stats: calls since the start.
type Stats struct {
	RowReads    uint64 `json:"row_reads"`
	Txns        uint64 `json:"txns"`
	Commits     uint64 `json:"commits"`
	Conflicts   uint64 `json:"conflicts"`
	ObjectReads uint64 `json:"object_reads"`
	ObjectPuts  uint64 `json:"object_puts"`
	ListReads   uint64 `json:"list_reads"`
	Refused     uint64 `json:"refused"`
	LostReplies uint64 `json:"lost_replies"`
}

type counters struct {
	rowReads, txns, commits, conflicts atomic.Uint64
	objectReads, objectPuts, listReads atomic.Uint64
	refused, lostReplies               atomic.Uint64
}

// Server is one stand-in platform.
type Server struct {
	store  *store.Store
	list   *instanceList
	faults *faultState
	count  counters

	api, admin *faultnet.Server
}

// New returns a stand-in that is not yet open.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	rows := store.Unserved()
	s := &Server{store: rows, list: newInstanceList(rows, cfg.ListLag, cfg.Now), faults: newFaultState(cfg.Seed)}
	admin := s.adminHandler()
	s.api = faultnet.New(cfg.Addr, s.apiHandler(admin))
	s.admin = faultnet.New(cfg.Admin, admin)
	return s
}

// Open starts both listeners.
func (s *Server) Open() error {
	if err := s.admin.Open(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.api.Open())
}

// Close stops both listeners.
func (s *Server) Close() {
	s.api.Close()
	s.admin.Close()
}

// URL returns the base URL of the API.
func (s *Server) URL() string { return "http://" + s.api.Addr() }

// AdminURL returns the base URL of the admin address.
func (s *Server) AdminURL() string { return "http://" + s.admin.Addr() }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) error {
	s.faults.set(f)
	s.list.freeze(f.FreezeList)
	if f.Down == DownRefuse {
		s.api.Refuse()
		return nil
	}
	return errors.Trace(s.api.Open())
}

// PutInstance lists an instance, or lists it anew, after the lag.
func (s *Server) PutInstance(in api.Instance) { s.list.put(in) }

// RemoveInstance takes an instance from the list after the lag.
func (s *Server) RemoveInstance(id string) { s.list.remove(id) }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	c := &s.count
	return Stats{
		RowReads: c.rowReads.Load(), Txns: c.txns.Load(), Commits: c.commits.Load(),
		Conflicts:   c.conflicts.Load(),
		ObjectReads: c.objectReads.Load(), ObjectPuts: c.objectPuts.Load(),
		ListReads: c.listReads.Load(), Refused: c.refused.Load(), LostReplies: c.lostReplies.Load(),
	}
}

func (s *Server) apiHandler(admin http.Handler) http.Handler {
	next := s.store.Handler()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.read(next))
	mux.HandleFunc("POST /rows-tx", s.commit(next))
	mux.HandleFunc("PUT /blob-put/{name}", counted(&s.count.objectPuts, next))
	mux.HandleFunc("GET /blob-get/{name}", counted(&s.count.objectReads, next))
	mux.Handle("/", next)
	outer := http.NewServeMux()
	outer.Handle("/admin/", admin)
	outer.Handle("/", s.faulty(mux))
	return outer
}

func counted(n *atomic.Uint64, next http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		next.ServeHTTP(w, r)
	}
}

// faulty applies the faults that hit every call of the API.
func (s *Server) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.get()
		if f.DelayMS > 0 && !sleep(r, time.Duration(f.DelayMS)*time.Millisecond) {
			return
		}
		if f.Down != "" {
			s.count.refused.Add(1)
			http.Error(w, "platform unavailable", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits and reports whether the client is still there.
func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// read serves rows, stale ones while that fault is in force, and the list as far
// as it has come.
func (s *Server) read(next http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("table") == api.TableInstances {
			s.count.listReads.Add(1)
			s.list.refresh()
			next.ServeHTTP(w, r)
			return
		}
		s.count.rowReads.Add(1)
		next.ServeHTTP(w, store.Stale(r, s.faults.staleBy()))
	}
}

// commit serves a transaction, of which the call or the reply may get lost.
func (s *Server) commit(next http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count.txns.Add(1)
		if s.faults.loseRequest() {
			panic(http.ErrAbortHandler)
		}
		reply := httptest.NewRecorder()
		next.ServeHTTP(reply, r)
		switch reply.Code {
		case http.StatusOK:
			s.count.commits.Add(1)
			if s.faults.loseReply() {
				s.count.lostReplies.Add(1)
				panic(http.ErrAbortHandler)
			}
		case http.StatusPreconditionFailed:
			s.count.conflicts.Add(1)
		}
		maps.Copy(w.Header(), reply.Header())
		w.WriteHeader(reply.Code)
		// The caller may have gone.
		_, _ = w.Write(reply.Body.Bytes())
	}
}

func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.faults.get())
	})
	mux.HandleFunc("POST /admin/faults", s.adminFaults)
	mux.HandleFunc("PUT /admin/instances/{id...}", s.adminPut)
	mux.HandleFunc("DELETE /admin/instances/{id...}", func(w http.ResponseWriter, r *http.Request) {
		s.RemoveInstance(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

func (s *Server) adminFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	if f.Down != "" && f.Down != DownRefuse && f.Down != DownUnavailable {
		http.Error(w, `down is "", "refuse" or "unavailable"`, http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) adminPut(w http.ResponseWriter, r *http.Request) {
	var in api.Instance
	if !readJSON(w, r, &in) {
		return
	}
	if in.ID != r.PathValue("id") {
		http.Error(w, "the id of the path is not the body's", http.StatusBadRequest)
		return
	}
	s.PutInstance(in)
	w.WriteHeader(http.StatusNoContent)
}

// readJSON decodes a bounded body strictly; it answers 400 and returns false
// when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
