package feed

import (
	"time"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/verlog"
)

// replaceAll replaces all items by the given ones, read at revision at. f.mu
// must be held.
func (f *Feed) replaceAll(items []Item, at uint64) {
	present := map[string]bool{}
	for _, it := range items {
		present[it.Key] = true
	}
	for key := range f.items {
		if !present[key] {
			items = append(items, Item{Key: key, Revision: at, Deleted: true})
		}
	}
	f.apply(items, verlog.OptionalTime{})
}

// apply applies changed items. live is when they were changed, known only if
// they were received as that happened. f.mu must be held.
func (f *Feed) apply(items []Item, live verlog.OptionalTime) {
	for _, it := range items {
		if old, ok := f.items[it.Key]; ok && old.Revision > it.Revision {
			continue
		}
		if it.Deleted {
			f.remove(it)
			continue
		}
		if f.items[it.Key].Revision == it.Revision {
			continue
		}
		f.items[it.Key] = it
		delete(f.graceEnds, it.Key)
		f.decode(it, live)
	}
}

// remove removes an item. A target that is missing just after an outage of the
// store may only have been unable to renew its registration, so it stays in use
// during the grace: a whole service could otherwise lose all targets at once. A
// running target registers again before the grace ends.
func (f *Feed) remove(it Item) {
	if _, had := f.items[it.Key]; had {
		f.removed.add(it)
	}
	delete(f.items, it.Key)
	fact, ok := f.decoded[it.Key]
	if !ok {
		return
	}
	now := f.Clock.Now()
	if end := f.graceEnd(now); fact.Target != nil && now.Before(end) {
		if _, waiting := f.graceEnds[it.Key]; !waiting {
			f.graceEnds[it.Key] = end
		}
		return
	}
	delete(f.decoded, it.Key)
	f.logTarget("lost", fact, it.Revision)
	f.logEvacuation("evacuationEnded", fact, it.Revision)
}

// graceEnd returns until when a target that is found missing now may be used.
// The grace counts from the store's return: a target removed after targets have
// had time to register again has really left. Counted from the removal, a
// process that had been disconnected alone used a target for longer than
// DrainTime allows.
func (f *Feed) graceEnd(now time.Time) time.Time {
	if f.storeBackAt.IsZero() {
		return now
	}
	return earlier(f.storeBackAt.Add(registerGrace), now.Add(f.DrainTime-graceCheckInterval))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// decode decodes an item. If it can't be decoded, the last good version of it
// stays in force, except for a target: a target whose entry is invalid must not
// be used.
func (f *Feed) decode(it Item, live verlog.OptionalTime) {
	fact, err := f.Decoder.Decode(it)
	old, had := f.decoded[it.Key]
	if err != nil {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "rejectItem", Subject: it.Key, Reason: err.Error(), Revision: it.Revision})
		f.Metrics.Counter("items_rejected_total").Inc(1)
		if had && old.Target != nil {
			delete(f.decoded, it.Key)
			f.logTarget("lost", old, it.Revision)
		}
		return
	}
	if fact == (DecodedItem{}) {
		return
	}
	if v := fact.Version; v != nil {
		f.addAnnouncement(v, live)
		f.logVersion(v, it.Revision, live.Known)
	}
	if c := fact.Config; c != nil {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "apply", Subject: "routes", Choice: versionText(c.Table.Version), Revision: it.Revision})
		f.logProblems(it, c.Problems)
	}
	f.logEvacuation("evacuate", fact, it.Revision)
	if fact.Target != nil && (!had || old.Target == nil || old.Target.Leaving != fact.Target.Leaving) {
		action := "gained"
		if fact.Target.Leaving {
			action = "leaving"
		}
		if f.known {
			f.logTarget(action, fact, it.Revision)
		}
	}
	if t := fact.Target; t != nil && t.WarmupLeft > 0 {
		t.ColdUntil = f.Clock.Now().Add(t.WarmupLeft)
	}
	f.decoded[it.Key] = fact
}
