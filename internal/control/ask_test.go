package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An answer that comes after the control goroutine was told to end, or after
// the asker has left, is seen by nobody.
func TestAskAfterEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(control, asker context.CancelFunc)
	}{
		{"control ends", func(control, _ context.CancelFunc) { control() }},
		{"asker leaves", func(_, asker context.CancelFunc) { asker() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, control := context.WithCancel(t.Context())
			defer control()
			askCtx, asker := context.WithCancel(t.Context())
			defer asker()
			c := &Control{events: make(chan func(time.Time), 1), ctx: ctx}
			type answer struct {
				value int
				ok    bool
			}
			answers := make(chan answer)
			go func() {
				v, ok := ask(askCtx, c, func(time.Time) int { return 1 })
				answers <- answer{v, ok}
			}()
			event := <-c.events
			tc.end(control, asker)
			require.Equal(t, answer{}, <-answers)
			event(time.Now()) // the goroutine was in the middle of it
		})
	}
}
