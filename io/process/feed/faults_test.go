package feed

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/trail"
)

// checkAging fails the test unless the age of the feed's state grows over the given time as if
// nothing confirmed it.
func checkAging(t *testing.T, name string, f *Feed, d time.Duration) {
	t.Helper()
	before, known := f.Age()
	time.Sleep(d)
	after, _ := f.Age()
	if grown := after - before; !known || grown < d {
		t.Errorf("%s: the age grew by %s in %s, want no confirmation", name, grown, d)
	}
}

// Guards against a state that counts as current because the store goes on confirming it,
// although its newest configuration could not be decoded.
func TestStateWithRejectedConfigurationIsNotCurrent(t *testing.T) {
	const watched = 600 * time.Millisecond
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "1", false)
	running := newFeed(s)
	runFeed(t, running)
	peer, _ := servePeer(t, running)
	follower := newFeed(newFakeStore())
	setEntryWaits(follower)
	follower.Upstreams = func() []Peer { return []Peer{peer} }
	runFeed(t, follower)
	for _, f := range []*Feed{running, follower} {
		eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	}

	s.set("config", "bad", false)
	for _, f := range []*Feed{running, follower} {
		eventually(t, "the configuration is rejected", func() bool { return len(f.Faults()) == 1 })
	}
	starting := newFeed(s)
	runFeed(t, starting)
	eventually(t, "the new process has listed the store", func() bool { return len(starting.Faults()) == 1 })
	s.set("target/b", "1", false)
	for name, f := range map[string]*Feed{"running": running, "follower": follower} {
		checkAging(t, name, f, watched)
		if f.Current().Table == nil || targetIDs(f) != "a b" {
			t.Errorf("%s: targets %q, want the other items in force", name, targetIDs(f))
		}
		if age, _ := f.syncAge(); age > 2*time.Second {
			t.Errorf("%s: the last contact was %s ago", name, age)
		}
	}
	if starting.Current().Table != nil {
		t.Error("a process that starts has a configuration, want none")
	}

	s.set("config", "2", false)
	for name, f := range map[string]*Feed{"running": running, "follower": follower, "starting": starting} {
		eventually(t, name+" is current again", func() bool {
			age, _ := f.Age()
			return len(f.Faults()) == 0 && age < 2*time.Second && f.configVersionNow() == 2
		})
	}
}

func (f *Feed) configVersionNow() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configVersion()
}

// Guards against an invalid item of another writer, or of another model, that makes all keys
// count as too old.
func TestOtherRejectedItemsDoNotAgeState(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	s.set("target/a", "bad", false)
	s.set("version/m", "bad", false)
	eventually(t, "both items are rejected", func() bool { return len(f.Faults()) == 2 })
	want := []trail.ItemFault{
		{Key: "target/a", Kind: string(KindTarget), Revision: 3, Reason: "bad", Rejected: true},
		{Key: "version/m", Kind: string(KindVersion), Revision: 4, Reason: "bad", Rejected: true},
	}
	if diff := cmp.Diff(want, f.Faults()); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
	time.Sleep(time.Second)
	if age, _ := f.Age(); age > time.Second {
		t.Errorf("age %s, want that of the last confirmation", age)
	}
	s.set("target/a", "1", false)
	s.set("version/m", "", true)
	eventually(t, "no item is rejected", func() bool { return len(f.Faults()) == 0 })
}

// Guards against keys that count as current again because a restored store lists the former
// configuration, while the rejected one is to be written again.
func TestRestoredStoreDoesNotClearRejection(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	items, revision := s.copy()
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	s.set("config", "bad", false)
	eventually(t, "the configuration is rejected", func() bool { return len(f.Faults()) == 1 })
	s.restore(items, revision)
	s.set("target/a", "1", false)
	eventually(t, "the restored store is read", func() bool { return targetIDs(f) == "a" })
	checkAging(t, "after the restore", f, 500*time.Millisecond)
	s.set("config", "2", false)
	eventually(t, "the state is current again", func() bool { return len(f.Faults()) == 0 && f.configVersionNow() == 2 })
}
