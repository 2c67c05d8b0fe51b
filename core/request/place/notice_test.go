package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/lease"
	"hawthornferry/core/request/table"
)

// noticeFacts returns the facts of a service with the targets "a" and "b", of which "b" has
// started at the given time.
func noticeFacts(engine bool, startedAt time.Time) *facts.Facts {
	e := usualEngine
	if !engine {
		e = nil
	}
	f := testFacts(e, 2, "a", "b")
	f.Targets[1].StartedAt = startedAt
	return f
}

// Guards against any way by which a request gets to a target that has said that it takes none.
func TestNoWayLeadsToTargetThatTakesNone(t *testing.T) {
	const full, soon = 2, 100 * time.Millisecond
	only := func(id string, resumed bool) Request {
		w := testRequest(id)
		w.FailedTargets, w.Resumed = []string{"a"}, resumed
		return w
	}
	fill := func(p *Placer) {
		for i := range full {
			p.Offer(start, only(fmt.Sprint("at b ", i), false))
		}
	}
	fillAndWait := func(p *Placer) {
		fill(p)
		p.Offer(start, only("waits", false))
	}
	tests := []struct {
		name string
		// before is run before the target says that it takes none. Then try places a request
		// at it, if nothing keeps it from that.
		before func(p *Placer)
		try    func(p *Placer) []Verdict
	}{
		{"a new request", func(*Placer) {}, func(p *Placer) []Verdict { return p.Offer(start, only("new", false)) }},
		{"a request that waits", func(p *Placer) {
			fillAndWait(p)
			p.RequestEnded(start, "at b 0", ResultRejected)
		}, func(p *Placer) []Verdict { return p.Tick(start.Add(soon)) }},
		{"a request that ends there", fillAndWait, func(p *Placer) []Verdict { return p.RequestEnded(start, "at b 0", ResultDone) }},
		{"a report", func(p *Placer) {
			p.Report(start, "b", LoadReport{Alive: true, ServedVersion: 1, Active: full})
			p.Offer(start, only("waits", false))
		}, func(p *Placer) []Verdict {
			return p.Report(start, "b", LoadReport{Alive: true, ServedVersion: 1})
		}},
		{"a permit", func(p *Placer) {
			p.RecordRateLimit(start, p.targets["b"].Target, lease.RateLimit{Limited: true, PerSecond: 100}, start)
			p.Offer(start, only("waits", false))
		}, func(p *Placer) []Verdict {
			return p.AddPermits(start, "b", lease.Grant{N: 1, Expires: start.Add(time.Second)})
		}},
		{"a stream that is resumed", fill, func(p *Placer) []Verdict { return p.Offer(start, only("resumed", true)) }},
		{"a stream whose target is silent", func(*Placer) {}, func(p *Placer) []Verdict {
			v, _ := p.Reassign(start, only("resumed", true))
			return []Verdict{v}
		}},
		{"a stream whose target loads", func(*Placer) {}, func(p *Placer) []Verdict {
			v, _ := p.Relocate(start, only("resumed", true), time.Second)
			return []Verdict{v}
		}},
		{"the list, which shows it as ready again", func(p *Placer) {
			f := noticeFacts(true, start)
			f.Targets[1].Leaving = true
			p.Update(start, f)
			p.Offer(start, only("waits", true))
		}, func(p *Placer) []Verdict { return p.Update(start, noticeFacts(true, start)) }},
		{"its entry lapses and comes back", func(*Placer) {}, func(p *Placer) []Verdict {
			p.Update(start, testFacts(usualEngine, full, "a"))
			p.Offer(start, only("waits", true))
			return p.Update(start.Add(time.Millisecond), noticeFacts(true, start))
		}},
	}
	for _, tc := range tests {
		for _, said := range []Notice{{}, {Leaving: true}, {RetryAfter: time.Minute}} {
			t.Run(fmt.Sprintf("%s, %+v", tc.name, said), func(t *testing.T) {
				f := noticeFacts(true, start)
				p := testPlacer(f)
				tc.before(p)
				p.RecordNotice(start, f.Targets[1], said, start)
				got := slices.ContainsFunc(tc.try(p), func(v Verdict) bool { return v.Target.ID == "b" })
				if diff := cmp.Diff(said == Notice{}, got); diff != "" {
					t.Errorf("placed there (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// Guards against a target that takes none and counts as one that may get a request all the same.
func TestTargetThatTakesNoneHasNoRoom(t *testing.T) {
	for _, said := range []Notice{{}, {Leaving: true}, {RetryAfter: time.Minute}} {
		t.Run(fmt.Sprintf("%+v", said), func(t *testing.T) {
			f := noticeFacts(true, start)
			p := testPlacer(f)
			p.RecordNotice(start, f.Targets[1], said, start)
			want := said == Notice{}
			if diff := cmp.Diff(want, p.HasRoomElsewhere(start, "svc", "a", table.AllowedRegions{})); diff != "" {
				t.Errorf("room elsewhere (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(want, p.TakesRequests(start, f.Targets[1])); diff != "" {
				t.Errorf("takes what was assigned before (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a notice that outlasts the run of the target that gave it, or is taken from
// another run.
func TestNoticeBelongsToOneRun(t *testing.T) {
	later := start.Add(time.Minute)
	tests := []struct {
		name string
		// listed are the starts of the target by the list, one after the other; the zero
		// time stands for a list without it. It says that it leaves in the run of saidBy
		// after the first one.
		listed []time.Time
		saidBy time.Time
		want   bool
	}{
		{"the same run", []time.Time{start, start}, start, true},
		{"the next run", []time.Time{start, later}, start, false},
		{"by the former run, after the start of the next", []time.Time{later, later}, start, false},
		{"the entry lapses", []time.Time{start, {}, start}, start, true},
		{"the entry lapses, and another run comes", []time.Time{start, {}, later}, start, false},
		{"said while its entry has lapsed", []time.Time{{}, start}, start, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(nil, 2, "a"))
			for i, startedAt := range tc.listed {
				f := testFacts(nil, 2, "a")
				if !startedAt.IsZero() {
					f = noticeFacts(false, startedAt)
				}
				p.Update(start.Add(time.Duration(i)*time.Second), f)
				if i == 0 {
					said := noticeFacts(false, tc.saidBy).Targets[1]
					p.RecordNotice(start, said, Notice{Leaving: true}, start)
				}
			}
			if diff := cmp.Diff(tc.want, p.targets["b"].isLeaving()); diff != "" {
				t.Errorf("leaving (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a limit that is forgotten since the entry of its target in the list has lapsed.
func TestRateLimitOutlastsLapse(t *testing.T) {
	limit := lease.RateLimit{Limited: true, PerSecond: 1}
	for _, lapsedFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("named after the lapse: ", lapsedFirst), func(t *testing.T) {
			f := noticeFacts(true, start)
			p := testPlacer(f)
			if lapsedFirst {
				p.Update(start, testFacts(usualEngine, 2, "a"))
			}
			p.RecordRateLimit(start, f.Targets[1], limit, start)
			if !lapsedFirst {
				p.Update(start, testFacts(usualEngine, 2, "a"))
			}
			p.Update(start.Add(time.Second), f)
			if diff := cmp.Diff(map[string]int{"a": 2}, offerMany(p, start.Add(time.Second), 4)); diff != "" {
				t.Errorf("placed without permits (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a notice that is forgotten while the target's entry in the list lacks its
// start time.
func TestNoticeHoldsWithoutStartTime(t *testing.T) {
	known, unknown := noticeFacts(false, start), noticeFacts(false, time.Time{})
	p := testPlacer(known)
	p.Update(start, unknown)
	p.RecordNotice(start, unknown.Targets[1], Notice{Leaving: true}, start)
	for _, f := range []*facts.Facts{unknown, known} {
		p.Update(start, f)
		if p.TakesRequests(start, f.Targets[1]) || !p.targets["b"].isLeaving() {
			t.Errorf("the target started at %s counts as one that does not leave", f.Targets[1].StartedAt)
		}
	}
}

// Guards against records of targets that have ended which grow without bound.
func TestNoticesOfEndedTargetsAreDropped(t *testing.T) {
	p := testPlacer(testFacts(nil, 2, "a"))
	p.RecordNotice(start, noticeFacts(false, start).Targets[1], Notice{Leaving: true}, start)
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{0, 2}, {noticeRetention, 2}, {noticeRetention + time.Second, 1}} {
		p.Update(start.Add(tc.after), testFacts(nil, 2, "a"))
		if diff := cmp.Diff(tc.want, len(p.notices)); diff != "" {
			t.Errorf("records after %s (-want +got):\n%s", tc.after, diff)
		}
	}
}

// Guards against a backoff that is cut short by a later, shorter one, or outlasts the longest.
func TestBackoffLastsUntilTheLatestEnd(t *testing.T) {
	f := testFacts(nil, 2, "a")
	p := testPlacer(f)
	p.RecordNotice(start, f.Targets[0], Notice{RetryAfter: 3 * time.Second}, start)
	p.RecordNotice(start.Add(time.Second), f.Targets[0], Notice{RetryAfter: time.Second}, start)
	var got []time.Duration
	for _, after := range []time.Duration{0, 2500 * time.Millisecond, 3 * time.Second} {
		if !p.TakesRequests(start.Add(after), f.Targets[0]) {
			got = append(got, after)
		}
	}
	if diff := cmp.Diff([]time.Duration{0, 2500 * time.Millisecond}, got); diff != "" {
		t.Errorf("backing off (-want +got):\n%s", diff)
	}
}

// Guards against a backoff that is forgotten since the list shows late that the target has started
// anew, and against one that the former run had asked for.
func TestBackoffFromNextRunIsKept(t *testing.T) {
	later := start.Add(time.Second)
	for _, tc := range []struct {
		name   string
		sentAt time.Time
		want   bool
	}{{"sent to the former run", start, false}, {"sent after the start of the next", later, true}} {
		t.Run(tc.name, func(t *testing.T) {
			f := noticeFacts(false, start)
			p := testPlacer(f)
			p.RecordNotice(later, f.Targets[1], Notice{RetryAfter: time.Minute}, tc.sentAt)
			p.Update(later, noticeFacts(false, later))
			if diff := cmp.Diff(tc.want, p.targets["b"].notice.backingOff(later)); diff != "" {
				t.Errorf("backing off (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against callers that wait for backoffs that are longer than they can wait, or are
// refused although one of them ends in time.
func TestRequestsWaitForShortBackoffsOnly(t *testing.T) {
	const short, long = 100 * time.Millisecond, 3 * time.Second
	limit := lease.RateLimit{Limited: true, PerSecond: 0.2}
	tests := []struct {
		name     string
		engine   bool
		backoffs map[string]time.Duration
		limited  string
		want     []string
		// retryAfter is that of a refused request.
		retryAfter time.Duration
	}{
		{"plain, both for long", false, map[string]time.Duration{"a": long, "b": 2 * long}, "", []string{"w refused targetsBackOff"}, maxRetryAfter},
		{"plain, one for a moment", false, map[string]time.Duration{"a": short, "b": long}, "", []string{"w placed a"}, 0},
		{"engines, both for long", true, map[string]time.Duration{"a": long, "b": 2 * long}, "", []string{"w refused targetsBackOff"}, maxRetryAfter},
		{"engines, both beyond the objective", true, map[string]time.Duration{"a": long / 6, "b": long}, "", []string{"w refused targetsBackOff"}, long / 6},
		{"engines, one without a permit for long", true, map[string]time.Duration{"a": long}, "b", []string{"w refused rateLimited"}, maxRetryAfter},
		{"engines, one without a permit, one for a moment", true, map[string]time.Duration{"a": short}, "b", []string{"w placed a"}, 0},
		{"engines, one for a moment", true, map[string]time.Duration{"a": short, "b": long}, "", []string{"w placed a"}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := noticeFacts(tc.engine, start)
			p := testPlacer(f)
			for i, listed := range f.Targets {
				p.RecordNotice(start, f.Targets[i], Notice{RetryAfter: tc.backoffs[listed.ID]}, start)
			}
			if tc.limited != "" {
				p.RecordRateLimit(start, p.targets[tc.limited].Target, limit, start)
				p.AddPermits(start, tc.limited, lease.Grant{NextAt: start.Add(long)})
			}
			w := testRequest("w")
			got := p.Offer(start, w)
			if len(got) == 0 {
				got = p.Tick(start.Add(short))
			}
			if diff := cmp.Diff(tc.want, decisions(got)); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.retryAfter, got[0].RetryAfter); diff != "" {
				t.Errorf("Retry-After (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests in the queue that are kept although the last target has asked for a
// backoff that is too long for them.
func TestQueueIsRefusedDuringBackoffFromAllTargets(t *testing.T) {
	f := testFacts(usualEngine, 1, "a")
	p := testPlacer(f)
	p.Offer(start, testRequest("first"))
	if got := p.Offer(start, testRequest("waits")); len(got) != 0 {
		t.Fatalf("got %v, want the request to wait", decisions(got))
	}
	p.RecordNotice(start, f.Targets[0], Notice{RetryAfter: 3 * time.Second}, start)
	got := p.Tick(start.Add(TickEvery))
	if diff := cmp.Diff([]string{"waits refused targetsBackOff"}, decisions(got)); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}
