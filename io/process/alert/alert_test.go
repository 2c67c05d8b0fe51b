package alert

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/poison"
	"hawthornferry/io/conn/link"
)

var fatal = poison.Request{URI: "/fatal"}.Key()

func newRegistry() *Registry {
	return &Registry{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Metrics: tally.NoopScope}
}

func testSelf(name string) *link.Self {
	return &link.Self{Boot: name, VM: fleet.VM{
		Name: name, Role: fleet.RoleEntry, Zone: "z", Region: "r",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive,
	}}
}

// serve serves a hub until the returned function is called.
func serve(t *testing.T, addr string, h link.Handler) (netip.AddrPort, func()) {
	t.Helper()
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l := &link.Listener{Self: testSelf("hub"), Net: nl, Handlers: map[link.Purpose]link.Handler{link.PurposeAlerts: h}}
	return netip.MustParseAddrPort(nl.Addr().String()), running(t, l.Run)
}

// entry connects a registry to hubs until the returned function is called.
func entry(t *testing.T, name string, r *Registry, hubs ...netip.AddrPort) func() {
	t.Helper()
	c := &Caller{Self: testSelf(name), Clock: r.Clock, Log: trail.Discard{}, Registry: r}
	stop := running(t, c.Run)
	eventually(t, name+" runs", func() bool {
		c.Want(hubs)
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.subscribers) > 0
	})
	return stop
}

// running runs a part until the returned function, or the end of the test, ends it.
func running(t *testing.T, run func(ctx context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	var once atomic.Bool
	stop := func() {
		cancel()
		if once.CompareAndSwap(false, true) {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(stop)
	return stop
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}

func isBlocked(r *Registry) bool {
	_, blocked := r.Blocked(fatal)
	return blocked
}

// A request crashes one target through each of three entries. Each saw one crash, and
// all must refuse it, those too that start later; and all must let it through again
// once it has ended well at one of them.
func TestEntriesAddUpWhatTheySee(t *testing.T) {
	hub, _ := serve(t, "127.0.0.1:0", newRegistry().Handler())
	registries := []*Registry{newRegistry(), newRegistry(), newRegistry(), newRegistry()}
	for i, b := range registries {
		entry(t, fmt.Sprint("entry-", i), b, hub)
		if i < 3 {
			b.Struck(fatal, poison.Start{Target: fmt.Sprint("i-", i)}, 0)
		}
	}
	began := time.Now()
	all := func(want bool) func() bool {
		return func() bool {
			for _, b := range registries {
				if isBlocked(b) != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all refuse it", all(true))
	t.Logf("all refuse it after %s", time.Since(began))
	registries[1].Succeeded(fatal)
	eventually(t, "all let it through", all(false))
}

// A target turns out to have run on: the strike is void for all, not only for the
// entry that saw it.
func TestStrikeOfSurvivingTargetIsPublished(t *testing.T) {
	hub, _ := serve(t, "127.0.0.1:0", newRegistry().Handler())
	one, two := newRegistry(), newRegistry()
	entry(t, "one", one, hub)
	entry(t, "two", two, hub)
	began := time.Now()
	for i := range 3 {
		one.Struck(fatal, poison.Start{Target: fmt.Sprint("i-", i)}, 0)
	}
	eventually(t, "the other one refuses it", func() bool { return isBlocked(two) })
	eventually(t, "both let it through", func() bool {
		two.Answered(began, poison.Start{Target: "i-1"})
		return !isBlocked(one) && !isBlocked(two)
	})
}

// The hub is lost, and with it what it knew. The next one at its address learns it
// from the entries, and tells an entry that has just started.
func TestHubThatStartsAnewLearnsAll(t *testing.T) {
	hub, stop := serve(t, "127.0.0.1:0", newRegistry().Handler())
	old := newRegistry()
	entry(t, "old", old, hub)
	for i := range 3 {
		old.Struck(fatal, poison.Start{Target: fmt.Sprint("i-", i)}, 0)
	}
	stop()
	serve(t, hub.String(), newRegistry().Handler())
	fresh := newRegistry()
	entry(t, "fresh", fresh, hub)
	began := time.Now()
	eventually(t, "the new entry refuses it", func() bool { return isBlocked(fresh) })
	t.Logf("it refuses it after %s", time.Since(began))
}

// A target ends under hundreds of requests. None of them is suspected for that, and
// entries are not told of them all.
func TestSingleStrikesStayWithTheHub(t *testing.T) {
	registry := newRegistry()
	hub, _ := serve(t, "127.0.0.1:0", registry.Handler())
	one, two := newRegistry(), newRegistry()
	entry(t, "one", one, hub)
	entry(t, "two", two, hub)
	const broken = 3 * maxNotes
	for i := range broken {
		one.Struck(poison.Request{URI: fmt.Sprint("/", i)}.Key(), poison.Start{Target: "i-0"}, 0)
	}
	eventually(t, "the hub knows all", func() bool { return registry.known.Load() == broken })
	// Longer than a hub takes to tell.
	time.Sleep(4 * batchEvery)
	if diff := cmp.Diff(int64(0), two.known.Load()); diff != "" {
		t.Errorf("requests that the other entry was told of (-want +got):\n%s", diff)
	}
}

// A connection goes silent for good, as at a machine that went dark. The entry must
// not wait on it while others crash targets.
func TestSilentHubIsDialledAnew(t *testing.T) {
	var dialled atomic.Int64
	hub, _ := serve(t, "127.0.0.1:0", link.Handler{Kinds: kinds(), Serve: func(ctx context.Context, _ *link.Conn) {
		dialled.Add(1)
		<-ctx.Done()
	}})
	entry(t, "one", newRegistry(), hub)
	began := time.Now()
	eventually(t, "it is dialled again", func() bool { return dialled.Load() > 1 })
	if took := time.Since(began); took > silence+redialAfter+time.Second {
		t.Errorf("dialled again after %s, want about %s", took, silence+redialAfter)
	}
}
