package direct

import (
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
)

// cause is why an attempt ended before its answer was whole.
type cause string

// The causes. All but the last are ends by the entry itself.
const (
	causeOverdue cause = "overdue"
	causeSilent  cause = "targetSilent"
	causeLoading cause = "targetLoading"
	causeOrder   cause = "eventOutOfOrder"
	causeTarget  cause = "target"
)

// ownCauses lists the errors with which an entry ends an attempt.
var ownCauses = []struct {
	err   error
	cause cause
}{
	{errOverdue, causeOverdue},
	{errSilent, causeSilent},
	{errLoading, causeLoading},
	{errOrder, causeOrder},
}

// causeOf returns the cause of an attempt's end; own is set when the entry ended it.
func causeOf(err error) (c cause, own bool) {
	for _, o := range ownCauses {
		if errors.Is(err, o.err) {
			return o.cause, true
		}
	}
	return causeTarget, false
}

// ends counts, since the start of the process, the attempts that the entry ended
// itself and the answers that it closed in the middle, by cause.
type ends struct {
	mu     sync.Mutex
	counts []trail.EndCount
}

func (e *ends) abandoned(c cause) { e.add(c, 1, 0) }

func (e *ends) brokenOff(c cause) { e.add(c, 0, 1) }

func (e *ends) add(c cause, abandoned, brokenOff int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.counts, func(n trail.EndCount) bool { return n.Cause == string(c) })
	if i < 0 {
		i = len(e.counts)
		e.counts = append(e.counts, trail.EndCount{Cause: string(c)})
	}
	e.counts[i].Abandoned += abandoned
	e.counts[i].BrokenOff += brokenOff
}

func (e *ends) all() []trail.EndCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.counts)
}

// Ends returns how many attempts the entry ended itself, and how many answers it
// closed in the middle, by cause.
func (s *Server) Ends() []trail.EndCount { return s.ends.all() }
