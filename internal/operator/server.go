package operator

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"

	"github.com/banyandeal/banyandeal/internal/trace"
)

const (
	// defaultTraces and maxTraces bound the list of recent traces.
	defaultTraces = 20
	maxTraces     = 1000
)

// NewHandler returns the operator surface of one instance.
func NewHandler(status func() Status, recorder *trace.Recorder) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		if s := status(); !s.Ready || s.Leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		s := status()
		if r.URL.Query().Get("only") == "self" {
			s = s.Self()
		}
		writeJSON(w, s)
	})
	mux.HandleFunc("GET /v1/trace", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.URL.Query().Get("n"))
		if err != nil || n <= 0 || n > maxTraces {
			n = defaultTraces
		}
		writeJSON(w, recorder.Recent(n))
	})
	mux.HandleFunc("GET /v1/trace/{id}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, recorder.Spans(r.PathValue("id")))
	})
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The reader is gone if this fails.
	_ = json.NewEncoder(w).Encode(v)
}
