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

var (
	crashKey     = poison.Request{URI: "/fatal"}.Fingerprint()
	crashRequest = poison.Identity{Request: crashKey}
)

func newRegistry() *Registry {
	return &Registry{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Metrics: tally.NoopScope}
}

func testSelf(name string) *link.Self {
	return &link.Self{Boot: name, VM: fleet.VM{
		Name: name, Role: fleet.RoleEntry, Zone: "z", Region: "r",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive,
	}}
}

// serveHub serves a hub until the returned function is called.
func serveHub(t *testing.T, addr string, h link.Handler) (netip.AddrPort, func()) {
	t.Helper()
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l := &link.Listener{Self: testSelf("hub"), Net: nl, Handlers: map[link.Purpose]link.Handler{link.PurposeAlerts: h}}
	return netip.MustParseAddrPort(nl.Addr().String()), start(t, l.Run)
}

// connectEntry connects a registry to hubs until the returned function is called.
func connectEntry(t *testing.T, name string, r *Registry, hubs ...netip.AddrPort) func() {
	t.Helper()
	c := &HubClient{Self: testSelf(name), Clock: r.Clock, Log: trail.Discard{}, Registry: r}
	stop := start(t, c.Run)
	eventually(t, name+" runs", func() bool {
		c.SetHubs(hubs)
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.subscribers) > 0
	})
	return stop
}

// start runs a task until the returned function is called or the test ends.
func start(t *testing.T, run func(ctx context.Context) error) func() {
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
	_, blocked := r.Blocked(crashRequest)
	return blocked
}

// A request crashes one target through each of three entries, each of which sees one crash.
// All entries must then refuse it, including one that saw none, and all must accept it
// again once it has completed successfully at one of them.
func TestEntriesShareFailures(t *testing.T) {
	hub, _ := serveHub(t, "127.0.0.1:0", newRegistry().Handler())
	registries := []*Registry{newRegistry(), newRegistry(), newRegistry(), newRegistry()}
	for i, r := range registries {
		connectEntry(t, fmt.Sprint("entry-", i), r, hub)
		if i < 3 {
			r.RecordFailure(r.Clock.Now(), crashRequest, poison.Incarnation{Target: fmt.Sprint("i-", i)}, 0)
		}
	}
	began := time.Now()
	all := func(want bool) func() bool {
		return func() bool {
			for _, r := range registries {
				if isBlocked(r) != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all refuse it", all(true))
	t.Logf("all refuse it after %s", time.Since(began))
	registries[1].RecordSuccess(crashKey)
	eventually(t, "all let it through", all(false))
}

// Guards against trials of a request that is blocked because of a part of its prompt, which no
// success of the request itself would clear.
func TestTrialIsOfWholeRequestsOnly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	blockedPart := poison.Identity{Request: crashKey, Parts: []poison.PartID{"p"}}
	tests := []struct {
		name string
		id   poison.Identity
		want int
	}{
		{"the request", crashRequest, 3},
		{"a part of it as well", blockedPart, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRegistry()
			r.Clock = clock
			for i := range 3 {
				r.RecordFailure(clock.Now(), tc.id, poison.Incarnation{Target: fmt.Sprint("i-", i)}, 0)
				clock.Advance(100 * time.Millisecond)
			}
			clock.Advance(100 * time.Millisecond)
			if diff := cmp.Diff(tc.want, len(r.Trial(tc.id).Starts)); diff != "" {
				t.Errorf("targets of the trial (-want +got):\n%s", diff)
			}
		})
	}
}

// When a target turns out to have survived a failure, the failure must be voided at all
// entries, not only at the one that saw it.
func TestSurvivedFailureIsPublished(t *testing.T) {
	hub, _ := serveHub(t, "127.0.0.1:0", newRegistry().Handler())
	one, two := newRegistry(), newRegistry()
	connectEntry(t, "one", one, hub)
	connectEntry(t, "two", two, hub)
	began := time.Now()
	for i := range 3 {
		one.RecordFailure(one.Clock.Now(), crashRequest, poison.Incarnation{Target: fmt.Sprint("i-", i)}, 0)
	}
	eventually(t, "the other one refuses it", func() bool { return isBlocked(two) })
	eventually(t, "both let it through", func() bool {
		two.RecordAnswer(began, poison.Incarnation{Target: "i-1"})
		return !isBlocked(one) && !isBlocked(two)
	})
}

// A hub is lost with its state. The next hub at the same address must get the state from
// the connected entries, and pass it on to an entry that has just started.
func TestRestartedHubRecoversState(t *testing.T) {
	hub, stop := serveHub(t, "127.0.0.1:0", newRegistry().Handler())
	old := newRegistry()
	connectEntry(t, "old", old, hub)
	for i := range 3 {
		old.RecordFailure(old.Clock.Now(), crashRequest, poison.Incarnation{Target: fmt.Sprint("i-", i)}, 0)
	}
	stop()
	serveHub(t, hub.String(), newRegistry().Handler())
	fresh := newRegistry()
	connectEntry(t, "fresh", fresh, hub)
	began := time.Now()
	eventually(t, "the new entry refuses it", func() bool { return isBlocked(fresh) })
	t.Logf("it refuses it after %s", time.Since(began))
}

// When a target ends with hundreds of requests in flight, none of them is suspected because
// of that, and the hub must not report them all to the other entries.
func TestSingleFailuresAreNotRelayed(t *testing.T) {
	registry := newRegistry()
	hub, _ := serveHub(t, "127.0.0.1:0", registry.Handler())
	one, two := newRegistry(), newRegistry()
	connectEntry(t, "one", one, hub)
	connectEntry(t, "two", two, hub)
	const broken = 3 * maxNotes
	for i := range broken {
		one.RecordFailure(one.Clock.Now(), poison.Identity{Request: poison.Request{URI: fmt.Sprint("/", i)}.Fingerprint()}, poison.Incarnation{Target: "i-0"}, 0)
	}
	eventually(t, "the hub knows all", func() bool { return registry.size.Load() == broken })
	// Longer than a hub takes to send its news.
	time.Sleep(4 * batchInterval)
	if diff := cmp.Diff(int64(0), two.size.Load()); diff != "" {
		t.Errorf("requests that the other entry learned of (-want +got):\n%s", diff)
	}
}

// A connection falls silent without being closed, as when a machine loses power. The entry
// must not wait on it while requests crash targets through other entries.
func TestSilentHubIsRedialled(t *testing.T) {
	var dialled atomic.Int64
	hub, _ := serveHub(t, "127.0.0.1:0", link.Handler{Kinds: kinds(), Serve: func(ctx context.Context, _ *link.Conn) {
		dialled.Add(1)
		<-ctx.Done()
	}})
	connectEntry(t, "one", newRegistry(), hub)
	began := time.Now()
	eventually(t, "it is dialled again", func() bool { return dialled.Load() > 1 })
	if took := time.Since(began); took > readTimeout+redialDelay+time.Second {
		t.Errorf("dialled again after %s, want about %s", took, readTimeout+redialDelay)
	}
}

// Guards against entries that don't know of a fatal part, and refuse what came with it.
func TestEntriesShareParts(t *testing.T) {
	hub, _ := serveHub(t, "127.0.0.1:0", newRegistry().Handler())
	registries := []*Registry{newRegistry(), newRegistry(), newRegistry()}
	refused := func(r *Registry, parts ...poison.PartID) bool {
		_, blocked := r.Blocked(poison.Identity{Parts: parts})
		return blocked
	}
	for i, r := range registries {
		connectEntry(t, fmt.Sprint("entry-", i), r, hub)
		r.RecordSound([]poison.PartID{"common"})
		id := poison.Identity{Request: poison.Request{URI: fmt.Sprint("/", i)}.Fingerprint(), Parts: []poison.PartID{"common", "fatal"}}
		r.RecordFailure(r.Clock.Now(), id, poison.Incarnation{Target: fmt.Sprint("i-", i)}, 0)
	}
	late := newRegistry()
	connectEntry(t, "late", late, hub)
	for _, r := range append(registries, late) {
		eventually(t, "the part is refused", func() bool { return refused(r, "common", "fatal") })
		if refused(r, "common") {
			t.Error("the other part is refused, too")
		}
	}
}
