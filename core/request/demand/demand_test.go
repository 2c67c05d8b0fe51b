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

// targetsIn returns nine targets in each of the given number of zones.
func targetsIn(zones int) []facts.Target {
	var out []facts.Target
	for i := range 9 * zones {
		a := netip.AddrFrom4([4]byte{10, byte(i % zones), 0, byte(i + 1)})
		out = append(out, facts.Target{Zone: fmt.Sprint("z", i%zones), Address: netip.AddrPortFrom(a, 80)})
	}
	return out
}

// Guards against entries that tell different collectors, collectors that the loss of a single
// zone takes along, and more changes of them than are needed when one ends.
func TestCollectors(t *testing.T) {
	three := targetsIn(3)
	first := Collectors("svc", three)
	isFirst := func(t facts.Target) bool { return t.Address.Addr() == first[0] }
	edited := func(edit func(t *facts.Target)) []facts.Target {
		out := slices.Clone(three)
		edit(&out[slices.IndexFunc(out, isFirst)])
		return out
	}
	next := Collectors("svc", slices.DeleteFunc(slices.Clone(three), isFirst))
	reversed := slices.Clone(three)
	slices.Reverse(reversed)
	tests := []struct {
		name    string
		targets []facts.Target
		want    []netip.Addr
	}{
		{"listed in another order", reversed, first},
		{"listed twice", slices.Repeat(three, 2), first},
		{"the first one leaves", edited(func(t *facts.Target) { t.Leaving = true }), next},
		{"the first one is evacuated", edited(func(t *facts.Target) { t.Evacuated = true }), next},
		{"none", nil, nil},
	}
	for _, tc := range tests {
		if diff := cmp.Diff(tc.want, Collectors("svc", tc.targets), cmp.Comparer(func(a, b netip.Addr) bool { return a == b })); diff != "" {
			t.Errorf("%s: collectors (-want +got):\n%s", tc.name, diff)
		}
	}
	if !slices.Contains(next, first[1]) || !slices.Contains(next, first[2]) || slices.Contains(next, first[0]) {
		t.Errorf("collectors %v, %v after the end of the first one", first, next)
	}
	for zones := 1; zones <= 4; zones++ {
		used := map[byte]bool{}
		got := Collectors("svc", targetsIn(zones))
		for _, a := range got {
			used[a.As4()[1]] = true
		}
		if len(got) != maxCollectors || len(used) != min(zones, maxCollectors) {
			t.Errorf("%d zones: %d collectors in %d of them", zones, len(got), len(used))
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
		if diff := cmp.Diff(level.Totals{Entries: entries, Rates: ratesOf(offered, 0)}, got); diff != "" || interval != gotInterval {
			t.Errorf("%s: interval %s, want %s; totals (-want +got):\n%s", name, gotInterval, interval, diff)
		}
	}
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

var sideA, sideB = netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")

// sendFrom has an entry with the given rates send what is due in 2 s, and returns how many
// messages that is.
func sendFrom(x *Exchange, from time.Duration, own level.Rates) int {
	n := 0
	for at := from; at < from+2*time.Second; at += 50 * time.Millisecond {
		n += len(x.Due(at, "svc", &own, false, func(a netip.AddrPort) bool { return a == sideA }))
	}
	return n
}

// Guards against messages that are rarer than a shortage needs, or more frequent than the
// links of the entry or its collector carry, and against some to a side without a connection.
func TestIntervalsOfMessages(t *testing.T) {
	var x Exchange
	x.SetCollectors(map[string][]netip.AddrPort{"svc": {sideA, sideB}})
	var got []int
	for i, crowded := range []float64{0, 1, 0, 0} {
		got = append(got, sendFrom(&x, time.Duration(2*i)*time.Second, ratesOf(3, crowded)))
	}
	x.Receive(8*time.Second, "svc", sideA, 20, level.Totals{}, 500*time.Millisecond)
	got = append(got, sendFrom(&x, 8*time.Second, ratesOf(3, 1)))
	x.SetCollectors(nil)
	got = append(got, sendFrom(&x, 10*time.Second, ratesOf(3, 1)))
	// Ample capacity, a shortage, right after it, later, a collector that asks for fewer, and
	// a service with a single priority.
	if diff := cmp.Diff([]int{2, 8, 8, 2, 4, 0}, got); diff != "" {
		t.Errorf("messages in 2 s (-want +got):\n%s", diff)
	}
}

// Guards against totals that are old, of a collector which hears few entries, or of a message
// that was never sent.
func TestChoiceOfTotals(t *testing.T) {
	var x Exchange
	x.SetCollectors(map[string][]netip.AddrPort{"svc": {sideA, sideB}})
	reply := func(entries int, asOf time.Duration) Reply {
		return Reply{level.Totals{Entries: entries}, asOf, asOf + 3*time.Second}
	}
	tests := []struct {
		name    string
		at      time.Duration
		side    netip.AddrPort
		seq     uint64
		entries int
		want    Reply
	}{
		{"of the one that replies", 50 * time.Millisecond, sideA, 1, 5, reply(5, 0)},
		{"of the one with more entries", 60 * time.Millisecond, sideB, 1, 7, reply(7, 0)},
		{"not of a message that was not sent", 60 * time.Millisecond, sideA, 2, 9, Reply{}},
		{"not of a later one with fewer", 1060 * time.Millisecond, sideA, 2, 5, reply(7, 0)},
		{"not of an older message", 1070 * time.Millisecond, sideA, 1, 9, reply(7, 0)},
		{"the one with more is silent", 3010 * time.Millisecond, sideA, 3, 5, reply(5, 3*time.Second)},
		{"its late reply", 4 * time.Second, sideB, 1, 9, reply(5, 3*time.Second)},
	}
	for _, tc := range tests {
		x.Due(tc.at.Truncate(time.Second), "svc", &level.Rates{}, false, func(netip.AddrPort) bool { return true })
		got, _ := x.Receive(tc.at, "svc", tc.side, tc.seq, level.Totals{Entries: tc.entries}, MinInterval)
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}

// Guards against a log line for each change of a share, and against levels that change without
// one.
func TestLoggedChanges(t *testing.T) {
	var c Changes
	var got []time.Duration
	for i, share := range []float64{1, .5, .4, 1, 1, 1} {
		at := time.Duration(i) * 400 * time.Millisecond
		if c.Observe(at, "svc", level.State{InForce: share < 1, Shares: [level.Priorities]float64{1, 1, share}}, []int{0, 2}) {
			got = append(got, at)
		}
	}
	if diff := cmp.Diff([]time.Duration{400 * time.Millisecond, 1600 * time.Millisecond}, got); diff != "" {
		t.Errorf("times of lines (-want +got):\n%s", diff)
	}
}

// BenchmarkTotals measures what a collector does for one message.
func BenchmarkTotals(b *testing.B) {
	for _, entries := range []int{12, 30, 100, 300} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var l Ledger
			for i := 0; b.Loop(); i++ {
				l.Record(0, Source{string(rune(i % entries)), 1}, "svc", ratesOf(3, 1), IdleInterval)
				l.Totals(0, "svc")
			}
		})
	}
}
