package feed

import (
	"slices"
	"time"

	"hawthornferry/core/process/facts"
)

// confirm makes what is held the belief of the moment asked; it is called
// with the feed locked.
func (f *Feed) confirm(asked time.Duration, at uint64) {
	c := f.contact()
	if !c.Known {
		f.gone.from = at
	}
	c.Confirm(asked, at)
	f.known, f.revision, f.confirmed = c.Known, c.Revision, c.Confirmed
	f.lapse()
	f.publish()
}

// lapse drops the targets whose grace has ended.
func (f *Feed) lapse() {
	now := f.Clock.Now()
	for key, end := range f.lapsing {
		if now.Before(end) {
			continue
		}
		f.noteTarget("lost", f.facts[key], f.revision)
		delete(f.lapsing, key)
		delete(f.facts, key)
	}
}

// publish hands the belief out when it has changed.
func (f *Feed) publish() {
	old := f.current.Load()
	now := &facts.Facts{Revision: f.revision, Versions: f.versions()}
	for _, key := range sortedKeys(f.facts) {
		fact := f.facts[key]
		switch {
		case fact.Config != nil:
			now.Table, now.Origin = fact.Config.Table, fact.Config.Origin
		case fact.Target != nil:
			now.Targets = append(now.Targets, *fact.Target)
		}
	}
	now.Targets = facts.Present(now.Targets)
	f.current.Store(now)
	f.Self.Revision.Store(f.revision)
	if old.Revision != now.Revision || old.Table != now.Table || len(old.Targets) != len(now.Targets) {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func sortedKeys(m map[string]Fact) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
