package alert

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/poison"
)

const (
	// checkInterval is how often the listed targets are compared with the recorded
	// failures.
	checkInterval = time.Second
	// maxListAge is how old the list of targets may be for the comparison, and
	// minFreshTime is for how long it must have been no older before. After an outage of
	// the store, the list needs that long to become correct again.
	maxListAge   = 2 * time.Second
	minFreshTime = 10 * time.Second
)

// ListChecker clears requests whose targets turn out not to have crashed although no answer
// shows it, such as when all targets reset their connections for a while behind a faulty
// network: a target start that is still listed has survived. Set the exported fields before
// Run.
type ListChecker struct {
	Clock    clockwork.Clock
	Registry *Registry
	Source   facts.Source
}

// Run compares the listed targets with the recorded failures until ctx ends.
func (l *ListChecker) Run(ctx context.Context) error {
	freshSince := l.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.Clock.After(checkInterval):
		}
		f, age := facts.Snapshot(l.Source)
		switch {
		case age.OlderThan(maxListAge):
			freshSince = l.Clock.Now()
		case l.Registry.HasRecords() && l.Clock.Since(freshSince) >= minFreshTime:
			l.Registry.applyListing(listedStarts(f))
		}
	}
}

func listedStarts(f *facts.Facts) map[poison.Incarnation]bool {
	out := make(map[poison.Incarnation]bool, len(f.Targets))
	for _, t := range f.Targets {
		out[poison.NewIncarnation(t.ID, t.StartedAt)] = true
	}
	return out
}
