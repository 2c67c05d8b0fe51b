package feed

import (
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/verlog"
)

// contact returns the record of the last contact with the store. f.mu must be
// held.
func (f *Feed) contact() verlog.Contact {
	return verlog.Contact{Known: f.known, Revision: f.revision, Confirmed: f.confirmed, Answered: f.answeredUntil, Failed: f.lastFailure}
}

// recordStoreFailure records that a call to the store failed, after before
// failures in a row. After a single failure the store is not yet reported as
// lost: a broken watch ends at all readers at the same time, and all processes
// that follow them would turn to the store.
func (f *Feed) recordStoreFailure(failuresBefore int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailure = f.Uptime()
	if !f.storeLost && failuresBefore > 0 {
		f.storeLost = true
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// clearStoreLost records that an upstream reports again, so that processes which follow
// this one need not leave it because of its own calls to the store.
func (f *Feed) clearStoreLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLost = false
}

// isStoreLost reports whether the last two calls to the store failed.
func (f *Feed) isStoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// recordAnswerTime records when the store answered a call. f.mu must be held.
func (f *Feed) recordAnswerTime(call verlog.StoreCall) {
	c := f.contact()
	c.RecordAnswer(call, f.ranSince)
	f.answeredUntil = c.Answered
}

// addAnnouncement records a version that was just read from an item. live is
// when the item was written, on the Uptime clock, known only if it was received
// as it was written. f.mu must be held.
func (f *Feed) addAnnouncement(v *facts.ModelVersion, live verlog.OptionalTime) {
	c := f.contact()
	e := c.EntryFor(v.Model, v.Version, live, f.Uptime())
	e.StoreUnreachable = c.StoreUnreachable(f.ranSince)
	f.announcements.Add(e)
	f.queries = 0
	f.scheduleQuery()
}

func (f *Feed) ranSince(at time.Duration) bool { return f.RanSince == nil || f.RanSince(at) }

// mergeAnnouncements merges what a peer reports about announcements. f.mu must
// be held.
func (f *Feed) mergeAnnouncements(r verlog.Reply, statements []verlog.VersionReport) {
	before := f.announcements.All()
	if !f.announcements.Merge(r, statements, f.ranSince) || !f.known {
		return
	}
	f.logAnnouncementTimes(before)
	f.publish()
}

// versions returns the announced versions with times on the feed's Clock. f.mu
// must be held.
func (f *Feed) versions() []facts.ModelVersion {
	now, uptime := f.Clock.Now(), f.Uptime()
	var out []facts.ModelVersion
	for _, n := range f.announcements.All() {
		out = append(out, facts.ModelVersion{Model: n.Model, Version: n.Version, Since: now.Add(n.Since - uptime), Read: n.Read})
	}
	return out
}
