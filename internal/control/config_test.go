package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/config/static"
)

// requestedHeads returns the sources from which the receiver requests a head.
func requestedHeads(r publish.Ready) []publish.Source {
	var out []publish.Source
	for _, f := range r.Fetch {
		if f.Digest == "" {
			out = append(out, f.Source)
		}
	}
	return out
}

// A new instance must not accept the platform's version, which may be outdated,
// before every configured neighbour and every neighbour that it discovered has
// responded or failed.
func TestNewInstanceAsksNeighbours(t *testing.T) {
	c := newTestControl(t, func(s *static.Settings) { s.Neighbours = []string{"e1:90", "e3:90"} })
	r := c.config.receiver
	require.Equal(t, []publish.Source{publish.Platform, "e3:90"}, requestedHeads(r.Ready()))
	c.serveExchange(epoch, heartbeatOf(t, instance("e2", 1, "a"), 5, nil, nil))
	require.Equal(t, []publish.Source{"e2"}, requestedHeads(r.Ready()))

	digest := config.DigestOf([]byte("manifest"))
	manifest := func(version uint64) publish.Head {
		return publish.Head{Version: version, Manifest: digest, Root: digest}
	}
	r.HeadReceived(publish.Platform, manifest(4))
	r.FetchFailed(publish.Fetch{Source: "e3:90"})
	require.Empty(t, r.Ready().Fetch, "e2 has not responded")
	r.HeadReceived("e2", manifest(5))
	require.Equal(t, []publish.Fetch{{Source: "e2", Digest: digest}}, r.Ready().Fetch)
	require.Equal(t, "e3:90", c.config.addrs["e3:90"])
}

// A new instance does not wait for a neighbour that has no version, and does
// not wait again for a neighbour that has already responded or failed.
func TestNewInstanceWaitsForEachNeighbourOnce(t *testing.T) {
	c := newTestControl(t, nil)
	r := c.config.receiver
	r.Ready()
	c.serveExchange(epoch, heartbeatOf(t, instance("e2", 1, "a"), 0, nil, nil))
	c.serveExchange(epoch, heartbeatOf(t, instance("e3", 1, "a"), 4, nil, nil))
	require.Equal(t, []publish.Source{"e3"}, requestedHeads(r.Ready()))
	r.FetchFailed(publish.Fetch{Source: "e3"})
	c.serveExchange(epoch, heartbeatOf(t, instance("e3", 1, "a"), 4, nil, nil))
	digest := config.DigestOf([]byte("manifest"))
	r.HeadReceived(publish.Platform, publish.Head{Version: 4, Manifest: digest, Root: digest})
	require.NotEmpty(t, r.Ready().Fetch)
	require.Nil(t, r.Current())
}
