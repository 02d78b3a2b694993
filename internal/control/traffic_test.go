package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/pool"
)

// What traffic tells control never waits for it.
func TestTrafficDoesNotWaitForControl(t *testing.T) {
	c := newTestControl(t, nil)
	for c.offer(func(time.Time) {}) {
		continue
	}
	require.Len(t, c.events, eventQueue)
	c.ReportUnreachable("e2:90")
	c.RecordBackendResult(pool.Result{Backend: "a-1-1", Outcome: outcome.Unknown})
	c.SendQuarantineNotices(nil)
	require.Len(t, c.events, eventQueue)
}

// One read of the platform's list is under way at a time, so that lists are
// taken in the order in which they were read.
func TestOneListAtATime(t *testing.T) {
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
