package serve

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Sleep waits for d. It returns the error of ctx when ctx ends first.
func Sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
