// Package wait has a sleep that a context ends.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
