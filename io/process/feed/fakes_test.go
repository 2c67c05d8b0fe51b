package feed

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/table"
	"hawthornferry/io/conn/link"
)

// fakeDecoder decodes items by their keys: target/ID is a target in zone-ID,
// evacuate/ZONE an evacuation, version/MODEL and any other key (config) a version
// and a configuration with a number as value. The value "bad" is an error.
type fakeDecoder struct{}

func (fakeDecoder) Kind(key string) ItemKind {
	kinds := map[string]ItemKind{"target": KindTarget, "evacuate": KindEvacuation, "version": KindVersion, "config": KindConfig}
	kind, _, _ := strings.Cut(key, "/")
	return kinds[kind]
}

func (fakeDecoder) Decode(it Item) (DecodedItem, error) {
	v := string(it.Value)
	if v == "bad" {
		return DecodedItem{}, errors.New("bad")
	}
	n, _ := strconv.ParseUint(v, 10, 64)
	if id, ok := strings.CutPrefix(it.Key, "target/"); ok {
		return DecodedItem{Target: &facts.Target{ID: id, Service: "svc", Zone: "zone-" + id}}, nil
	}
	if zone, ok := strings.CutPrefix(it.Key, "evacuate/"); ok {
		return DecodedItem{EvacuatedZone: zone}, nil
	}
	if model, ok := strings.CutPrefix(it.Key, "version/"); ok {
		return DecodedItem{Version: &facts.ModelVersion{Model: model, Version: n}}, nil
	}
	return DecodedItem{Config: &Config{Table: &table.Table{Version: n}}}, nil
}

// fakeStore is a store in memory. Its calls fail while err is set.
type fakeStore struct {
	mu             sync.Mutex
	items          map[string]Item
	log            []Item
	revision       uint64
	oldestRevision uint64
	failure        error
	calls          int
	// lastWatchEnd is when the last watch ended, and gap the longest pause
	// between two watches since the last call of resetGap.
	lastWatchEnd time.Time
	gap          time.Duration
	changed      chan struct{}
	// failNext makes only one watch fail.
	failNext bool
	epoch    uint64
}

// restore replaces the items by those of a copy at a revision, as a new epoch.
func (s *fakeStore) restore(items map[string]Item, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.log, s.revision = maps.Clone(items), nil, revision
	s.epoch++
	s.oldestRevision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns the items and the revision.
func (s *fakeStore) copy() (items map[string]Item, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items), s.revision
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]Item{}, changed: make(chan struct{}), revision: 1}
}

func (s *fakeStore) set(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: []byte(value), Revision: s.revision, Deleted: deleted}
	s.log = append(s.log, it)
	s.items[key] = it
	if deleted {
		delete(s.items, key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = err
	close(s.changed)
	s.changed = make(chan struct{})
}

// failOnce makes the watch that is under way, or else the next one, fail.
func (s *fakeStore) failOnce(err error) {
	s.fail(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failNext = true
}

func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestRevision = s.revision
}

func (s *fakeStore) List(context.Context, string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	p := Page{AtRevision: s.revision, Epoch: s.epoch}
	for _, it := range s.items {
		p.Items = append(p.Items, it)
	}
	return p, s.failure
}

// endWatch records the end of a watch.
func (s *fakeStore) endWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWatchEnd = time.Now()
}

// resetGap restarts the measurement of pauses between watches.
func (s *fakeStore) resetGap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWatchEnd, s.gap = time.Now(), 0
}

// longestGap returns the longest pause between two watches since resetGap.
func (s *fakeStore) longestGap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gap
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	defer s.endWatch()
	over := time.After(wait)
	for first := true; ; first = false {
		s.mu.Lock()
		if first {
			s.calls++
			s.gap = max(s.gap, time.Since(s.lastWatchEnd))
		}
		c := Changes{AtRevision: s.revision, Epoch: s.epoch}
		for _, it := range s.log {
			if it.Revision > after {
				c.Items = append(c.Items, it)
			}
		}
		err, changed := s.failure, s.changed
		if s.failNext {
			s.failure, s.failNext = nil, false
		}
		if after < s.oldestRevision {
			err = ErrHistoryLost
		}
		s.mu.Unlock()
		if err != nil || len(c.Items) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-over:
			return c, nil
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		}
	}
}

func newSelf(name string) *link.Self {
	return &link.Self{Boot: name, VM: fleet.VM{
		Name: name, Role: fleet.RoleEntry, Zone: "z", Region: "r", State: fleet.StateLive,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}}
}

var testStart = time.Now()

func newFeed(s Store) *Feed {
	return &Feed{
		Self: newSelf("self"), Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Store: s, Decoder: fakeDecoder{},
		Uptime: func() time.Duration { return time.Since(testStart) }, WatchWait: 100 * time.Millisecond,
		DrainTime: 2 * time.Second, Peers: func() []Peer { return nil },
	}
}

func runFeed(t *testing.T, f *Feed) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// servePeer lets a feed serve its peers until stop is called.
func servePeer(t *testing.T, f *Feed) (peer Peer, stop func()) {
	t.Helper()
	return startPeer(t, f.Self, f.Handler().Serve)
}

// startPeer starts a peer that handles its connections with serve until stop is
// called.
func startPeer(t *testing.T, self *link.Self, serve func(ctx context.Context, c *link.Conn)) (peer Peer, stop func()) {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link.Listener{Self: self, Net: nl, Handlers: map[link.Purpose]link.Handler{
		link.PurposeConfig: {Kinds: kinds(), Serve: serve},
	}}
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	return Peer{Address: netip.MustParseAddrPort(nl.Addr().String())}, stop
}

// freezeAfterOneReply starts a peer that sends the given reply to its first
// request and never replies again, like a machine that froze with its
// connections open.
func freezeAfterOneReply(t *testing.T, reply *factsReply) Peer {
	t.Helper()
	peer, _ := startPeer(t, newSelf("frozen"), func(ctx context.Context, c *link.Conn) {
		if _, err := c.Receive(); err != nil {
			return
		}
		if err := c.Send(reply); err != nil {
			return
		}
		<-ctx.Done()
	})
	return peer
}

func eventually(t *testing.T, what string, ok func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		if ok() {
			return time.Since(began)
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
	return 0
}

func targetIDs(f *Feed) string {
	var out []string
	for _, t := range f.Current().Targets {
		out = append(out, t.ID)
	}
	return strings.Join(out, " ")
}
