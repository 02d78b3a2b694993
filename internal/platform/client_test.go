package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// A read that the platform answers with a 5xx is unavailable; one that it
// refuses is not.
func TestReadErrors(t *testing.T) {
	status := http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer s.Close()
	c, err := New([]string{s.URL}, Options{MaxTries: 1, TripAfter: 100})
	require.NoError(t, err)
	var (
		unavailable *Unavailable
		notFound    *NotFound
		bad         *BadReply
	)
	for _, tc := range []struct {
		status int
		target any
	}{
		{http.StatusServiceUnavailable, &unavailable},
		{http.StatusInternalServerError, &unavailable},
		{http.StatusNotFound, &notFound},
		{http.StatusForbidden, &bad},
	} {
		status = tc.status
		_, err := c.ReadRow(t.Context(), "r")
		require.ErrorAs(t, err, tc.target, "row, status %d", status)
		_, err = c.GetObject(t.Context(), "d")
		require.ErrorAs(t, err, tc.target, "object, status %d", status)
	}
}
