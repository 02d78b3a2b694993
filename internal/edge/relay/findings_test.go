package relay

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/edge/feeds"
	"github.com/banyandeal/banyandeal/platform"
)

// heldFindings holds the findings of an instance.
type heldFindings struct {
	mu          sync.Mutex
	own, source peers.Findings
	told        map[string]peers.Findings
	confirmed   int
}

func (h *heldFindings) Findings() peers.Findings {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own
}

func (h *heldFindings) Told(instance string, f peers.Findings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = map[string]peers.Findings{instance: f}
}

func (h *heldFindings) SourceDigest() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.source.Digest
}

func (h *heldFindings) SourceTold(f peers.Findings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.source = f
}

func (h *heldFindings) SourceConfirmed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed++
}

// TestFindingsReachFollowers guards against lookups that name what another instance has found to
// be gone: those that read from it must hear of it at once, not with the next change of a table,
// and once.
func TestFindingsReachFollowers(t *testing.T) {
	const longWait = 5 * time.Second
	suspect := peers.Finding{Name: "suspect", Incarnation: 5, RowVersion: 6}
	gone := peers.Findings{
		List:      []peers.Finding{{Name: "gone", Incarnation: 3, RowVersion: 4}},
		Suspected: []peers.Suspicion{{Finding: suspect, Age: 1200 * time.Millisecond, Observers: []string{"other"}}},
		Digest:    9,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	replica, reader, follower := feeds.NewReplica(), &heldFindings{}, &heldFindings{}
	server, client := NewClient("reader", &net.Dialer{}), NewClient("one", &net.Dialer{})
	server.ShareFindings(reader)
	client.ShareFindings(follower)
	go func() { _ = NewServer(replica, server, nil, nil, func(string) {}).Serve(t.Context(), l) }()
	replica.Reset(platform.TableOperator, nil, at(7))
	source := client.Source(l.Addr().String())

	time.AfterFunc(50*time.Millisecond, func() {
		reader.mu.Lock()
		reader.own = gone
		reader.mu.Unlock()
		replica.Interrupt(platform.TableOperator)
	})
	began := time.Now()
	_, position, err := source.Changes(t.Context(), platform.TableOperator, at(7), longWait)
	require.NoError(t, err)
	require.Equal(t, at(7), position)
	require.Less(t, time.Since(began), longWait/2)
	require.Equal(t, gone, follower.source)

	_, _, err = source.Changes(t.Context(), platform.TableOperator, at(7), 100*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, 1, follower.confirmed)

	// Findings that end are told too, and a check carries them.
	reader.mu.Lock()
	reader.own = peers.Findings{}
	reader.mu.Unlock()
	_, _, err = source.Changes(t.Context(), platform.TableOperator, at(7), longWait)
	require.NoError(t, err)
	require.Equal(t, peers.Findings{}, follower.source)
	require.NoError(t, client.Check(t.Context(), l.Addr().String(), 0, &gone))
	require.Equal(t, map[string]peers.Findings{"one": gone}, reader.told)
}
