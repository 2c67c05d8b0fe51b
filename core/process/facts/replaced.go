package facts

import (
	"net/netip"
	"slices"
	"time"
)

// endpoint is an address of a service, at which one target can run at a time.
type endpoint struct {
	service string
	address netip.AddrPort
}

// maxClockError is how far the clock of a target may be ahead of that of this process.
const maxClockError = time.Hour

// DropReplaced removes the targets whose address has been taken over by a later
// start of the same service. It modifies the given slice. A target that lost
// power stays in the list for some heartbeats next to its successor. Requests
// sent to the old one are rejected, and while a whole service restarts such
// requests would use up the retry budget. A start later than now is an error of
// whoever wrote it, and replaces no target.
func DropReplaced(all []Target, now time.Time) []Target {
	latest := map[endpoint]time.Time{}
	newest := now.Add(maxClockError)
	for _, t := range all {
		e := endpoint{t.Service, t.Address}
		if t.StartedAt.After(latest[e]) && !t.StartedAt.After(newest) {
			latest[e] = t.StartedAt
		}
	}
	return slices.DeleteFunc(all, func(t Target) bool {
		return !t.StartedAt.IsZero() && t.StartedAt.Before(latest[endpoint{t.Service, t.Address}])
	})
}
