package alert

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/poison"
)

const (
	// lookEvery is how often the listed targets are compared with the strikes.
	lookEvery = time.Second
	// freshAge is how old the belief may be for that, and freshFor for how long it must
	// have been no older: what lapsed while the store was away is sorted out after its
	// return.
	freshAge = 2 * time.Second
	freshFor = 10 * time.Second
)

// Listing lets requests through again whose targets turn out not to have crashed, where
// no answer shows it: all reset their connections for a while, as behind a faulty
// network. Set the exported fields before Run.
type Listing struct {
	Clock    clockwork.Clock
	Registry *Registry
	Source   facts.Source
}

// Run compares until ctx ends.
func (l *Listing) Run(ctx context.Context) error {
	fresh := l.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.Clock.After(lookEvery):
		}
		f, age := facts.Take(l.Source)
		switch {
		case age.OlderThan(freshAge):
			fresh = l.Clock.Now()
		case l.Registry.Any() && l.Clock.Since(fresh) >= freshFor:
			l.Registry.listed(startsOf(f))
		}
	}
}

func startsOf(f *facts.Facts) map[poison.Start]bool {
	out := make(map[poison.Start]bool, len(f.Targets))
	for _, t := range f.Targets {
		out[poison.StartOf(t.ID, t.Born)] = true
	}
	return out
}
