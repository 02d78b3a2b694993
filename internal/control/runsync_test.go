package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runSync reports failure if the control goroutine ends or the caller's context
// is cancelled while f runs. The result of f is then discarded without
// blocking.
func TestRunSyncAfterShutdown(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(cancelControl, cancelCaller context.CancelFunc)
	}{
		{"control goroutine ends", func(cancelControl, _ context.CancelFunc) { cancelControl() }},
		{"caller is cancelled", func(_, cancelCaller context.CancelFunc) { cancelCaller() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancelControl := context.WithCancel(t.Context())
			defer cancelControl()
			callerCtx, cancelCaller := context.WithCancel(t.Context())
			defer cancelCaller()
			c := &Control{events: make(chan func(time.Time), 1), ctx: ctx}
			type result struct {
				value int
				ok    bool
			}
			results := make(chan result)
			go func() {
				v, ok := runSync(callerCtx, c, func(time.Time) int { return 1 })
				results <- result{v, ok}
			}()
			event := <-c.events
			tc.end(cancelControl, cancelCaller)
			require.Equal(t, result{}, <-results)
			event(time.Now()) // f finishes after its caller has returned
		})
	}
}
