package adapt

import (
	"context"
	"strconv"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
)

// State returns what the engine serves and loads, in the form that io/version/order
// needs.
func (a *Adapter) State(ctx context.Context) (roll.Target, error) {
	r, err := a.Engine.Report(ctx)
	if err != nil {
		return roll.Target{}, err
	}
	t := roll.Target{Boot: bootOf(r.StartedAt), LastOrder: r.AcceptedOrders}
	if r.ServedVersion > 0 {
		t.Serving = a.digestOf(r.Model, r.ServedVersion)
	}
	if r.Loading {
		t.Loading = unknownVersion
	}
	return t, nil
}

// bootOf identifies one run of an engine by its start time; it is empty if the engine
// does not report that time.
func bootOf(startedAt time.Time) string {
	if startedAt.IsZero() {
		return ""
	}
	return strconv.FormatInt(startedAt.UnixMilli(), 10)
}

// unknownVersion stands for the version being loaded, which the engine does not report.
const unknownVersion = chunk.Digest("loading")

// digestOf returns the manifest digest of a version. For a version whose manifest is not
// known it returns a string that equals no digest.
func (a *Adapter) digestOf(model string, version uint64) chunk.Digest {
	if e, ok := a.FindVersion(model, version); ok {
		return e.Digest
	}
	return chunk.Digest(model + "/" + strconv.FormatUint(version, 10))
}
