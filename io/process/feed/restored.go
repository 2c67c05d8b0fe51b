package feed

import (
	"time"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/verlog"
)

// withholdTime is how long a target that the store lists again, although its removal had
// been seen, gets no requests. Within it a target that has left is removed again: its
// registration lapses after three heartbeats.
const withholdTime = 5 * time.Second

// beginEpoch prepares for the state of a store that was restored from an older copy. What was
// written after the copy is missing there until its writers write it again. f.mu must be
// held.
func (f *Feed) beginEpoch(at uint64) {
	// Targets that are missing now register again, as after an outage.
	f.storeBackAt = f.Clock.Now()
	// A peer of an older epoch may have items that this process has never seen, so that it
	// must be sent all keys.
	f.removed.completeAfter = at
	f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "storeRestored", Revision: at})
}

// wasRemoved reports whether the removal of an item has been seen, and no later item of that
// key. f.mu must be held.
func (f *Feed) wasRemoved(key string) bool {
	if _, present := f.items[key]; present {
		return false
	}
	return f.removed.has(key)
}

// isOlder reports whether a decoded item is older than the one in force: a configuration
// with a lower version or, in a store that was restored, the state of a target from before
// it began to leave. f.mu must be held.
func (f *Feed) isOlder(key string, fact DecodedItem, src source) bool {
	old := f.decoded[key]
	switch {
	case old.Config != nil && fact.Config != nil:
		if fact.Config.Table.Version == 0 {
			return src.restored
		}
		return fact.Config.Table.Version < old.Config.Table.Version
	case old.Target != nil && fact.Target != nil:
		sameRun := fact.Target.StartedAt.Equal(old.Target.StartedAt)
		return src.restored && sameRun && old.Target.Leaving && !fact.Target.Leaving
	default:
		return false
	}
}

// inheritVersion gives a configuration without a readable version that of the former one. Its
// place in the order of the store is known nevertheless. f.mu must be held.
func (f *Feed) inheritVersion(key string, fact DecodedItem) {
	old := f.decoded[key].Config
	if c := fact.Config; c != nil && c.Table.Version == 0 && old != nil {
		c.Table.Version = old.Table.Version
	}
}

// keepItem keeps the value of an item at the revision of another one, so that peers get it as
// well. f.mu must be held.
func (f *Feed) keepItem(other Item) {
	it, present := f.items[other.Key]
	if !present {
		it = other
	}
	it.Revision = other.Revision
	f.items[other.Key] = it
}

// configVersion returns the version of the configuration in force, 0 if there is none. f.mu
// must be held.
func (f *Feed) configVersion() uint64 {
	if t := f.current.Load().Table; t != nil {
		return t.Version
	}
	return 0
}

// packAhead returns the configuration for a peer that has an older one at the same or a later
// revision, nil for any other peer. f.mu must be held.
func (f *Feed) packAhead(req *factsRequest) []byte {
	if !f.known || req.ConfigVersion == 0 || f.configVersion() <= req.ConfigVersion {
		return nil
	}
	var ahead []Item
	for key, fact := range f.decoded {
		_, rejected := f.rejected[key]
		if it := f.items[key]; fact.Config != nil && !rejected && it.Revision <= req.After {
			ahead = append(ahead, it)
		}
	}
	packed, err := packItems(ahead)
	if err != nil {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "rejectItem", Reason: err.Error(), Revision: f.revision})
	}
	return packed
}

// adoptAhead adopts the configuration of a peer that is newer than this process's, although the
// state of the store that holds it was lost. f.mu must be held.
func (f *Feed) adoptAhead(reply *factsReply) {
	items, err := unpackItems(reply.PackedAhead)
	if err != nil {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "rejectItem", Reason: err.Error(), Revision: reply.AtRevision})
		return
	}
	for _, it := range items {
		fact, err := f.Decoder.Decode(it)
		former, present := f.items[it.Key]
		if err != nil || !present || fact.Config == nil || fact.Config.Table.Version <= f.configVersion() {
			continue
		}
		it.Revision = former.Revision
		if _, rejected := f.rejected[it.Key]; !rejected {
			f.items[it.Key] = it
		}
		f.use(it, fact, nil, verlog.OptionalTime{})
		f.publish()
	}
}

// useWithheld decodes the withheld items whose time has passed. f.mu must be held.
func (f *Feed) useWithheld() {
	now := f.Clock.Now()
	for key, until := range f.withheld {
		if now.Before(until) {
			continue
		}
		delete(f.withheld, key)
		fact, err := f.Decoder.Decode(f.items[key])
		f.use(f.items[key], fact, err, verlog.OptionalTime{})
	}
}
