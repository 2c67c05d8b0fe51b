package feed

import (
	"time"

	"hawthornferry/core/process/naming"
	"hawthornferry/core/process/trail"
)

// replace takes items as all that there is; it is called with the feed locked.
func (f *Feed) replace(items []Item, at uint64) {
	there := map[string]bool{}
	for _, it := range items {
		there[it.Key] = true
	}
	for key := range f.items {
		if !there[key] {
			items = append(items, Item{Key: key, Revision: at, Deleted: true})
		}
	}
	f.apply(items, naming.Moment{})
}

// apply takes changes in; live is when they were made, if they came as they were. It
// is called with the feed locked.
func (f *Feed) apply(items []Item, live naming.Moment) {
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
		delete(f.lapsing, it.Key)
		f.read(it, live)
	}
}

// remove drops an item. A target that is missing just after an outage may only
// have been unable to renew its entry: taken for gone, a whole service could
// lose its targets at once. One that lives is back within the grace.
func (f *Feed) remove(it Item) {
	if _, had := f.items[it.Key]; had {
		f.gone.add(it)
	}
	delete(f.items, it.Key)
	fact, ok := f.facts[it.Key]
	if !ok {
		return
	}
	now := f.Clock.Now()
	if end := f.graceEnd(now); fact.Target != nil && now.Before(end) {
		if _, waiting := f.lapsing[it.Key]; !waiting {
			f.lapsing[it.Key] = end
		}
		return
	}
	delete(f.facts, it.Key)
	f.noteTarget("lost", fact, it.Revision)
}

// graceEnd is until when a target that is missing now may be used. It counts from
// the store's return: one that is removed later than targets need to register anew
// has left. Counted from the removal, a process that was itself cut off used a
// target for longer than the bound on leaving ones allows.
func (f *Feed) graceEnd(now time.Time) time.Time {
	if f.backSince.IsZero() {
		return now
	}
	return earlier(f.backSince.Add(returnGrace), now.Add(f.Drain-lapseEvery))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// read decodes an item. What cannot be read leaves the last good one in
// force, but for a target: an entry that names none is not to be used.
func (f *Feed) read(it Item, live naming.Moment) {
	fact, err := f.Reader.Read(it)
	old, had := f.facts[it.Key]
	if err != nil {
		f.Log.Decide(trail.Decision{Area: trail.AreaConfig, Action: "rejectItem", Subject: it.Key, Reason: err.Error(), Revision: it.Revision})
		f.Metrics.Counter("items_rejected_total").Inc(1)
		if had && old.Target != nil {
			delete(f.facts, it.Key)
			f.noteTarget("lost", old, it.Revision)
		}
		return
	}
	if fact == (Fact{}) {
		return
	}
	if v := fact.Version; v != nil {
		f.hear(v, live)
		f.noteVersion(v, it.Revision, live.Known)
	}
	if c := fact.Config; c != nil {
		f.Log.Decide(trail.Decision{Area: trail.AreaConfig, Action: "apply", Subject: "routes", Choice: versionText(c.Table.Version), Revision: it.Revision})
	}
	if fact.Target != nil && (!had || old.Target == nil || old.Target.Leaving != fact.Target.Leaving) {
		action := "gained"
		if fact.Target.Leaving {
			action = "leaving"
		}
		f.noteTarget(action, fact, it.Revision)
	}
	f.facts[it.Key] = fact
}
