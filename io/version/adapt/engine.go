package adapt

import (
	"context"
	"time"

	"hawthornferry/core/version/chunk"
)

// Report is the state that an engine reports. ServedVersion is 0 if the engine has no
// weights. StartedAt is zero if unknown, and AcceptedOrders counts the load orders that
// it has accepted since then. Active and Queued count its requests; Slowness is how many
// times longer than declared its steps take.
type Report struct {
	Model          string
	ServedVersion  uint64
	Loading        bool
	StartedAt      time.Time
	AcceptedOrders uint64
	Active         int
	Queued         int
	Slowness       float64
}

// Engine is the control interface of one engine. The engine stages the chunks of a model
// under their numbers, one chunk for each number; HeldNumbers lists the numbers for which it
// has a chunk, and Put overwrites the chunk of a number. Get reads a chunk back that should
// have size bytes, and may fail if it is far longer. OrderLoad orders the engine to load
// the staged chunks as the given version; orders is how many orders the engine must have
// accepted before.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	HeldNumbers(ctx context.Context, model string) ([]int, error)
	Put(ctx context.Context, model string, num int, b []byte) error
	Get(ctx context.Context, model string, num int, size int64) ([]byte, error)
	OrderLoad(ctx context.Context, model string, version, orders uint64) error
}

// Origin serves the weights of every version. Manifest lists the chunks of a version,
// and ReadChunk reads the chunk with number num; progress is called with the number of bytes
// of each part received.
type Origin interface {
	Manifest(ctx context.Context, model string, version uint64) (chunk.Manifest, error)
	ReadChunk(ctx context.Context, model string, version uint64, num int, size int64, progress func(n int)) ([]byte, error)
}
