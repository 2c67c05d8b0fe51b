package feed

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/naming"
)

// Callers' requests began on old weights after the time for them was over. A
// process is out of touch while a version is named, reads it from the store once
// it is back, and counts the bound from then, while engines that load late still
// serve the old version. The moment of hearing was taken for that of the naming,
// and corrected only if one of two peers that were asked once spoke first.

// dueSince returns the newest version that f takes to have been named by at.
func dueSince(f *Feed, at time.Time) uint64 {
	v, _ := f.Current().Due("m", at)
	return v.Version
}

func newest(f *Feed) uint64 {
	v, _ := f.Current().Latest("m")
	return v.Version
}

// following returns a feed that has found version 1 of model m at its start.
func following(t *testing.T, s *fakeStore) *Feed {
	t.Helper()
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newest(f) == 1 })
	return f
}

// An entry is cut off from the store. A version is named meanwhile. The entry is
// back and serves on the old version for two seconds longer than the others.
func TestVersionNamedWhileCutOff(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := following(t, s)
	s.fail(errors.New("cut off"))
	named := time.Now()
	s.set("version/m", "2", false)
	time.Sleep(f.Wait + 2*callTimeout)
	s.fail(nil)
	eventually(t, "version 2 is known", func() bool { return newest(f) == 2 })
	if diff := cmp.Diff(uint64(2), dueSince(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version taken to be named by the time of the naming (-want +got):\n%s", diff)
	}
}

// jumpingFeed is a feed on a machine that can be suspended: its steady clock
// stands still meanwhile.
func jumpingFeed(t *testing.T, s *fakeStore) (f *Feed, suspend func(d time.Duration)) {
	t.Helper()
	var suspended atomic.Int64
	f = newFeed(s)
	f.Awake = func() time.Duration { return time.Since(testStart) + time.Duration(suspended.Load()) }
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newest(f) == 1 })
	return f, func(d time.Duration) { suspended.Add(int64(d)) }
}

// A machine is suspended for four seconds, and a version is named in the first of
// them. The change is there when the machine wakes. Nobody tells when it came, so
// it may have been named as early as the machine last knew that it was not.
func TestVersionNamedWhileSuspended(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f, suspend := jumpingFeed(t, s)
	suspend(4 * time.Second)
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newest(f) == 2 })
	if diff := cmp.Diff(uint64(2), dueSince(f, time.Now().Add(-3900*time.Millisecond))); diff != "" {
		t.Errorf("version taken to be named 3.9 s ago (-want +got):\n%s", diff)
	}
}

// A machine hears of a version as it is named and is suspended for four seconds
// after. Its steady clock does not count them; the bound does.
func TestSuspensionCountsAfterTheNaming(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f, suspend := jumpingFeed(t, s)
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newest(f) == 2 })
	suspend(4 * time.Second)
	took := eventually(t, "the time of the naming is seen to lie back", func() bool {
		return dueSince(f, time.Now().Add(-3900*time.Millisecond)) == 2
	})
	if most := f.Wait + callTimeout; took > most {
		t.Errorf("seen %s after the machine woke, want %s at most", took, most)
	}
}

// Two versions are named within a second, and an entry starts anew after the
// second. The store holds only the newest; the time of the one before runs out
// first, and without it the entry has requests begin on the first of the three
// past the bound of the second. A peer that heard of both knows.
func TestStartLearnsOfReplacedVersions(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	reader := following(t, s)
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newest(reader) == 2 })
	time.Sleep(300 * time.Millisecond)
	between := time.Now()
	s.set("version/m", "3", false)
	eventually(t, "version 3 is known", func() bool { return newest(reader) == 3 })
	peer, _ := answering(t, reader)

	f := newFeed(s)
	f.Self = newSelf("started")
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "version 3 is known not to be overdue", func() bool {
		return newest(f) == 3 && dueSince(f, between) != 3
	})
	if diff := cmp.Diff(uint64(2), dueSince(f, between)); diff != "" {
		t.Errorf("version named before the newest (-want +got):\n%s", diff)
	}
}

// An entry wakes and reads the store before its peers have answered. Those that it
// asks first know no better, having stood still as well; one that heard of the
// version as it was named tells when, and the entry keeps asking until one does.
func TestTimeOfNamingIsAskedForUntilItIsKnown(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	reader := following(t, s)
	cut := newFakeStore()
	cut.set("version/m", "1", false)
	f := newFeed(cut)
	f.Self = newSelf("woken")
	silent := silentPeer(t)
	knows, _ := answering(t, reader)
	var rounds atomic.Int64
	f.Peers = func() []Peer {
		if rounds.Add(1) <= naming.LeastQuestions+1 {
			return []Peer{silent}
		}
		return []Peer{knows}
	}
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newest(f) == 1 })
	cut.fail(errors.New("cut off"))
	time.Sleep(f.Wait + time.Second)
	before := time.Now()
	s.set("version/m", "2", false)
	eventually(t, "the peer knows version 2", func() bool { return newest(reader) == 2 })
	time.Sleep(300 * time.Millisecond)
	rounds.Store(0)
	cut.set("version/m", "2", false)
	cut.fail(nil)
	eventually(t, "version 2 is known", func() bool { return newest(f) == 2 })
	eventually(t, "the time of the naming is known", func() bool {
		return dueSince(f, before) < 2 && dueSince(f, before.Add(200*time.Millisecond)) == 2
	})
}

// The teller of an entry freezes just before a version is named. The entry gives it
// up, turns to the store and is answered at once: it never was cut off itself, and
// still hears of the naming more than a second late.
func TestVersionNamedWhileTheTellerIsSilent(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := newFeed(s)
	frozen := toldOnce(t, s)
	f.Tellers = func() []Peer { return []Peer{frozen} }
	f.TellWait = 500 * time.Millisecond
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newest(f) == 1 })
	time.Sleep(100 * time.Millisecond)
	named := time.Now()
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newest(f) == 2 })
	if diff := cmp.Diff(uint64(2), dueSince(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version taken to be named by the time of the naming (-want +got):\n%s", diff)
	}
}

// toldOnce is a peer that tells what the store holds once and then freezes.
func toldOnce(t *testing.T, s *fakeStore) Peer {
	t.Helper()
	p, err := s.List(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	packed, err := packItems(p.Items)
	if err != nil {
		t.Fatal(err)
	}
	told := &tell{Known: true, At: p.At, Packed: packed, Last: true}
	for _, it := range p.Items {
		told.Keys = append(told.Keys, it.Key)
	}
	return freezing(t, told)
}

// The store was away, and a version is named a moment after its return. Taken
// for named before the outage, it would be demanded of engines seconds before they
// can have it, and callers would be refused.
//
// A process that pauses between two watches for longer than naming.MostGap may not
// know better: such a try says nothing, and another one follows.
func TestVersionNamedAfterAnOutageIsNotTakenForOld(t *testing.T) {
	const tries = 5
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := newFeed(s)
	f.Wait = entryLikeWait
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newest(f) == 1 })
	for version := uint64(2); version < 2+tries; version++ {
		named := nameAfterOutage(t, f, s, version)
		if s.longestGap() > naming.MostGap {
			continue
		}
		if diff := cmp.Diff(version-1, dueSince(f, named)); diff != "" {
			t.Errorf("version taken to be named before it was (-want +got):\n%s", diff)
		}
		return
	}
	t.Errorf("the feed paused for over %s in each of %d tries", naming.MostGap, tries)
}

// nameAfterOutage has the store away for a while, names a version a moment after it
// is back, and returns when.
func nameAfterOutage(t *testing.T, f *Feed, s *fakeStore, version uint64) time.Time {
	t.Helper()
	s.fail(errors.New("down"))
	time.Sleep(f.Wait + outage)
	s.fail(nil)
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	eventually(t, "the store is asked again", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.calls > calls
	})
	s.restart()
	time.Sleep(200 * time.Millisecond)
	named := time.Now()
	s.set("version/m", strconv.FormatUint(version, 10), false)
	eventually(t, "the version is known", func() bool { return newest(f) == version })
	return named
}

// entryLikeWait is a watch that is under way when something is named in a test.
const entryLikeWait = 800 * time.Millisecond

// Versions are named one after the other, and an entry stands still at each of them.
// Peers are asked about each anew: the questions put about earlier ones do not count.
func TestEachNamingIsAskedFor(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	reader := following(t, s)
	peer, _ := answering(t, reader)
	f := newFeed(s)
	f.Self = newSelf("unsteady")
	f.RanSince = func(time.Duration) bool { return false }
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newest(f) == 1 })
	for v := uint64(2); v < naming.MostQuestions; v++ {
		s.set("version/m", strconv.FormatUint(v, 10), false)
		eventually(t, "the version is known", func() bool { return newest(f) == v })
		eventually(t, "the time of its naming is known", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return !f.namings.Unresolved()
		})
		time.Sleep(4 * askNamedFirst)
	}
}

// Peers state when a version was named. What a statement is worth depends on how it
// came: one that lay in a socket while this process stood still, or took long, says
// only how early the naming can have been at the most. It counts whether or not
// this process has read the store meanwhile.
func TestWorthOfAPeersStatement(t *testing.T) {
	const age = 3 * time.Second
	now := time.Hour
	tests := []struct {
		name   string
		asked  time.Duration
		waited bool
		ran    bool
		at     uint64
		want   naming.Entry
	}{
		{"at once", now - naming.MostRoundTrip/2, false, true, 5, naming.Entry{Since: now - age, Heard: true}},
		{"read the store meanwhile", now - naming.MostRoundTrip/2, false, true, 4, naming.Entry{Since: now - age, Heard: true}},
		{"slow answer", now - 2*naming.MostRoundTrip, false, true, 5, naming.Entry{Since: now - 2*naming.MostRoundTrip - age}},
		{"waited for news", now - time.Second, true, true, 5, naming.Entry{Since: now - age, Heard: true}},
		{"stood still while it waited", now - time.Second, true, false, 5, naming.Entry{Since: now - time.Second - age}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFeed(newFakeStore())
			f.Awake = func() time.Duration { return now }
			f.RanSince = func(time.Duration) bool { return tc.ran }
			f.init()
			f.known, f.revision, f.confirmed = true, 5, now-time.Second
			f.take(tc.asked, tc.waited, "peer", &tell{
				Known: true, At: tc.at, Named: []naming.Statement{{Model: "m", Version: 2, Age: age, Heard: true}},
			})
			tc.want.Model, tc.want.Version = "m", 2
			if diff := cmp.Diff([]naming.Entry{tc.want}, f.namings.All()); diff != "" {
				t.Errorf("namings (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(uint64(2), newest(f)); diff != "" {
				t.Errorf("newest version handed out (-want +got):\n%s", diff)
			}
		})
	}
}

// A process that starts on a large platform is told in several messages; the first
// holds the namings. Without them it would not know of the replaced version whose
// bound is the first to end.
func TestNamingsComeWithAnAnswerInParts(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	for i := range 3 {
		s.set("target/"+strconv.Itoa(i), strings.Repeat("x", tellBytes), false)
	}
	reader := following(t, s)
	s.set("version/m", "2", false)
	s.set("version/m", "3", false)
	eventually(t, "version 3 is known", func() bool { return newest(reader) == 3 })
	peer, _ := answering(t, reader)
	cut := newFakeStore()
	cut.fail(errors.New("cut off"))
	f := newFeed(cut)
	f.Self = newSelf("started")
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "everything is told", func() bool { return len(f.Current().Targets) == 3 })
	if diff := cmp.Diff(3, len(f.Current().Named("m"))); diff != "" {
		t.Errorf("versions known (-want +got):\n%s", diff)
	}
}

// An entry does not run for a while, and the answer that names a version lies in
// its socket meanwhile. The watch was not long, so that only the standstill tells
// that the naming may lie back; the entry takes it for as old as it can be.
func TestVersionNamedDuringAStandstill(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := newFeed(s)
	f.RanSince = func(time.Duration) bool { return false }
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newest(f) == 1 })
	named := time.Now()
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newest(f) == 2 })
	if diff := cmp.Diff(uint64(2), dueSince(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version taken to be named by the time of the naming (-want +got):\n%s", diff)
	}
}

// heldStore answers its first watch, which brings nothing, only once released.
type heldStore struct {
	*fakeStore
	watched chan struct{}
	release chan struct{}
	held    atomic.Bool
}

func (s *heldStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	if s.held.Swap(true) {
		return s.fakeStore.Watch(ctx, after, wait)
	}
	close(s.watched)
	<-s.release
	return Changes{At: after}, nil
}

// An entry stands still, and the answer that lies in its socket brings nothing: the
// store gave it early. A version is named before the entry goes on. Its next watch
// brings it at once, and the entry took it for named just then: callers' requests
// began on old weights for as long after the bound as the entry had stood still.
func TestVersionNamedAfterAnAnswerThatLayUnread(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	held := &heldStore{fakeStore: s, watched: make(chan struct{}), release: make(chan struct{})}
	f := newFeed(held)
	f.Wait = 10 * time.Second
	var ended atomic.Int64
	f.RanSince = func(at time.Duration) bool { return time.Duration(ended.Load()) <= at }
	runFeed(t, f)
	<-held.watched
	named := time.Now()
	s.set("version/m", "2", false)
	time.Sleep(time.Second)
	ended.Store(int64(f.Awake()))
	close(held.release)
	eventually(t, "version 2 is known", func() bool { return newest(f) == 2 })
	if diff := cmp.Diff(uint64(2), dueSince(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version taken to be named by the time of the naming (-want +got):\n%s", diff)
	}
}
