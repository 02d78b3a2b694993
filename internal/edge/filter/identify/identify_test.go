package identify

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/quarantine"
	"github.com/banyandeal/banyandeal/internal/edge/gateway"
	"github.com/banyandeal/banyandeal/internal/edge/ingress"
	"github.com/banyandeal/banyandeal/internal/edge/memory"
)

func fingerprint(id, host, path, object, credentials, body string) quarantine.Fingerprint {
	h := http.Header{"X-Banyandeal-Request-Id": {id}, "Cookie": {"lang=en; X-Banyandeal-Affinity-Key=" + object}}
	if credentials != "" {
		h.Set("Authorization", credentials)
	}
	ex := &gateway.Exchange{Request: &ingress.Request{
		Method: http.MethodPost, Target: path, Host: host, Header: h, Body: memory.Body{[]byte(body)}, Received: time.Now(),
	}}
	Filter{}.Serve(context.Background(), ex, func(context.Context, *gateway.Exchange) *ingress.Response { return nil })
	return ex.Fingerprint
}

// TestRepeatsHaveOneFingerprint guards against logs in which the repeats of one request
// cannot be told from different requests, because each repeat has an id of its own.
func TestRepeatsHaveOneFingerprint(t *testing.T) {
	first := fingerprint("1", "Shop.example", "/a/1", "o", "", "x")
	require.Equal(t, first, fingerprint("2", "shop.example", "/a/1", "o", "", "x"))
	for name, other := range map[string]quarantine.Fingerprint{
		"host":        fingerprint("2", "other.example", "/a/1", "o", "", "x"),
		"path":        fingerprint("2", "shop.example", "/a/2", "o", "", "x"),
		"object":      fingerprint("2", "shop.example", "/a/1", "p", "", "x"),
		"credentials": fingerprint("2", "shop.example", "/a/1", "o", "Bearer q", "x"),
		"body":        fingerprint("2", "shop.example", "/a/1", "o", "", "y"),
	} {
		require.NotEqual(t, first, other, name)
	}
}
