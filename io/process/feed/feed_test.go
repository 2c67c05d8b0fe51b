package feed

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// A target is removed while the store is reachable all the time. It must be
// dropped at once, without the grace that follows an outage: requests reached a
// target that had left two seconds before.
func TestRemovedTargetIsDroppedAtOnce(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	f.WatchWait = minOutage + 200*time.Millisecond
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	// Two watches without changes, after which the last confirmed state is more
	// than two waits old.
	time.Sleep(2*f.WatchWait + 300*time.Millisecond)
	s.set("target/a", "", true)
	if took := eventually(t, "a is gone", func() bool { return targetIDs(f) == "b" }); took > 500*time.Millisecond {
		t.Errorf("a was used for %s after its removal", took)
	}
}

// Targets can't renew their registrations while the store is down, and register
// again within two seconds of its return. Until then they must stay in use, or
// a whole service would lose its targets. A target that doesn't register again
// is dropped.
func TestTargetsMissingAfterOutageAreKeptDuringGrace(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	s.fail(errors.New("down"))
	time.Sleep(f.WatchWait + minOutage + 300*time.Millisecond)
	s.set("target/a", "", true)
	s.set("target/b", "", true)
	s.dropHistory()
	s.fail(nil)
	time.Sleep(700 * time.Millisecond)
	if diff := cmp.Diff("a b", targetIDs(f)); diff != "" {
		t.Fatalf("just after the return (-want +got):\n%s", diff)
	}
	s.set("target/a", "", false)
	eventually(t, "b is dropped", func() bool { return targetIDs(f) == "a" })
	time.Sleep(registerGrace)
	if diff := cmp.Diff("a", targetIDs(f)); diff != "" {
		t.Errorf("after the grace (-want +got):\n%s", diff)
	}
}

// A target leaves 1.2 s after a process that was disconnected alone is back.
// The grace must count from the return, not from the removal: requests sent two
// seconds after the removal are rejected by the target.
func TestGraceCountsFromStoreRecovery(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	s.fail(errors.New("cut off"))
	time.Sleep(f.WatchWait + minOutage + 300*time.Millisecond)
	s.fail(nil)
	back := time.Now()
	eventually(t, "the store is in touch", func() bool { age, _ := f.Age(); return age < minOutage/2 })
	time.Sleep(1200 * time.Millisecond)
	s.set("target/a", "", true)
	eventually(t, "a is gone", func() bool { return targetIDs(f) == "b" })
	// After it is back, the store is called again only after the longest retry
	// pause.
	if took, most := time.Since(back), retryMax+registerGrace+2*graceCheckInterval; took > most {
		t.Errorf("a was used for %s after the return, want %s at most", took, most)
	}
}

// If an item can't be decoded, the last good configuration stays in force, but
// a target is dropped. If the store no longer has the history, everything is
// listed again.
func TestBadItemsAndLostHistory(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	s.set("config", "bad", false)
	s.set("target/a", "bad", false)
	eventually(t, "a is not used", func() bool { return targetIDs(f) == "b" })
	if diff := cmp.Diff(uint64(1), f.Current().Table.Version); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
	s.set("config", "2", false)
	s.dropHistory()
	s.set("config", "3", false)
	eventually(t, "the newest configuration", func() bool { return f.Current().Table.Version == 3 })
}

// Each version must keep its own announcement time, and one found at the start
// must count as announced long ago. Otherwise an entry that had restarted took
// two versions for just announced, and started requests on a version that was
// too old.
func TestVersionsKeepTheirOwnAnnouncementTime(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "2", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "version 2 is known", func() bool { _, ok := f.Current().Latest("m"); return ok })
	if v, _ := f.Current().Due("m", time.Now().Add(-time.Minute)); v.Version != 2 {
		t.Error("a version found at the start counts as just announced")
	}
	s.set("version/m", "3", false)
	eventually(t, "version 3 is known", func() bool { v, _ := f.Current().Latest("m"); return v.Version == 3 })
	time.Sleep(50 * time.Millisecond)
	between := time.Now()
	s.set("version/m", "4", false)
	eventually(t, "version 4 is known", func() bool { v, _ := f.Current().Latest("m"); return v.Version == 4 })
	if v, _ := f.Current().Due("m", between); v.Version != 3 {
		t.Errorf("version %d counts as announced before 4, want 3", v.Version)
	}
}

// A process that can't reach the store gets the state from a peer that can. The
// age of the state must include the time since the peer's own contact, or the
// process would accept keys that were revoked in the meantime.
func TestStateFromPeersWhileStoreIsDown(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	reader := newFeed(s)
	reader.Self = newSelf("reader")
	runFeed(t, reader)
	peer, _ := servePeer(t, reader)

	unreachable := newFakeStore()
	unreachable.fail(errors.New("cut off"))
	f := newFeed(unreachable)
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "the peer's state is adopted", func() bool { return targetIDs(f) == "a" })
	s.set("target/b", "", false)
	s.set("target/a", "", true)
	eventually(t, "changes are received", func() bool { return targetIDs(f) == "b" })
	s.fail(errors.New("down"))
	down := time.Now()
	time.Sleep(1500 * time.Millisecond)
	age, _ := f.Age()
	if least := time.Since(down) - reader.WatchWait; age < least {
		t.Errorf("the state is reported as %s old, the store has been down for %s", age, time.Since(down))
	}
}

// Only a few processes read the store: a process with upstreams doesn't call it
// until none of them replies any more.
func TestFollowerDoesNotCallStore(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	reader := newFeed(s)
	reader.Self = newSelf("reader")
	runFeed(t, reader)
	peer, stop := servePeer(t, reader)

	own := newFakeStore()
	own.set("config", "1", false)
	f := newFeed(own)
	f.Upstreams = func() []Peer { return []Peer{peer} }
	f.UpstreamWait = 2 * time.Second
	runFeed(t, f)
	for i := range 5 {
		s.set("target/"+strconv.Itoa(i), "", false)
		eventually(t, "a change is received", func() bool { return len(f.Current().Targets) == i+1 })
	}
	own.mu.Lock()
	calls := own.calls
	own.mu.Unlock()
	if diff := cmp.Diff(0, calls); diff != "" {
		t.Errorf("calls to the store while an upstream replies (-want +got):\n%s", diff)
	}
	stop()
	eventually(t, "the store is called once the upstream has stopped", func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return own.calls > 0
	})
}
