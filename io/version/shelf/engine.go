package shelf

import (
	"context"
	"time"

	"hawthornferry/core/version/chunk"
)

// Report is what an engine tells of itself. Serving is 0 while it lacks
// weights; Born names its start and Orders counts those it has taken since.
type Report struct {
	Model   string
	Serving uint64
	Loading bool
	Born    time.Time
	Orders  uint64
	Active  int
	Queued  int
	Pace    float64
}

// Engine is an engine that keeps the chunks of a model by their numbers, one
// of each. Begin orders it to load what it keeps as the given version;
// Orders is how many orders it must have taken before.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	Held(ctx context.Context, model string) ([]int, error)
	Put(ctx context.Context, model string, num int, b []byte) error
	Get(ctx context.Context, model string, num int) ([]byte, error)
	Begin(ctx context.Context, model string, version, orders uint64) error
}

// Origin is where versions are drawn from. Manifest lists the chunks of a
// version.
type Origin interface {
	Manifest(ctx context.Context, model string, version uint64) (chunk.Manifest, error)
	Piece(ctx context.Context, model string, version uint64, num int, size int64, progress func(n int)) ([]byte, error)
}
