package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// A read with status 5xx or 429 must return Unavailable, with any other error
// status BadReply. A missing row or object must return NotFound.
func TestReadErrors(t *testing.T) {
	status, body := http.StatusOK, ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer s.Close()
	c, err := New([]string{s.URL}, Options{MaxAttempts: 1, BreakerThreshold: 100})
	require.NoError(t, err)
	var (
		unavailable *Unavailable
		notFound    *NotFound
		bad         *BadReply
	)
	for _, tc := range []struct {
		status      int
		body        string
		row, object any
	}{
		{http.StatusServiceUnavailable, "", &unavailable, &unavailable},
		{http.StatusInternalServerError, "", &unavailable, &unavailable},
		{http.StatusTooManyRequests, "", &unavailable, &unavailable},
		{http.StatusNotFound, "", &bad, &notFound},
		{http.StatusForbidden, "", &bad, &bad},
		{http.StatusOK, `{"rows":[],"ver":7}`, &notFound, &bad},
		{http.StatusOK, `{"rows":[{"table":"rows","key":"r","value":"eA==","ver":7}],"ver":7}`, &bad, &bad},
	} {
		status, body = tc.status, tc.body
		_, err := c.ReadRow(t.Context(), "r")
		require.ErrorAs(t, err, tc.row, "read of a row with status %d", status)
		_, err = c.GetObject(t.Context(), "d")
		require.ErrorAs(t, err, tc.object, "read of an object with status %d", status)
	}
}
