package direct

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/bound"
)

// endCause is why an attempt ended before its response was complete.
type endCause string

// The causes. With all but causeTarget, it was the entry that aborted the attempt.
const (
	causeVersionTooOld endCause = "overdue"
	causeTargetSilent  endCause = "targetSilent"
	causeTargetLoading endCause = "targetLoading"
	causeEventOrder    endCause = "eventOutOfOrder"
	causeReadCutOff    endCause = "readCutOff"
	causeStopping      endCause = "stopping"
	causeTarget        endCause = "target"
)

// abortCauses maps the errors with which the entry aborts an attempt to their causes.
var abortCauses = []struct {
	err      error
	endCause endCause
}{
	{errVersionTooOld, causeVersionTooOld},
	{errSilent, causeTargetSilent},
	{errLoading, causeTargetLoading},
	{errOrder, causeEventOrder},
	{errEventID, causeEventOrder},
	{errStopping, causeStopping},
}

// causeOf returns why an attempt ended with err. byEntry is set if the entry aborted
// it.
func causeOf(err error) (c endCause, byEntry bool) {
	for _, o := range abortCauses {
		if errors.Is(err, o.err) {
			return o.endCause, true
		}
	}
	if _, cut := bound.Of(err); cut {
		return causeReadCutOff, true
	}
	return causeTarget, false
}

// endCounts counts by cause, since the start of the process, the attempts that the
// entry aborted and the responses that it cut off in the middle.
type endCounts struct {
	mu     sync.Mutex
	counts []trail.AttemptEndCount
}

func (e *endCounts) countAborted(c endCause) { e.count(c, 1, 0) }

func (e *endCounts) countBrokenOff(c endCause) { e.count(c, 0, 1) }

func (e *endCounts) count(c endCause, aborted, brokenOff int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.counts, func(n trail.AttemptEndCount) bool { return n.Cause == string(c) })
	if i < 0 {
		i = len(e.counts)
		e.counts = append(e.counts, trail.AttemptEndCount{Cause: string(c)})
	}
	e.counts[i].Abandoned += aborted
	e.counts[i].BrokenOff += brokenOff
}

func (e *endCounts) all() []trail.AttemptEndCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.counts)
}

// AttemptEnds returns, by cause, how many attempts the entry has aborted and how many
// responses it has cut off in the middle since the start of the process.
func (s *Server) AttemptEnds() []trail.AttemptEndCount { return s.endCounts.all() }
