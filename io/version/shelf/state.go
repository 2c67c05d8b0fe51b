package shelf

import (
	"context"
	"strconv"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
)

// State reports what the engine serves, in the terms of load orders.
func (s *Shelf) State(ctx context.Context) (roll.Target, error) {
	r, err := s.Engine.Report(ctx)
	if err != nil {
		return roll.Target{}, err
	}
	t := roll.Target{Boot: bootOf(r.Born), LastOrder: r.Orders}
	if r.Serving > 0 {
		t.Serving = s.digestOf(r.Model, r.Serving)
	}
	if r.Loading {
		t.Loading = loadingUnknown
	}
	return t, nil
}

// bootOf names one start of an engine, empty when it does not tell.
func bootOf(born time.Time) string {
	if born.IsZero() {
		return ""
	}
	return strconv.FormatInt(born.UnixMilli(), 10)
}

// loadingUnknown stands for a load whose version the engine does not tell.
const loadingUnknown = chunk.Digest("loading")

// digestOf names a version; one whose manifest is not known gets a name of its
// own, which equals no manifest's.
func (s *Shelf) digestOf(model string, version uint64) chunk.Digest {
	if e, ok := s.Find(model, version); ok {
		return e.Digest
	}
	return chunk.Digest(model + "/" + strconv.FormatUint(version, 10))
}
