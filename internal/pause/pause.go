// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until the context ends if that is sooner. It returns false if
// the context has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
