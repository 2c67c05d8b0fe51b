package feed

import (
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// Requests reached a target that had left two seconds before: its removal came
// while the store was in touch all the time, and was taken for a lapse of the
// kind that follows an outage. Only a store that was really away excuses that.
func TestRemovedTargetIsGoneAtOnce(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	f.Wait = outage + 200*time.Millisecond
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return ids(f) == "a b" })
	// Two quiet watches, after which the confirmed belief is over two waits old.
	time.Sleep(2*f.Wait + 300*time.Millisecond)
	s.set("target/a", "", true)
	if took := eventually(t, "a is gone", func() bool { return ids(f) == "b" }); took > 500*time.Millisecond {
		t.Errorf("a was believed for %s after its removal", took)
	}
}

// A whole service would lose its targets: their entries lapse while the store
// is away, and are back within two seconds of its return. Until then they are
// used; one that does not come back is then taken for gone.
func TestLapsedTargetsAreKeptForAWhile(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return ids(f) == "a b" })
	s.fail(errors.New("down"))
	time.Sleep(f.Wait + outage + 300*time.Millisecond)
	s.set("target/a", "", true)
	s.set("target/b", "", true)
	s.forget()
	s.fail(nil)
	time.Sleep(700 * time.Millisecond)
	if diff := cmp.Diff("a b", ids(f)); diff != "" {
		t.Fatalf("just after the return (-want +got):\n%s", diff)
	}
	s.set("target/a", "", false)
	eventually(t, "b is taken for gone", func() bool { return ids(f) == "a" })
	time.Sleep(returnGrace)
	if diff := cmp.Diff("a", ids(f)); diff != "" {
		t.Errorf("after the grace (-want +got):\n%s", diff)
	}
}

// A process that was cut off alone is back, and 1.2 s later a target leaves. Its
// removal is no lapse of the kind that follows an outage for longer than targets
// need to register anew: requests that reach it two seconds later are cut off.
func TestRemovalSomeTimeAfterTheReturn(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return ids(f) == "a b" })
	s.fail(errors.New("cut off"))
	time.Sleep(f.Wait + outage + 300*time.Millisecond)
	s.fail(nil)
	back := time.Now()
	eventually(t, "the store is in touch", func() bool { age, _ := f.Age(); return age < outage/2 })
	time.Sleep(1200 * time.Millisecond)
	s.set("target/a", "", true)
	eventually(t, "a is gone", func() bool { return ids(f) == "b" })
	// The store is asked again up to the longest pause after it is back.
	if took, most := time.Since(back), mostRetry+returnGrace+2*lapseEvery; took > most {
		t.Errorf("a was used for %s after the return, want %s at most", took, most)
	}
}

// What cannot be read leaves the last good configuration in force and names no
// target; the store that forgot its history is listed anew.
func TestBadItemsAndLostHistory(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return ids(f) == "a b" })
	s.set("config", "bad", false)
	s.set("target/a", "bad", false)
	eventually(t, "a is not used", func() bool { return ids(f) == "b" })
	if diff := cmp.Diff(uint64(1), f.Current().Table.Version); diff != "" {
		t.Errorf("configuration (-want +got):\n%s", diff)
	}
	s.set("config", "2", false)
	s.forget()
	s.set("config", "3", false)
	eventually(t, "the newest configuration", func() bool { return f.Current().Table.Version == 3 })
}

// Requests began on a version that was too old: a newer one was named soon
// after it, and an entry that started anew took both for just named. Each
// version keeps its own time, and one found at the start is due at once.
func TestVersionsKeepTheirOwnTime(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "2", false)
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "version 2 is known", func() bool { _, ok := f.Current().Latest("m"); return ok })
	if v, _ := f.Current().Due("m", time.Now().Add(-time.Minute)); v.Version != 2 {
		t.Error("a version found at the start is taken for one just named")
	}
	s.set("version/m", "3", false)
	eventually(t, "version 3 is known", func() bool { v, _ := f.Current().Latest("m"); return v.Version == 3 })
	time.Sleep(50 * time.Millisecond)
	between := time.Now()
	s.set("version/m", "4", false)
	eventually(t, "version 4 is known", func() bool { v, _ := f.Current().Latest("m"); return v.Version == 4 })
	if v, _ := f.Current().Due("m", between); v.Version != 3 {
		t.Errorf("version %d was named before 4, want 3", v.Version)
	}
}

// A process that cannot reach the store is told by a peer that can. What it is
// told is never younger than the peer's own contact, or it would honour keys
// that were revoked meanwhile.
func TestToldByPeers(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	reader := newFeed(s)
	reader.Self = newSelf("reader")
	runFeed(t, reader)
	peer, _ := answering(t, reader)

	cut := newFakeStore()
	cut.fail(errors.New("cut off"))
	f := newFeed(cut)
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "the peer's belief is taken", func() bool { return ids(f) == "a" })
	s.set("target/b", "", false)
	s.set("target/a", "", true)
	eventually(t, "changes are told", func() bool { return ids(f) == "b" })
	s.fail(errors.New("down"))
	down := time.Now()
	time.Sleep(1500 * time.Millisecond)
	age, _ := f.Age()
	if least := time.Since(down) - reader.Wait; age < least {
		t.Errorf("the belief is said to be %s old, the store has been down for %s", age, time.Since(down))
	}
}

// The store is read by few: a process that is told by others does not call it,
// and turns to it only when nobody tells it any more.
func TestToldProcessLeavesTheStoreAlone(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	reader := newFeed(s)
	reader.Self = newSelf("reader")
	runFeed(t, reader)
	peer, stop := answering(t, reader)

	own := newFakeStore()
	own.set("config", "1", false)
	f := newFeed(own)
	f.Tellers = func() []Peer { return []Peer{peer} }
	f.TellWait = 2 * time.Second
	runFeed(t, f)
	for i := range 5 {
		s.set("target/"+strconv.Itoa(i), "", false)
		eventually(t, "a change is told", func() bool { return len(f.Current().Targets) == i+1 })
	}
	own.mu.Lock()
	calls := own.calls
	own.mu.Unlock()
	if diff := cmp.Diff(0, calls); diff != "" {
		t.Errorf("calls to the store while told (-want +got):\n%s", diff)
	}
	stop()
	eventually(t, "the store is asked once nobody tells", func() bool {
		own.mu.Lock()
		defer own.mu.Unlock()
		return own.calls > 0
	})
}
