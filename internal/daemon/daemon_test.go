package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCallerPathsAreNotRedirected: what a caller sends reaches the pipeline as
// it is; a redirection would turn its method or path into another.
func TestCallerPathsAreNotRedirected(t *testing.T) {
	status := func(code int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) })
	}
	h := callerHandler(status(201), status(202))
	for _, c := range []struct {
		method, target string
		status         int
	}{
		{"GET", "/v1/lookup?service=s", 201},
		{"HEAD", "/v1/lookup", 201},
		{"POST", "/v1/lookup", 202},
		{"POST", "/s//decisions", 202},
		{"POST", "//s/decisions", 202},
		{"POST", "/s/a/../decisions", 202},
		{"GET", "/v1/lookup/", 202},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.target, nil))
		require.Equal(t, c.status, w.Code, "%v", c)
	}
}
