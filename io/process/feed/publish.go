package feed

import (
	"slices"
	"time"

	"hawthornferry/core/process/facts"
)

// confirm records that the state at revision at was current at the time asked,
// and publishes it. f.mu must be held.
func (f *Feed) confirm(since time.Duration, at uint64) {
	c := f.contact()
	if !c.Known {
		f.removed.completeAfter = at
	}
	c.Confirm(since, at)
	if !f.known {
		f.logFirstState(at)
	}
	f.known, f.revision, f.confirmed = c.Known, c.Revision, c.Confirmed
	f.dropExpired()
	f.useWithheld()
	f.publish()
}

// dropExpired drops the missing targets whose grace has ended. f.mu must be
// held.
func (f *Feed) dropExpired() {
	now := f.Clock.Now()
	for key, end := range f.graceEnds {
		if now.Before(end) {
			continue
		}
		f.logTarget("lost", f.decoded[key], f.revision)
		delete(f.graceEnds, key)
		delete(f.decoded, key)
	}
}

// publish makes the state available to Current and, if it has changed, closes
// the channel of Changed. f.mu must be held.
func (f *Feed) publish() {
	old := f.current.Load()
	now := &facts.Facts{Revision: f.revision, Versions: f.versions()}
	for _, key := range sortedKeys(f.decoded) {
		fact := f.decoded[key]
		switch {
		case fact.Config != nil:
			now.Table, now.Origin = fact.Config.Table, fact.Config.Origin
		case fact.Target != nil:
			now.Targets = append(now.Targets, *fact.Target)
		}
	}
	now.Targets = facts.DropReplaced(now.Targets, f.Clock.Now())
	f.markEvacuated(now.Targets)
	f.current.Store(now)
	f.Self.Revision.Store(f.revision)
	if old.Revision != now.Revision || old.Table != now.Table || len(old.Targets) != len(now.Targets) {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// markEvacuated marks the targets of zones that are being evacuated. f.mu must be held.
func (f *Feed) markEvacuated(targets []facts.Target) {
	zones := map[string]bool{}
	for _, fact := range f.decoded {
		if fact.EvacuatedZone != "" {
			zones[fact.EvacuatedZone] = true
		}
	}
	for i, t := range targets {
		targets[i].Evacuated = zones[t.Zone]
	}
}

func sortedKeys(m map[string]DecodedItem) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
