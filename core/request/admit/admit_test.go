package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/route"
)

var start = time.Unix(1_000_000, 0)

func offer(id, customer string) Offer {
	return Offer{ID: id, Customer: customer, Service: "helper", Priority: route.PriorityInteractive}
}

// served runs a closed loop: places come free one at a time, every customer
// keeps a backlog, and the last n admissions are counted for each, when the
// time that a call holds its place has been learnt.
func served(t *testing.T, a *Admitter, backlog []string, n int) map[string]int {
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

// A large customer sends as much as it can. The small ones get their shares
// all the same: of each ten places one goes to each share.
func TestPlacesFollowShares(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 4, Least: 4}, Queue: 8000}
	a.SetShares([]envdoc.Customer{{Name: "large", Share: 4}, {Name: "mid", Share: 2}})
	got := served(t, a, []string{"large", "large", "large", "mid", "small", "large"}, 280)
	want := map[string]int{"large": 160, "mid": 80, "small": 40}
	for name, n := range want {
		if d := got[name] - n; d < -4 || d > 4 {
			t.Errorf("%s got %d places, want %d within 4", name, got[name], n)
		}
	}
}

// The queue is full of one customer's calls when another's first call comes.
// The newcomer gets in and the latest call of the first customer is refused.
func TestFullQueueRefusesTheHeaviest(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 1, Least: 1}, Queue: 2}
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

// One place, each call holds it for two seconds, and three calls wait. A call
// that needs its first byte within a second is refused at the door, and is
// told to ask again when the queue has gone; one with time enough waits.
func TestRefusesWhatCannotMakeItsDeadline(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 1, Least: 1}}
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

// Batch calls wait while any customer has an interactive one.
func TestBatchGivesWay(t *testing.T) {
	a := &Admitter{Limit: LimitSettings{Initial: 1, Least: 1}}
	batch := offer("b", "x")
	batch.Priority = route.PriorityBatch
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

// All targets fail and every call asks for a retry. The retries sent are a
// tenth of the calls and the first few, not one for each call.
func TestRetriesAreAShareOfTheCalls(t *testing.T) {
	a := &Admitter{}
	granted := 0
	for i := range 1000 {
		id := fmt.Sprint(i)
		a.Offer(start, offer(id, "x"))
		if a.Retry(start, "helper") {
			granted++
		}
		a.Done(start, Done{ID: id})
	}
	if granted > 111 {
		t.Errorf("%d retries for 1000 calls, want at most 111", granted)
	}
}

// Targets report waiting calls: the limit falls until they do not, and rises
// again once they have room.
func TestLimitFollowsReports(t *testing.T) {
	a := &Admitter{}
	now := start
	report := func(queued int) {
		for range 20 {
			now = now.Add(a.Limit.Every)
			a.Report(now, "helper", "t1", route.Report{At: now, Running: 10, Queued: queued, Capacity: 10})
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

// Calls of every kind come, end and go away in any order. Each is admitted or
// refused once, no more than the limit are in flight, and when all have ended
// nothing is left of them.
func TestEveryCallIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Admitter{Queue: 5, Limit: LimitSettings{Initial: 3}}
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
					o.Priority = route.PriorityBatch
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
					if s.Waiting > a.Queue {
						t.Fatalf("%d wait, want at most %d", s.Waiting, a.Queue)
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
