package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/pool"
)

// Calls from request handling must not block when the event queue is full.
func TestTrafficCallsDoNotBlock(t *testing.T) {
	c := newTestControl(t, nil)
	for c.tryPost(func(time.Time) {}) {
		continue
	}
	require.Len(t, c.events, eventQueueSize)
	c.ReportUnreachable("e2:90")
	c.RecordBackendResult(pool.Result{Backend: "a-1-1", Outcome: outcome.Unknown})
	c.SendQuarantineNotices(nil)
	require.Len(t, c.events, eventQueueSize)
}

// Only one read of the platform's list may be in progress, so that lists are
// applied in the order in which they were read.
func TestOneListReadAtATime(t *testing.T) {
	c := newTestControl(t, nil)
	c.pollList()
	c.pollList()
	c.io.Wait()
	require.Len(t, c.events, 1)
	(<-c.events)(epoch)
	c.pollList()
	c.io.Wait()
	require.Len(t, c.events, 1)
}
