package feed

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

// restoredTest is a store, a copy of which is taken once it holds a configuration and the
// targets a and b, and a feed on a fake clock that has read it.
type restoredTest struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	store    *fakeStore
	items    map[string]Item
	revision uint64
	feed     *Feed
}

func newRestoredTest(t *testing.T) *restoredTest {
	t.Helper()
	m := &restoredTest{t: t, clock: clockwork.NewFakeClock(), store: newFakeStore()}
	m.store.set("config", "1", false)
	m.store.set("target/a", "", false)
	m.store.set("target/b", "", false)
	m.items, m.revision = m.store.copy()
	m.feed = m.newFeed()
	m.list(m.feed)
	return m
}

func (m *restoredTest) newFeed() *Feed {
	began := m.clock.Now()
	f := newFeed(m.store)
	f.Clock, f.Uptime = m.clock, func() time.Duration { return m.clock.Since(began) }
	f.init()
	return f
}

func (m *restoredTest) list(f *Feed) {
	m.t.Helper()
	if err := f.list(context.Background()); err != nil {
		m.t.Fatal(err)
	}
}

func (m *restoredTest) restore() { m.store.restore(m.items, m.revision) }

func itemKeys(f *Feed) string { return strings.Join(slices.Sorted(maps.Keys(f.items)), " ") }

// Guards against peers that go on with the state of a former epoch, or take it back from
// one that has not seen the new epoch yet.
func TestPeersTakeStateOfRestoredStore(t *testing.T) {
	m := newRestoredTest(t)
	for range 20 {
		m.store.set("version/other", "1", false)
	}
	m.store.set("target/c", "", false)
	follower, former := m.newFeed(), m.newFeed()
	m.list(follower)
	m.list(former)
	m.restore()
	m.store.set("config", "5", false)
	m.list(m.feed)
	pullFromPeer(follower, m.feed)
	m.clock.Advance(time.Second)
	pullFromPeer(m.feed, former)
	for _, f := range []*Feed{m.feed, follower} {
		if diff := cmp.Diff("config target/a target/b", itemKeys(f)); diff != "" {
			t.Errorf("keys (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(uint64(5), f.Current().Table.Version); diff != "" {
			t.Errorf("configuration (-want +got):\n%s", diff)
		}
	}
}

// Guards against an older configuration, and the keys revoked since, in a process that starts
// when the store has forgotten the newer one. A peer has it, whether the process asks the peer
// or the store first.
func TestProcessThatStartsGetsForgottenConfigurationFromPeer(t *testing.T) {
	for _, fromStore := range []bool{false, true} {
		m := newRestoredTest(t)
		m.store.set("config", "5", false)
		m.list(m.feed)
		m.restore()
		m.list(m.feed)
		m.store.set("target/d", "", false)
		started := m.newFeed()
		if fromStore {
			m.list(started)
		}
		peer, _ := servePeer(t, m.feed)
		if err := started.queryPeer(t.Context(), peer); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(uint64(5), started.Current().Table.Version); diff != "" {
			t.Errorf("store asked first %v: configuration (-want +got):\n%s", fromStore, diff)
		}
		m.store.set("config", "7", false)
		m.list(started)
		if diff := cmp.Diff(uint64(7), started.Current().Table.Version); diff != "" {
			t.Errorf("written again: configuration (-want +got):\n%s", diff)
		}
	}
}

// Guards against a later date of a version that is read again from a restored store: older
// versions would be used beyond their bound.
func TestVersionReadAgainKeepsItsDate(t *testing.T) {
	m := newRestoredTest(t)
	m.store.set("version/m", "2", false)
	m.items, m.revision = m.store.copy()
	m.clock.Advance(time.Second)
	m.list(m.feed)
	since := m.feed.Current().Versions[0].Since
	m.clock.Advance(5 * time.Second)
	m.restore()
	m.list(m.feed)
	m.store.set("version/m", "2", false)
	m.list(m.feed)
	if diff := cmp.Diff(since, m.feed.Current().Versions[0].Since); diff != "" {
		t.Errorf("announced at (-want +got):\n%s", diff)
	}
}

// Guards against an evacuation that ends, or a target that is lost, because a restored store
// has forgotten it, before it can be written again; and against keeping it for good.
func TestForgottenItemsAreKeptForAWhile(t *testing.T) {
	m := newRestoredTest(t)
	m.store.set("evacuate/zone-b", "", false)
	m.store.set("target/c", "", false)
	m.list(m.feed)
	m.restore()
	m.list(m.feed)
	state := func() string {
		var out []string
		for _, target := range m.feed.Current().Targets {
			if target.Evacuated {
				out = append(out, "evacuated")
			}
			out = append(out, target.ID)
		}
		return strings.Join(out, " ")
	}
	if diff := cmp.Diff("a evacuated b c", state()); diff != "" {
		t.Errorf("after the list (-want +got):\n%s", diff)
	}
	m.clock.Advance(registerGrace)
	m.list(m.feed)
	if diff := cmp.Diff("a b", state()); diff != "" {
		t.Errorf("after the grace (-want +got):\n%s", diff)
	}
}

// Guards against a target that gets no requests for good, since a restored store lists it
// although its removal had been seen. It is used once it registers, or is still there later.
func TestTargetListedAgainIsUsedOnceItLives(t *testing.T) {
	m := newRestoredTest(t)
	m.store.set("target/a", "", true)
	m.store.set("target/b", "", true)
	m.list(m.feed)
	m.restore()
	m.list(m.feed)
	if diff := cmp.Diff("", targetIDs(m.feed)); diff != "" {
		t.Errorf("targets after the list (-want +got):\n%s", diff)
	}
	m.store.set("target/b", "", false)
	m.list(m.feed)
	if diff := cmp.Diff("b", targetIDs(m.feed)); diff != "" {
		t.Errorf("targets once b has registered (-want +got):\n%s", diff)
	}
	m.clock.Advance(withholdTime)
	m.list(m.feed)
	if diff := cmp.Diff("a b", targetIDs(m.feed)); diff != "" {
		t.Errorf("targets later (-want +got):\n%s", diff)
	}
}
