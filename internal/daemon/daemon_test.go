package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests of callers must reach the pipeline unmodified. A redirect, such as that
// of http.ServeMux for paths with an empty segment, would change their method or
// path.
func TestCallerRequestsAreNotRedirected(t *testing.T) {
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
