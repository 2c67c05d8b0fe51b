package feed

import (
	"time"

	"hawthornferry/core/process/epoch"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/verlog"
)

// source tells how items were received. live is when they were changed, known only if they
// were received as that happened. restored is set for the first items of a new epoch, which
// show the store's state of some time ago.
type source struct {
	live     verlog.OptionalTime
	restored bool
}

// replaceAll replaces all items by the given ones, read at revision at. f.mu
// must be held.
func (f *Feed) replaceAll(items []Item, at uint64) {
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
	}
	f.applyAll(items, present, at)
}

// applyAll applies items and removes those whose keys are not present at revision at. f.mu
// must be held.
func (f *Feed) applyAll(items []Item, present map[string]bool, at uint64) {
	src := source{restored: f.known && epoch.Of(at) > epoch.Of(f.revision)}
	if src.restored {
		f.beginEpoch(at)
	}
	for key := range f.items {
		if !present[key] {
			items = append(items, Item{Key: key, Revision: at, Deleted: true})
		}
	}
	f.apply(items, src)
}

// apply applies changed items. f.mu must be held.
func (f *Feed) apply(items []Item, src source) {
	for _, it := range items {
		old, had := f.items[it.Key]
		if had && old.Revision > it.Revision {
			continue
		}
		if it.Deleted {
			f.remove(it, src)
			continue
		}
		if had && old.Revision == it.Revision {
			continue
		}
		f.put(it, src)
	}
}

// put stores and decodes a new value of an item. f.mu must be held.
func (f *Feed) put(it Item, src source) {
	if src.restored && f.wasRemoved(it.Key) {
		f.items[it.Key] = it
		f.withheld[it.Key] = f.Clock.Now().Add(withholdTime)
		return
	}
	delete(f.graceEnds, it.Key)
	delete(f.withheld, it.Key)
	fact, err := f.Decoder.Decode(it)
	if err == nil && f.isOlder(it.Key, fact, src) {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "olderItemIgnored", Subject: it.Key, Revision: it.Revision})
		f.keepItem(it)
		return
	}
	f.items[it.Key] = it
	if err == nil {
		f.inheritVersion(it.Key, fact)
		if !src.restored {
			delete(f.rejected, it.Key)
		}
	}
	f.use(it, fact, err, src.live)
}

// remove removes an item. A target that is missing just after an outage of the
// store may only have been unable to renew its registration, so it stays in use
// during the grace: a whole service could otherwise lose all targets at once. A
// running target registers again before the grace ends.
func (f *Feed) remove(it Item, src source) {
	fact, ok := f.decoded[it.Key]
	if src.restored && fact.Config != nil {
		f.keepItem(it)
		return
	}
	if _, had := f.items[it.Key]; had {
		f.removed.add(it)
	}
	delete(f.items, it.Key)
	delete(f.withheld, it.Key)
	delete(f.rejected, it.Key)
	if !ok {
		return
	}
	now := f.Clock.Now()
	registers := fact.Target != nil || src.restored && fact.EvacuatedZone != ""
	if end := f.graceEnd(now); registers && now.Before(end) {
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

// use puts a decoded item in force. If it could not be decoded, the last good version of it
// stays in force, except for a target: a target whose entry is invalid must not
// be used. f.mu must be held.
func (f *Feed) use(it Item, fact DecodedItem, err error, live verlog.OptionalTime) {
	old, had := f.decoded[it.Key]
	if err != nil {
		f.reject(it, err)
		if had && old.Target != nil {
			delete(f.decoded, it.Key)
			f.logTarget("lost", old, it.Revision)
		}
		return
	}
	if fact == (DecodedItem{}) {
		return
	}
	if v := fact.Version; v != nil && !f.announcements.HasRead(v.Model, v.Version) {
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
