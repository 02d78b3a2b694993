package operator_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/operator/client"
	"github.com/banyandeal/banyandeal/internal/trace"
)

// The client and the handler must agree on the parts of a status.
func TestStatusParts(t *testing.T) {
	status := operator.Status{
		Instance: "a1", Version: 7, Instances: []operator.InstanceStatus{{ID: "a1"}}, Links: []operator.LinkStatus{{From: "pecs"}},
	}
	s := httptest.NewServer(operator.NewHandler(func() operator.Status { return status }, trace.NewRecorder("a1", 8, nil)))
	defer s.Close()
	c := client.New(time.Minute)
	defer c.Close()
	for part, want := range map[string]operator.Status{
		"":                status,
		operator.PartWork: {Instance: "a1", Version: 7, Links: status.Links},
		operator.PartSelf: {Instance: "a1", Version: 7},
	} {
		got, err := c.Status(t.Context(), s.URL, part)
		require.NoError(t, err)
		require.Equal(t, want, got, part)
	}
}
