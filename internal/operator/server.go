package operator

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"

	"github.com/banyandeal/banyandeal/internal/trace"
)

const (
	// defaultRecentSpans is the default number of root spans in a response.
	defaultRecentSpans = 20
	// maxRecentSpans is the maximum number of root spans in a response.
	maxRecentSpans = 1000
)

// NewHandler returns the handler of an instance's operator API.
func NewHandler(status func() Status, recorder *trace.Recorder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		if s := status(); !s.Ready || s.Leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, statusFor(r.URL.Query().Get("part"), status()))
	})
	mux.HandleFunc("GET /v1/trace", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.URL.Query().Get("n"))
		if err != nil || n <= 0 || n > maxRecentSpans {
			n = defaultRecentSpans
		}
		writeJSON(w, recorder.Recent(n))
	})
	mux.HandleFunc("GET /v1/trace/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, recorder.Spans(r.PathValue("id")))
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// statusFor returns the requested part of the status. An empty or unknown part
// means all of it.
func statusFor(part string, s Status) Status {
	switch part {
	case PartSelf:
		return s.WithoutLists()
	case PartWork:
		s.Instances = nil
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// This fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
