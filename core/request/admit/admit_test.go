package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/picker"
)

var start = time.Unix(1_000_000, 0)

func offer(id, customer string) Offer {
	return Offer{ID: id, Customer: customer, Service: "helper", Priority: picker.PriorityInteractive}
}

// admissionsByCustomer runs a closed loop in which one slot becomes free at a time and
// every customer keeps a backlog. It counts the last n admissions of each, by when the
// time that a call holds its slot is known.
func admissionsByCustomer(t *testing.T, a *Admitter, backlog []string, n int) map[string]int {
	t.Helper()
	now := start
	owner := map[string]string{}
	var running []string
	take := func(vs []Verdict) {
		for _, v := range vs {
			if v.Decision == Admitted {
				running = append(running, v.ID)
			}
		}
	}
	for i := range 2 * n * len(backlog) {
		o := offer(fmt.Sprint(i), backlog[i%len(backlog)])
		owner[o.ID] = o.Customer
		take(a.Offer(now, o))
	}
	got := map[string]int{}
	for i := range 2 * n {
		now = now.Add(100 * time.Millisecond)
		id := running[0]
		running = running[1:]
		if i >= n {
			got[owner[id]]++
		}
		take(a.Done(now, Done{ID: id}))
	}
	return got
}

// Guards against a large customer that takes the slots of small ones by sending as much
// as it can. Slots are given out in proportion to the shares.
func TestPlacesFollowShares(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 4, Min: 4}, MaxQueue: 8000}
	a.SetShares([]envdoc.Customer{{Name: "large", Share: 4}, {Name: "mid", Share: 2}})
	got := admissionsByCustomer(t, a, []string{"large", "large", "large", "mid", "small", "large"}, 280)
	want := map[string]int{"large": 160, "mid": 80, "small": 40}
	for name, n := range want {
		if d := got[name] - n; d < -4 || d > 4 {
			t.Errorf("%s got %d places, want %d within 4", name, got[name], n)
		}
	}
}

// Guards against one customer that fills the queue and shuts out another. The first
// call of the other gets in, and the latest one of the first customer is refused.
func TestFullQueueRefusesMostBacklogged(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 1, Min: 1}, MaxQueue: 2}
	var got []Verdict
	for _, o := range []Offer{offer("1", "x"), offer("2", "x"), offer("3", "x"), offer("4", "y"), offer("5", "x")} {
		got = append(got, a.Offer(start, o)...)
	}
	want := []Verdict{
		{ID: "1", Decision: Admitted},
		{ID: "3", Decision: Refused, Reason: ReasonQueueFull, RetryAfter: time.Second},
		{ID: "5", Decision: Refused, Reason: ReasonQueueFull, RetryAfter: time.Second},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// Guards against queueing a call that cannot meet its deadline. There is one slot, each
// call holds it for two seconds, and three calls wait. A call that needs its first byte
// within a second is refused at once with a Retry-After for when the queue is empty;
// one with enough time waits.
func TestRefusesWhatCannotMakeItsDeadline(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 1, Min: 1}}
	now := start
	a.Offer(now, offer("0", "x"))
	now = now.Add(2 * time.Second)
	a.Done(now, Done{ID: "0", FirstByte: 100 * time.Millisecond})
	for i := range 4 {
		a.Offer(now, offer(fmt.Sprint("w", i), "x"))
	}
	late := offer("late", "x")
	late.Deadline = now.Add(time.Second)
	want := []Verdict{{ID: "late", Decision: Refused, Reason: ReasonDeadline, RetryAfter: 9 * time.Second}}
	if diff := cmp.Diff(want, a.Offer(now, late)); diff != "" {
		t.Errorf("tight deadline (-want +got):\n%s", diff)
	}
	patient := offer("patient", "x")
	patient.Deadline = now.Add(time.Minute)
	if diff := cmp.Diff([]Verdict(nil), a.Offer(now, patient)); diff != "" {
		t.Errorf("loose deadline (-want +got):\n%s", diff)
	}
}

// Guards against serving batch calls while any customer has an interactive one.
func TestBatchWaitsForInteractive(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 1, Min: 1}}
	batch := offer("b", "x")
	batch.Priority = picker.PriorityBatch
	a.Offer(start, offer("0", "x"))
	a.Offer(start, batch)
	a.Offer(start, offer("i", "y"))
	var order []string
	for _, id := range []string{"0", "i"} {
		for _, v := range a.Done(start, Done{ID: id}) {
			order = append(order, v.ID)
		}
	}
	if diff := cmp.Diff([]string{"i", "b"}, order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// countRetries offers n calls, all of which fail, and returns how many may be retried.
func countRetries(a *Admitter, n int) int {
	granted := 0
	for i := range n {
		id := fmt.Sprint(i)
		a.Offer(start, offer(id, "x"))
		if a.Retry(start, "helper") {
			granted++
		}
		a.Done(start, Done{ID: id})
	}
	return granted
}

// Guards against a retry of every call when all targets fail. Only a tenth of the calls
// and the first few are retried.
func TestRetriesAreAShareOfTheCalls(t *testing.T) {
	if granted := countRetries(&Admitter{}, 1000); granted > 111 {
		t.Errorf("%d retries for 1000 calls, want at most 111", granted)
	}
}

// Guards against a full budget at each start of a process, beside what its predecessors have
// used of the same calls.
func TestRetriesAreAShareOfTheCallsWhenTheProcessRestarts(t *testing.T) {
	granted := 0
	for range 20 {
		granted += countRetries(&Admitter{}, 100)
	}
	if granted > 260 {
		t.Errorf("%d retries for 2000 calls, want at most 260", granted)
	}
}

// The limit falls while targets report waiting calls. It does not rise without use
// afterwards, even though the targets have room.
func TestLimitFollowsReports(t *testing.T) {
	a := &Admitter{}
	now := start
	report := func(queued int) {
		for range 20 {
			now = now.Add(a.Limit.Interval)
			a.Report(now, "helper", "t1", picker.LoadReport{ReceivedAt: now, Running: 10, Queued: queued, Capacity: 10})
			a.Tick(now)
		}
	}
	report(5)
	low := a.States(now)[0].Limit
	if low > 4 {
		t.Errorf("limit is %d while half the capacity waits, want at most 4", low)
	}
	report(0)
	if got := a.States(now)[0].Limit; got != low {
		t.Errorf("limit rose from %d to %d without use", low, got)
	}
}

// Calls arrive, end and are withdrawn in random order. Each is admitted or refused
// once, the count in flight matches the running calls, the queue stays within its
// bound, and only open calls are stored.
func TestEveryCallIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Admitter{MaxQueue: 5, Limit: LimitSettings{Initial: 3}}
		now := start
		open, running, decided := map[string]bool{}, map[string]bool{}, map[string]bool{}
		take := func(vs []Verdict) {
			for _, v := range vs {
				if !open[v.ID] || decided[v.ID] {
					t.Fatalf("verdict for %s, which is decided or gone", v.ID)
				}
				decided[v.ID] = true
				if v.Decision == Admitted {
					running[v.ID] = true
				} else {
					delete(open, v.ID)
				}
			}
		}
		n := 0
		pick := func(from map[string]bool) string {
			var ids []string
			for i := range n {
				if from[fmt.Sprint(i)] {
					ids = append(ids, fmt.Sprint(i))
				}
			}
			if len(ids) == 0 {
				return ""
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				o := offer(fmt.Sprint(n), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "customer"))
				n++
				if rapid.Bool().Draw(t, "batch") {
					o.Priority = picker.PriorityBatch
				}
				if rapid.Bool().Draw(t, "due") {
					o.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				}
				open[o.ID] = true
				take(a.Offer(now, o))
			},
			"done": func(t *rapid.T) {
				id := pick(running)
				delete(running, id)
				delete(open, id)
				take(a.Done(now, Done{ID: id, FirstByte: 50 * time.Millisecond}))
			},
			"withdraw": func(t *rapid.T) {
				id := pick(open)
				delete(running, id)
				delete(open, id)
				take(a.Withdraw(now, id))
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				take(a.Tick(now))
			},
			"": func(t *rapid.T) {
				for _, s := range a.States(now) {
					if s.Waiting > a.MaxQueue {
						t.Fatalf("%d wait, want at most %d", s.Waiting, a.MaxQueue)
					}
					if s.InFlight != len(running) {
						t.Fatalf("%d in flight by its own count, %d by the callers'", s.InFlight, len(running))
					}
				}
				if len(a.calls) != len(open) {
					t.Fatalf("%d calls remembered, %d open", len(a.calls), len(open))
				}
			},
		})
	})
}
