package demand

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/level"
)

// targetsIn returns n targets in each of the given zones.
func targetsIn(n int, zones ...string) []facts.Target {
	var out []facts.Target
	for z, zone := range zones {
		for i := range n {
			a := netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)})
			out = append(out, facts.Target{ID: a.String(), Service: "svc", Zone: zone, Address: netip.AddrPortFrom(a, 80)})
		}
	}
	return out
}

// without returns the targets on other machines than the given one.
func without(all []facts.Target, machine netip.Addr) []facts.Target {
	return slices.DeleteFunc(slices.Clone(all), func(t facts.Target) bool { return t.Address.Addr() == machine })
}

// Guards against entries that tell different collectors, collectors that a single zone takes
// along, and changes of them beyond the one that is needed.
func TestCollectors(t *testing.T) {
	three := targetsIn(9, "z1", "z2", "z3")
	first := Collectors("svc", three)
	changed := func(edit func(t *facts.Target)) []facts.Target {
		out := slices.Clone(three)
		for i := range out {
			if out[i].Address.Addr() == first[0] {
				edit(&out[i])
			}
		}
		return out
	}
	reversed := slices.Clone(three)
	slices.Reverse(reversed)
	next := Collectors("svc", without(three, first[0]))
	tests := []struct {
		name    string
		targets []facts.Target
		want    []netip.Addr
	}{
		{"listed in another order", reversed, first},
		{"listed twice", append(slices.Clone(three), three...), first},
		{"the first one leaves", changed(func(t *facts.Target) { t.Leaving = true }), next},
		{"its zone is evacuated", changed(func(t *facts.Target) { t.Evacuated = true }), next},
		{"none", nil, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, Collectors("svc", tc.targets), cmp.Comparer(func(a, b netip.Addr) bool { return a == b })); diff != "" {
				t.Errorf("collectors (-want +got):\n%s", diff)
			}
		})
	}
	for _, zones := range [][]string{{"z1"}, {"z1", "z2"}, {"z1", "z2", "z3"}, {"z1", "z2", "z3", "z4"}} {
		all := targetsIn(9, zones...)
		got, used := Collectors("svc", all), map[string]bool{}
		for _, target := range all {
			used[target.Zone] = used[target.Zone] || slices.Contains(got, target.Address.Addr())
		}
		if n := len(slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return !used[z] })); len(got) != maxCollectors || n != min(len(zones), maxCollectors) {
			t.Errorf("%d zones: %d collectors in %d of them", len(zones), len(got), n)
		}
	}
	for _, a := range first[1:] {
		if !slices.Contains(next, a) {
			t.Errorf("collector %s was replaced although another one ended", a)
		}
	}
}

// ratesOf returns rates with the given amount offered and crowded.
func ratesOf(offered, crowded float64) level.Rates {
	var r level.Rates
	r.Offered[1], r.Crowded[1] = offered, crowded
	return r
}

// Guards against totals that hold entries which have ended, were replaced or are silent, and
// against more messages than a collector can take.
func TestLedgerTotals(t *testing.T) {
	var l Ledger
	record := func(at time.Duration, entry string, conn uint64, offered float64, interval time.Duration) {
		l.Record(at, Source{entry, conn}, "svc", ratesOf(offered, 0), interval)
	}
	check := func(name string, at time.Duration, entries int, offered float64, interval time.Duration) {
		t.Helper()
		got, gotInterval := l.Totals(at, "svc")
		if diff := cmp.Diff(level.Totals{Entries: entries, Rates: ratesOf(offered, 0)}, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(interval, gotInterval); diff != "" {
			t.Errorf("%s: interval (-want +got):\n%s", name, diff)
		}
	}
	check("nothing", 0, 0, 0, MinInterval)
	record(0, "a", 1, 1, MinInterval)
	record(0, "b", 2, 2, IdleInterval)
	l.Record(0, Source{"b", 2}, "other", ratesOf(50, 0), IdleInterval)
	check("two entries", 0, 2, 3, MinInterval)
	record(100*time.Millisecond, "a", 3, 4, MinInterval)
	l.Forget(Source{"a", 1})
	check("an earlier connection ends", 100*time.Millisecond, 2, 6, MinInterval)
	check("one is silent", time.Second, 1, 2, MinInterval)
	l.Forget(Source{"b", 2})
	check("the other ends", time.Second, 0, 0, MinInterval)
	for i := range maxReports + 1 {
		record(2*time.Second, fmt.Sprint(i), 4, 1, MaxInterval)
	}
	check("full", 2*time.Second, maxReports, maxReports, MaxInterval)
}

// exchangeTest is an entry with two collectors of a service.
type exchangeTest struct {
	t    *testing.T
	x    Exchange
	a, b netip.AddrPort
	own  level.Rates
	cut  map[netip.AddrPort]bool
}

func newExchangeTest(t *testing.T) *exchangeTest {
	e := &exchangeTest{t: t, a: netip.MustParseAddrPort("10.0.0.1:7"), b: netip.MustParseAddrPort("10.0.0.2:7"), cut: map[netip.AddrPort]bool{}}
	e.x.SetCollectors(map[string][]netip.AddrPort{"svc": {e.a, e.b}})
	return e
}

func (e *exchangeTest) due(at time.Duration) []Message {
	return e.x.Due(at, "svc", &e.own, false, func(a netip.AddrPort) bool { return !e.cut[a] })
}

// count returns how many messages are sent from one time up to another.
func (e *exchangeTest) count(from, to time.Duration) int {
	n := 0
	for at := from; at < to; at += 50 * time.Millisecond {
		n += len(e.due(at))
	}
	return n
}

func (e *exchangeTest) receive(at time.Duration, side netip.AddrPort, seq uint64, entries int, asked time.Duration) Reply {
	r, _ := e.x.Receive(at, "svc", side, seq, level.Totals{Entries: entries}, asked)
	return r
}

// Guards against messages that are rarer than a shortage needs, or more frequent than the
// links of the entry or its collector carry.
func TestIntervalsOfMessages(t *testing.T) {
	e := newExchangeTest(t)
	e.cut[e.b] = true
	check := func(name string, from time.Duration, want int) {
		t.Helper()
		if diff := cmp.Diff(want, e.count(from, from+2*time.Second)); diff != "" {
			t.Errorf("%s: messages in 2 s (-want +got):\n%s", name, diff)
		}
	}
	check("capacity is ample", 0, 2)
	e.own = ratesOf(3, 1)
	check("capacity is short", 2*time.Second, 8)
	e.own = level.Rates{}
	check("right after that", 4*time.Second, 8)
	check("afterwards", 6*time.Second, 2)
	e.receive(8*time.Second, e.a, 20, 1, 500*time.Millisecond)
	e.own = ratesOf(3, 1)
	check("the collector asks for fewer", 8*time.Second, 4)
	if got := e.x.Due(0, "other", &e.own, true, func(netip.AddrPort) bool { return true }); got != nil {
		t.Errorf("messages about a service that needs none: %v", got)
	}
}

// Guards against totals that are old, of a collector which hears few entries, or of a message
// that was never sent.
func TestChoiceOfTotals(t *testing.T) {
	e := newExchangeTest(t)
	e.due(0)
	tests := []struct {
		name    string
		at      time.Duration
		side    netip.AddrPort
		seq     uint64
		entries int
		want    Reply
	}{
		{"of the one that replies", 50 * time.Millisecond, e.a, 1, 5, Reply{level.Totals{Entries: 5}, 0, 3 * time.Second}},
		{"of the one with more entries", 60 * time.Millisecond, e.b, 1, 7, Reply{level.Totals{Entries: 7}, 0, 3 * time.Second}},
		{"not of a message that was not sent", 60 * time.Millisecond, e.a, 2, 9, Reply{}},
		{"not of a later one with fewer", 1060 * time.Millisecond, e.a, 2, 5, Reply{level.Totals{Entries: 7}, 0, 3 * time.Second}},
		{"not of an older message", 1070 * time.Millisecond, e.a, 1, 9, Reply{level.Totals{Entries: 7}, 0, 3 * time.Second}},
		{"the one with more is silent", 3010 * time.Millisecond, e.a, 3, 5, Reply{level.Totals{Entries: 5}, 2 * time.Second, 5 * time.Second}},
		{"its late reply", 4 * time.Second, e.b, 1, 9, Reply{level.Totals{Entries: 5}, 2 * time.Second, 5 * time.Second}},
	}
	for _, tc := range tests {
		if tc.seq > 1 && tc.at > time.Second {
			e.due(time.Duration(tc.seq-1) * time.Second)
		}
		if diff := cmp.Diff(tc.want, e.receive(tc.at, tc.side, tc.seq, tc.entries, MinInterval)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
	e.x.SetCollectors(nil)
	if e.x.Active() || e.receive(3*time.Second, e.a, 3, 5, MinInterval) != (Reply{}) {
		t.Error("totals of a service with a single priority count")
	}
}

// Guards against a log line for each change of a share, and against levels that change without
// one.
func TestLoggedChanges(t *testing.T) {
	inForce := func(shares ...float64) level.State {
		s := level.State{InForce: true}
		copy(s.Shares[:], shares)
		return s
	}
	tests := []struct {
		at    time.Duration
		state level.State
		want  bool
	}{
		{0, level.State{}, false},
		{100 * time.Millisecond, inForce(1, 1, .5), true},
		{200 * time.Millisecond, inForce(1, .7, .3), false},
		{1100 * time.Millisecond, inForce(1, .6, .3), true},
		{3 * time.Second, inForce(1, .8, .3), false},
		{3100 * time.Millisecond, level.State{}, true},
		{9 * time.Second, level.State{}, false},
	}
	var c Changes
	for _, tc := range tests {
		if diff := cmp.Diff(tc.want, c.Observe(tc.at, "svc", tc.state, []int{0, 1, 2})); diff != "" {
			t.Errorf("at %s (-want +got):\n%s", tc.at, diff)
		}
	}
}

// BenchmarkTotals measures what a collector does for one message.
func BenchmarkTotals(b *testing.B) {
	for _, entries := range []int{12, 30, 100, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var l Ledger
			var names []string
			for i := range entries {
				names = append(names, fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250))
			}
			r := ratesOf(3, 1)
			for i := 0; b.Loop(); i++ {
				l.Record(0, Source{names[i%entries], 1}, "svc", r, IdleInterval)
				l.Totals(0, "svc")
			}
		})
	}
}
