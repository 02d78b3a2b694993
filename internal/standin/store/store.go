// Package store is a stand-in for the users' metadata store, for tests: rows
// with versions, feeds, conditional writes, and the troubles of the real one.
package store

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxObjectBytes bounds an object.
const maxObjectBytes = 32 << 20

// Trouble is how the store treats a call.
type Trouble uint8

// Troubles.
const (
	// None serves the call.
	None Trouble = iota
	// Refuse answers 503.
	Refuse
	// Hang takes the call and never answers.
	Hang
	// LoseAnswer does what is asked and closes the connection.
	LoseAnswer
	// NoChanges lets a feed wait its time and tells of no change.
	NoChanges
)

// Row is one row of a table.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type reply struct {
	Rows    []Row   `json:"rows"`
	More    bool    `json:"has_more"`
	Version uint64  `json:"ver"`
	Now     float64 `json:"now_s"`
	// era is the era that the rows are of.
	era uint64
}

// historyLength is how many versions of a row are kept for stale reads.
const historyLength = 8

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	// server is nil for a store that only gives its Handler.
	server  *httptest.Server
	started time.Time

	mu   sync.Mutex
	rows map[string]Row
	// history holds the newest versions of each row, the newest last.
	history map[string][]Row
	objects map[string][]byte
	version uint64
	// era counts the rollbacks. It changes under mu.
	era atomic.Uint64
	// log holds all writes, the oldest first.
	log []Row
	// writes holds when each version was written, the oldest first.
	writes []versionTime
	// readLag is how far whole reads are behind.
	readLag time.Duration
	// rollbackVersion is the version to which the store came back last.
	rollbackVersion uint64
	// floor is the version below which the history is gone.
	floor   uint64
	changed chan struct{}
	trouble func(r *http.Request) Trouble
	calls   int
	// rewrite changes rows before they are stored.
	rewrite func(Row) Row
	// lastWriter is the remote address of the last transaction that wrote.
	lastWriter string
}

// versionTime is when a version was written.
type versionTime struct {
	version uint64
	at      time.Time
}

// New starts a store on loopback.
func New() *Store {
	s := Unserved()
	s.server = httptest.NewServer(s.TroubledHandler())
	return s
}

// Unserved returns a store whose Handler is served by another.
func Unserved() *Store {
	return &Store{
		rows: map[string]Row{}, history: map[string][]Row{}, objects: map[string][]byte{},
		changed: make(chan struct{}), started: time.Now(), trouble: func(*http.Request) Trouble { return None },
		rewrite: func(r Row) Row { return r },
	}
}

// Handler returns the store's calls, without troubles.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("PUT /blob-put/{name}", s.putObject)
	mux.HandleFunc("GET /blob-get/{name}", s.getObject)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// TroubledHandler returns the store's calls with the troubles of SetTrouble.
func (s *Store) TroubledHandler() http.Handler { return s.troubled(s.Handler()) }

// headerEra is in all answers.
const headerEra = "Store-Era"

// eraWriter adds the era to answers that do not have it yet.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if w.Header().Get(headerEra) == "" {
		w.Header().Set(headerEra, strconv.FormatUint(w.store.era.Load(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// SetReadLag makes whole reads see the store as it was so long ago, at the version of then,
// until it is called with 0. Feeds are not behind.
func (s *Store) SetReadLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLag = lag
}

// versionBefore returns the newest version that was there before a time. The caller must hold
// s.mu.
func (s *Store) versionBefore(t time.Time) uint64 {
	i, _ := slices.BinarySearchFunc(s.writes, t, func(w versionTime, t time.Time) int { return w.at.Compare(t) })
	if i == 0 {
		return 0
	}
	return s.writes[i-1].version
}

// tableAt returns the rows of a table as they were at a version. The caller must hold s.mu.
func (s *Store) tableAt(name string, version uint64) []Row {
	at := map[string]Row{}
	for _, r := range s.log {
		if r.Table == name && r.Version <= version {
			at[r.Key] = r
		}
	}
	return sorted(at)
}

// Version returns the newest version.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Rollback makes the store come back from a copy that lacks the newest versions, as many
// as are given, and begin a new era. It returns the newest rows of the operator and of
// backend servers that were lost; their writers write them again.
func (s *Store) Rollback(versions uint64) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollback(s.version - min(versions, s.version))
}

// RollbackTo is Rollback to the copy of a time.
func (s *Store) RollbackTo(t time.Time) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollback(s.versionBefore(t))
}

// rollback makes the store come back at a version. The caller must hold s.mu.
func (s *Store) rollback(to uint64) []Row {
	kept, lost := []Row{}, map[string]Row{}
	for _, r := range s.log {
		switch {
		case r.Version <= to:
			kept = append(kept, r)
		case r.Table == "op" || r.Table == "servers":
			lost[id(r.Table, r.Part, r.Key)] = r
		}
	}
	s.log, s.rows, s.history, s.version = nil, map[string]Row{}, map[string][]Row{}, 0
	for _, r := range kept {
		s.version = r.Version
		s.place(r)
	}
	s.version, s.rollbackVersion, s.floor = to, to, min(s.floor, to)
	s.writes = slices.DeleteFunc(s.writes, func(w versionTime) bool { return w.version > to })
	s.era.Add(1)
	s.wake()
	return slices.SortedFunc(maps.Values(lost), func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
}

// WriteAgain writes rows that a Rollback has lost, but for those that their writers have
// written anew since.
func (s *Store) WriteAgain(rows []Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	anew := map[string]bool{}
	for _, r := range s.rows {
		anew[id(r.Table, r.Part, r.Key)] = r.Version > s.rollbackVersion
	}
	for _, r := range rows {
		if !anew[id(r.Table, r.Part, r.Key)] {
			s.write(r)
		}
	}
}

// Address returns host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close ends the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetTrouble sets how calls are treated from now on; waiting feeds end, but for a store whose
// Handler is served by another.
func (s *Store) SetTrouble(f func(r *http.Request) Trouble) {
	s.mu.Lock()
	s.trouble = f
	s.mu.Unlock()
	if s.server != nil {
		s.server.CloseClientConnections()
	}
}

// Rewrite sets a function that changes each row before it is stored.
func (s *Store) Rewrite(f func(Row) Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrite = f
}

// LastWriter returns the remote address, host:port, of the last transaction that wrote, or
// "" if there was none.
func (s *Store) LastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table(table)
}

// Calls returns how many calls have arrived.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or a backend server does; value is encoded
// as JSON.
func (s *Store) Put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(table, key, raw)
}

// PutRaw writes a row with any bytes.
func (s *Store) PutRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Value: value})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Deleted: true})
}

// Keys returns the keys of a table.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, r := range s.table(table) {
		keys = append(keys, r.Key)
	}
	return keys
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
	s.wake()
}

func id(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// write puts rows at the next version, which they share.
func (s *Store) write(rows ...Row) {
	s.version++
	s.writes = append(s.writes, versionTime{version: s.version, at: time.Now()})
	for _, r := range rows {
		s.place(r)
	}
	s.wake()
}

func (s *Store) place(r Row) {
	r = s.rewrite(r)
	r.Version = s.version
	s.log = append(s.log, r)
	key := id(r.Table, r.Part, r.Key)
	s.rows[key] = r
	s.history[key] = append(s.history[key], r)
	if kept := s.history[key]; len(kept) > historyLength {
		s.history[key] = slices.Delete(kept, 0, len(kept)-historyLength)
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) table(name string) []Row {
	of := map[string]Row{}
	for key, r := range s.rows {
		if r.Table == name {
			of[key] = r
		}
	}
	return sorted(of)
}

// sorted returns the rows that are not deleted, by key.
func sorted(of map[string]Row) []Row {
	var rows []Row
	for _, r := range of {
		if !r.Deleted {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (s *Store) troubled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		trouble := s.trouble(r)
		s.mu.Unlock()
		switch trouble {
		case Refuse:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Hang:
			// The end of the connection shows only behind the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case LoseAnswer:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		case NoChanges:
			s.sayNothing(w, r, next)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// sayNothing answers a feed after its wait without rows; other calls are served.
func (s *Store) sayNothing(w http.ResponseWriter, r *http.Request, next http.Handler) {
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	after, afterErr := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil || afterErr != nil {
		next.ServeHTTP(w, r)
		return
	}
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
	}
	s.answer(w, http.StatusOK, reply{Rows: []Row{}, Version: after, era: s.era.Load()})
}

func (s *Store) answer(w http.ResponseWriter, status int, rep reply) {
	rep.Now = time.Since(s.started).Seconds()
	w.Header().Set(headerEra, strconv.FormatUint(rep.era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone.
	_ = json.NewEncoder(w).Encode(rep)
}

// Stale makes a request to read rows see them as they were so many versions ago.
func Stale(r *http.Request, versions int) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), staleKey{}, versions))
}

type staleKey struct{}

// past returns a row as it was so many versions ago, or its oldest kept one.
func (s *Store) past(r Row, versions int) Row {
	kept := s.history[id(r.Table, r.Part, r.Key)]
	return kept[max(0, len(kept)-1-versions)]
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	versions, _ := r.Context().Value(staleKey{}).(int)
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	rep := reply{Rows: []Row{}, Version: s.version, era: s.era.Load()}
	table := s.table(q.Get("table"))
	if s.readLag > 0 {
		rep.Version = s.versionBefore(time.Now().Add(-s.readLag))
		table = s.tableAt(q.Get("table"), rep.Version)
	}
	for _, x := range table {
		if x.Key < q.Get("from") || q.Has("target") && x.Key >= q.Get("target") {
			continue
		}
		if len(rep.Rows) == limit {
			rep.More = true
			break
		}
		if x = s.past(x, versions); !x.Deleted {
			rep.Rows = append(rep.Rows, x)
		}
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, rep)
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.PathValue("name")
	if _, there := s.objects[name]; there {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[name] = body
	w.WriteHeader(http.StatusOK)
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, there := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !there {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// The caller may have gone.
	_, _ = w.Write(body)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		rep, gone, changed := s.since(q.Get("table"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rep.Rows) > 0 || ctx.Err() != nil {
			s.answer(w, http.StatusOK, rep)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) since(table string, after uint64) (rep reply, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.floor || after > s.version {
		return reply{}, true, nil
	}
	rep = reply{Rows: []Row{}, Version: s.version, era: s.era.Load()}
	for _, x := range s.rows {
		if x.Table == table && x.Version > after {
			rep.Rows = append(rep.Rows, x)
		}
	}
	slices.SortFunc(rep.Rows, func(a, b Row) int { return int(a.Version) - int(b.Version) })
	return rep, false, s.changed
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []Row `json:"expected_rev"`
		Puts     []Row `json:"puts"`
		Removes  []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	rep := reply{Rows: []Row{}, era: s.era.Load()}
	status := http.StatusOK
	for _, e := range tx.Expected {
		current := s.rows[id(e.Table, e.Part, e.Key)]
		version := current.Version
		if current.Deleted {
			version = 0
		}
		if version != e.Version {
			status = http.StatusPreconditionFailed
		}
		if version != 0 {
			rep.Rows = append(rep.Rows, current)
		}
	}
	if status == http.StatusOK {
		rep.Rows = nil
		for i := range tx.Removes {
			tx.Removes[i].Deleted = true
		}
		s.write(append(tx.Puts, tx.Removes...)...)
		s.lastWriter = r.RemoteAddr
	}
	rep.Version = s.version
	s.mu.Unlock()
	s.answer(w, status, rep)
}
