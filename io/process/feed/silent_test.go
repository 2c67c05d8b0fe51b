package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"
)

// silentStore is a store that doesn't answer while silent is set.
type silentStore struct {
	*fakeStore
	silent atomic.Bool
}

func (s *silentStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	c, err := s.fakeStore.Watch(ctx, after, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return Changes{}, ctx.Err()
	}
	return c, err
}

func (s *silentStore) List(ctx context.Context, prefix string) (Page, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return s.fakeStore.List(ctx, prefix)
}

// Guards against an entry that uses a replaced configuration for longer than
// the bound, because the store doesn't answer the entry's upstreams.
func TestUpstreamsThatTheStoreDoesNotAnswerAreLeftInTime(t *testing.T) {
	const bound = 2 * time.Second
	s := newFakeStore()
	s.set("config", "1", false)
	var upstreams []Peer
	var stores []*silentStore
	for _, name := range []string{"one", "two"} {
		silent := &silentStore{fakeStore: newFakeStore()}
		silent.set("config", "1", false)
		_, upstream := newUpstream(t, name, silent)
		upstreams, stores = append(upstreams, upstream), append(stores, silent)
	}
	f := newFeed(s)
	setEntryWaits(f)
	f.Upstreams = func() []Peer { return upstreams }
	f.Peers = func() []Peer { return upstreams }
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	for _, silent := range stores {
		silent.silent.Store(true)
	}
	s.set("config", "2", false)
	took := eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == 2 })
	if took > bound {
		t.Errorf("the new configuration was in force after %s, want %s at most", took, bound)
	}
}
