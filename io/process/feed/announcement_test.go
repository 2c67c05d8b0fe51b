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

	"hawthornferry/core/process/verlog"
)

// These tests guard against serving requests on an old version past its time
// limit. A process that is disconnected while a version is announced reads the
// version from the store once it is back. It must not count the limit from then,
// whether or not one of the two peers that it asks replies first: engines that
// load late still serve the old version.

// announcedBy returns the newest version that f considers announced by the time
// at.
func announcedBy(f *Feed, at time.Time) uint64 {
	v, _ := f.Current().Due("m", at)
	return v.Version
}

func newestVersion(f *Feed) uint64 {
	v, _ := f.Current().Latest("m")
	return v.Version
}

// newFeedAtVersion1 returns a running feed that found version 1 of model m when
// it started.
func newFeedAtVersion1(t *testing.T, s *fakeStore) *Feed {
	t.Helper()
	f := newFeed(s)
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newestVersion(f) == 1 })
	return f
}

// A version is announced while an entry is disconnected from the store. The
// entry must not serve the old version for longer than the others (it did for
// two seconds).
func TestVersionAnnouncedWhileDisconnected(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := newFeedAtVersion1(t, s)
	s.fail(errors.New("cut off"))
	named := time.Now()
	s.set("version/m", "2", false)
	time.Sleep(f.WatchWait + 2*watchSlack)
	s.fail(nil)
	eventually(t, "version 2 is known", func() bool { return newestVersion(f) == 2 })
	if diff := cmp.Diff(uint64(2), announcedBy(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version considered announced by the time of its announcement (-want +got):\n%s", diff)
	}
}

// suspendableFeed returns a feed on a simulated machine that can be suspended:
// the monotonic clock stands still then, the Uptime clock doesn't.
func suspendableFeed(t *testing.T, s *fakeStore) (f *Feed, suspend func(d time.Duration)) {
	t.Helper()
	var suspended atomic.Int64
	f = newFeed(s)
	f.Uptime = func() time.Duration { return time.Since(testStart) + time.Duration(suspended.Load()) }
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newestVersion(f) == 1 })
	return f, func(d time.Duration) { suspended.Add(int64(d)) }
}

// A version is announced during the first of four seconds for which a machine
// is suspended. When the machine resumes, the change is already there and
// nothing shows when it came, so the version counts as announced when the
// machine last knew that there was none.
func TestVersionAnnouncedWhileSuspended(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f, suspend := suspendableFeed(t, s)
	suspend(4 * time.Second)
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newestVersion(f) == 2 })
	if diff := cmp.Diff(uint64(2), announcedBy(f, time.Now().Add(-3900*time.Millisecond))); diff != "" {
		t.Errorf("version considered announced 3.9 s ago (-want +got):\n%s", diff)
	}
}

// A machine receives a version when it is announced and is then suspended for
// four seconds. The time limit must include these, though the monotonic clock
// doesn't count them.
func TestSuspensionCountsTowardsAnnouncementAge(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f, suspend := suspendableFeed(t, s)
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newestVersion(f) == 2 })
	suspend(4 * time.Second)
	took := eventually(t, "the announcement counts as 3.9 s old", func() bool {
		return announcedBy(f, time.Now().Add(-3900*time.Millisecond)) == 2
	})
	if most := f.WatchWait + watchSlack; took > most {
		t.Errorf("counted %s after the machine resumed, want %s at most", took, most)
	}
}

// Two versions are announced within a second, and an entry restarts after the
// second. The store holds only the newest. The time limit of the replaced one
// ends first, and without it the entry starts requests on the first of the
// three versions past that limit. A peer that received both supplies it.
func TestStartLearnsOfReplacedVersions(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	reader := newFeedAtVersion1(t, s)
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newestVersion(reader) == 2 })
	time.Sleep(300 * time.Millisecond)
	between := time.Now()
	s.set("version/m", "3", false)
	eventually(t, "version 3 is known", func() bool { return newestVersion(reader) == 3 })
	peer, _ := servePeer(t, reader)

	f := newFeed(s)
	f.Self = newSelf("started")
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "version 3 is known not to be overdue", func() bool {
		return newestVersion(f) == 3 && announcedBy(f, between) != 3
	})
	if diff := cmp.Diff(uint64(2), announcedBy(f, between)); diff != "" {
		t.Errorf("version announced before the newest (-want +got):\n%s", diff)
	}
}

// An entry resumes and reads the store before its peers have replied. The peers
// that it asks first don't know the announcement time either, as they were
// suspended as well. It must go on asking until it reaches a peer that received
// the version when it was announced.
func TestPeersAreAskedUntilAnnouncementTimeIsKnown(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	reader := newFeedAtVersion1(t, s)
	own := newFakeStore()
	own.set("version/m", "1", false)
	f := newFeed(own)
	f.Self = newSelf("woken")
	silent := silentPeer(t)
	knows, _ := servePeer(t, reader)
	var rounds atomic.Int64
	f.Peers = func() []Peer {
		if rounds.Add(1) <= verlog.MinQuestions+1 {
			return []Peer{silent}
		}
		return []Peer{knows}
	}
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newestVersion(f) == 1 })
	own.fail(errors.New("cut off"))
	time.Sleep(f.WatchWait + time.Second)
	before := time.Now()
	s.set("version/m", "2", false)
	eventually(t, "the peer knows version 2", func() bool { return newestVersion(reader) == 2 })
	time.Sleep(300 * time.Millisecond)
	rounds.Store(0)
	own.set("version/m", "2", false)
	own.fail(nil)
	eventually(t, "version 2 is known", func() bool { return newestVersion(f) == 2 })
	eventually(t, "the announcement time is known", func() bool {
		return announcedBy(f, before) < 2 && announcedBy(f, before.Add(200*time.Millisecond)) == 2
	})
}

// The upstream of an entry stops responding just before a version is announced.
// The entry drops it, turns to the store and gets an answer at once. Though the
// entry was never disconnected itself, it learns of the announcement more than
// a second late.
func TestVersionAnnouncedWhileUpstreamIsSilent(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := newFeed(s)
	frozen := peerFrozenAfterList(t, s)
	f.Upstreams = func() []Peer { return []Peer{frozen} }
	f.UpstreamWait = 500 * time.Millisecond
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newestVersion(f) == 1 })
	time.Sleep(100 * time.Millisecond)
	named := time.Now()
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newestVersion(f) == 2 })
	if diff := cmp.Diff(uint64(2), announcedBy(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version considered announced by the time of its announcement (-want +got):\n%s", diff)
	}
}

// peerFrozenAfterList starts a peer that sends the content of the store once
// and then stops responding.
func peerFrozenAfterList(t *testing.T, s *fakeStore) Peer {
	t.Helper()
	p, err := s.List(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	packed, err := packItems(p.Items)
	if err != nil {
		t.Fatal(err)
	}
	reply := &factsReply{Known: true, AtRevision: p.AtRevision, Packed: packed, Last: true}
	for _, it := range p.Items {
		reply.Keys = append(reply.Keys, it.Key)
	}
	return freezeAfterOneReply(t, reply)
}

// A version is announced just after the store is back from an outage. It must
// not count as announced before the outage: engines would have to serve it
// seconds before they can have it, and callers would be rejected.
//
// If the process pauses for longer than verlog.MaxGap between two watches, it
// can't know the exact time. Such a try proves nothing, and is repeated.
func TestVersionAnnouncedAfterOutageIsNotBackdated(t *testing.T) {
	const tries = 5
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := newFeed(s)
	f.WatchWait = entryWait
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newestVersion(f) == 1 })
	for version := uint64(2); version < 2+tries; version++ {
		named := announceAfterOutage(t, f, s, version)
		if s.longestGap() > verlog.MaxGap {
			continue
		}
		if diff := cmp.Diff(version-1, announcedBy(f, named)); diff != "" {
			t.Errorf("version considered announced before it was (-want +got):\n%s", diff)
		}
		return
	}
	t.Errorf("the feed paused for over %s in each of %d tries", verlog.MaxGap, tries)
}

// announceAfterOutage makes the store fail for a while, announces a version
// shortly after it is back, and returns when.
func announceAfterOutage(t *testing.T, f *Feed, s *fakeStore, version uint64) time.Time {
	t.Helper()
	s.fail(errors.New("down"))
	time.Sleep(f.WatchWait + minOutage)
	s.fail(nil)
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	eventually(t, "the store is asked again", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.calls > calls
	})
	s.resetGap()
	time.Sleep(200 * time.Millisecond)
	named := time.Now()
	s.set("version/m", strconv.FormatUint(version, 10), false)
	eventually(t, "the version is known", func() bool { return newestVersion(f) == version })
	return named
}

// entryWait is the WatchWait of an entry. It is long enough for a watch to be under
// way whenever a test announces something.
const entryWait = 800 * time.Millisecond

// Versions are announced one after the other, and an entry was suspended at
// each of them. Peers must be asked about each: queries about earlier versions
// don't count.
func TestPeersAreAskedAboutEachAnnouncement(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	reader := newFeedAtVersion1(t, s)
	peer, _ := servePeer(t, reader)
	f := newFeed(s)
	f.Self = newSelf("unsteady")
	f.RanSince = func(time.Duration) bool { return false }
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newestVersion(f) == 1 })
	for v := uint64(2); v < verlog.MaxQuestions; v++ {
		s.set("version/m", strconv.FormatUint(v, 10), false)
		eventually(t, "the version is known", func() bool { return newestVersion(f) == v })
		eventually(t, "the announcement time is known", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return !f.announcements.Unresolved()
		})
		time.Sleep(4 * announcementQueryBase)
	}
}

// Peers report the age of announcements. That age is exact only if the reply
// was read promptly; if it was slow, or waited unread while this process was
// suspended, it yields only the earliest possible time. The report counts
// whether or not this process has read the store in the meantime.
func TestAccuracyOfPeerStatements(t *testing.T) {
	const age = 3 * time.Second
	now := time.Hour
	tests := []struct {
		name   string
		asked  time.Duration
		waited bool
		ran    bool
		at     uint64
		want   verlog.Entry
	}{
		{"at once", now - verlog.MaxRoundTrip/2, false, true, 5, verlog.Entry{Since: now - age, Exact: true}},
		{"read the store meanwhile", now - verlog.MaxRoundTrip/2, false, true, 4, verlog.Entry{Since: now - age, Exact: true}},
		{"slow answer", now - 2*verlog.MaxRoundTrip, false, true, 5, verlog.Entry{Since: now - 2*verlog.MaxRoundTrip - age}},
		{"waited for a change", now - time.Second, true, true, 5, verlog.Entry{Since: now - age, Exact: true}},
		{"suspended while it waited", now - time.Second, true, false, 5, verlog.Entry{Since: now - time.Second - age}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFeed(newFakeStore())
			f.Uptime = func() time.Duration { return now }
			f.RanSince = func(time.Duration) bool { return tc.ran }
			f.init()
			f.known, f.revision, f.confirmed = true, 5, now-time.Second
			f.adoptReply(tc.asked, tc.waited, "peer", &factsReply{
				Known: true, AtRevision: tc.at, Announced: []verlog.VersionReport{{Model: "m", Version: 2, Age: age, Exact: true}},
			})
			tc.want.Model, tc.want.Version = "m", 2
			if diff := cmp.Diff([]verlog.Entry{tc.want}, f.announcements.All()); diff != "" {
				t.Errorf("announcements (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(uint64(2), newestVersion(f)); diff != "" {
				t.Errorf("newest version in the facts (-want +got):\n%s", diff)
			}
		})
	}
}

// On a large platform the reply to a process that starts has several parts, and
// only the first contains the announcements. If they got lost, the process
// would not know of the replaced version whose time limit ends first.
func TestMultiPartReplyKeepsAnnouncements(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	for i := range 3 {
		s.set("target/"+strconv.Itoa(i), strings.Repeat("x", replyPartBytes), false)
	}
	reader := newFeedAtVersion1(t, s)
	s.set("version/m", "2", false)
	s.set("version/m", "3", false)
	eventually(t, "version 3 is known", func() bool { return newestVersion(reader) == 3 })
	peer, _ := servePeer(t, reader)
	unreachable := newFakeStore()
	unreachable.fail(errors.New("cut off"))
	f := newFeed(unreachable)
	f.Self = newSelf("started")
	f.Peers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "all targets are received", func() bool { return len(f.Current().Targets) == 3 })
	if diff := cmp.Diff(3, len(f.Current().VersionsOf("m"))); diff != "" {
		t.Errorf("versions known (-want +got):\n%s", diff)
	}
}

// An entry is suspended while the answer with a new version waits unread. The
// watch took no longer than usual, so only RanSince shows that the announcement
// may be earlier. The entry must assume the earliest possible time.
func TestVersionAnnouncedDuringPause(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	f := newFeed(s)
	f.RanSince = func(time.Duration) bool { return false }
	runFeed(t, f)
	eventually(t, "version 1 is known", func() bool { return newestVersion(f) == 1 })
	named := time.Now()
	s.set("version/m", "2", false)
	eventually(t, "version 2 is known", func() bool { return newestVersion(f) == 2 })
	if diff := cmp.Diff(uint64(2), announcedBy(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version considered announced by the time of its announcement (-want +got):\n%s", diff)
	}
}

// heldStore returns from its first watch, without changes, only once released.
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
	return Changes{AtRevision: after}, nil
}

// An entry is suspended while an answer without changes, given early, waits
// unread. A version is announced before the entry resumes, and the next watch
// returns it at once. The entry must not date it as announced just then:
// requests would start on the old version past its limit for as long as the
// entry was suspended.
func TestVersionAnnouncedBehindUnreadAnswer(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	held := &heldStore{fakeStore: s, watched: make(chan struct{}), release: make(chan struct{})}
	f := newFeed(held)
	f.WatchWait = 10 * time.Second
	var ended atomic.Int64
	f.RanSince = func(at time.Duration) bool { return time.Duration(ended.Load()) <= at }
	runFeed(t, f)
	<-held.watched
	named := time.Now()
	s.set("version/m", "2", false)
	time.Sleep(time.Second)
	ended.Store(int64(f.Uptime()))
	close(held.release)
	eventually(t, "version 2 is known", func() bool { return newestVersion(f) == 2 })
	if diff := cmp.Diff(uint64(2), announcedBy(f, named.Add(time.Millisecond))); diff != "" {
		t.Errorf("version considered announced by the time of its announcement (-want +got):\n%s", diff)
	}
}
