package lease

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
)

func TestRateLimitCheck(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN()} {
		if (RateLimit{Limited: true, PerSecond: perSecond}).Check() == nil {
			t.Errorf("%g requests a second pass the check", perSecond)
		}
	}
	if err := (RateLimit{Limited: true}).Check(); err != nil {
		t.Error(err)
	}
}

// Guards against a side that grants more than the limit, or nothing at low limits.
func TestBucketFollowsTheLimit(t *testing.T) {
	const first = time.Hour
	tests := []struct {
		name string
		l    RateLimit
		// at is the time of each question since the first, for 10 permits.
		at   []time.Duration
		want []int
	}{
		{"no limit", RateLimit{}, []time.Duration{0, 0}, []int{10, 10}},
		{"nothing at first", RateLimit{true, 4}, []time.Duration{0, time.Second}, []int{0, 4}},
		{"a second's worth after a long pause", RateLimit{true, 4}, []time.Duration{0, time.Minute, time.Minute}, []int{0, 4, 0}},
		{"below one in a second", RateLimit{true, 0.5}, []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}, []int{0, 0, 1, 0}},
		{"none allowed: now and then one", RateLimit{true, 0}, []time.Duration{0, 9 * time.Second, 11 * time.Second}, []int{0, 0, 1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var b Bucket
			var got []int
			for _, at := range tc.at {
				got = append(got, b.Take(first+at, 10, tc.l))
			}
			if diff := gocmp.Diff(tc.want, got); diff != "" {
				t.Errorf("permits (-want +got):\n%s", diff)
			}
		})
	}
}

// The bound that a target with a limit relies on, for requests of entries that know it.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

func allowedInWindow(l RateLimit) int {
	return int(limitOvershoot*l.PerSecond*limitWindow.Seconds() + limitSlack)
}

// limitPolicy decides for one entry. arrive is called for each request that it has.
type limitPolicy func(m *model, l RateLimit, entries int) (arrive func(now time.Duration))

// byPermits asks a side, which starts again now and then. A request waits for its permit,
// but not for longer than modelPatience.
func byPermits(m *model, l RateLimit, _ int) func(now time.Duration) {
	held, asked := Permits{}, -time.Second
	var waiting []time.Duration
	send := func(now time.Duration) {
		waiting = slices.DeleteFunc(waiting, func(since time.Duration) bool { return now-since > modelPatience })
		for len(waiting) > 0 {
			if _, ok := held.Take(modelEpoch.Add(now)); !ok {
				return
			}
			waiting = waiting[1:]
			m.sent = append(m.sent, now)
		}
	}
	ask := func(now time.Duration) {
		if len(waiting) == 0 || now-asked < 100*time.Millisecond {
			return
		}
		asked = now
		want := min(len(waiting), 4)
		m.schedule(now+m.delay()/2, func(at time.Duration) {
			n := m.bucket.Take(at, want, l)
			m.schedule(at+m.delay()/2, func(got time.Duration) {
				held.Add(n, modelEpoch.Add(now+Lifetime))
				send(got)
			})
		})
	}
	return func(now time.Duration) {
		waiting = append(waiting, now)
		for retry := time.Duration(0); retry < modelPatience; retry += 100 * time.Millisecond {
			m.schedule(now+retry, func(at time.Duration) {
				send(at)
				ask(at)
			})
		}
	}
}

// modelPatience is for how long a request waits for a permit.
const modelPatience = 300 * time.Millisecond

// byPace keeps to an equal share.
func byPace(m *model, l RateLimit, entries int) func(now time.Duration) {
	var p Pacer
	return func(now time.Duration) {
		at := modelEpoch.Add(now)
		if p.Allows(at, l.Interval(entries), m.rand.Float64) {
			p.Use(at, l.Interval(entries))
			m.sent = append(m.sent, now)
		}
	}
}

// byOwnLimit has each entry use the whole limit.
func byOwnLimit(m *model, l RateLimit, _ int) func(now time.Duration) { return byPace(m, l, 1) }

// runLimited plays entries that know a limit, with the given number of requests a second
// together.
func runLimited(seed uint64, policy limitPolicy, l RateLimit, entries int, demand float64) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 3))}
	for at := time.Duration(0); at < modelTime; at += time.Second + time.Duration(m.rand.Int64N(int64(6*time.Second))) {
		m.schedule(at, func(time.Duration) { m.bucket = Bucket{} })
	}
	for range entries {
		arrive := policy(m, l, entries)
		var next func(now time.Duration)
		next = func(now time.Duration) {
			m.asked++
			arrive(now)
			m.schedule(now+time.Duration(m.rand.ExpFloat64()*float64(entries)/demand*float64(time.Second)), next)
		}
		m.schedule(time.Duration(m.rand.Int64N(int64(time.Second))), next)
	}
	m.run()
	return m
}

// Guards against entries that together exceed the limit that a target names.
func TestEntriesTogetherKeepTheNamedLimit(t *testing.T) {
	policies := []struct {
		name   string
		policy limitPolicy
		holds  bool
	}{
		{"permits", byPermits, true},
		{"paced shares", byPace, true},
		{"the whole limit each", byOwnLimit, false},
	}
	for _, p := range policies {
		broken, runs := 0, 0
		for _, entries := range []int{1, 3, 16, 300} {
			for _, perSecond := range []float64{0.5, 1, 1.6, 5, 20} {
				l := RateLimit{Limited: true, PerSecond: perSecond}
				sent := 0
				for seed := range uint64(10) {
					m := runLimited(seed, p.policy, l, entries, 8*perSecond)
					most := m.mostWithin(limitWindow)
					runs, sent = runs+1, sent+len(m.sent)
					if most <= allowedInWindow(l) {
						continue
					}
					broken++
					if p.holds {
						t.Errorf("%s, %d entries, limit %g, seed %d: %d requests in %s, %d allowed", p.name, entries, perSecond, seed, most, limitWindow, allowedInWindow(l))
					}
				}
				t.Logf("%s, %3d entries, limit %4g: %.2f of the limit used", p.name, entries, perSecond, float64(sent)/(10*perSecond*modelTime.Seconds()))
			}
		}
		t.Logf("%s: the bound was exceeded in %d of %d runs", p.name, broken, runs)
		if broken == 0 && !p.holds {
			t.Errorf("%s: the bound holds; the model is too weak to tell", p.name)
		}
	}
}

// mostWithin returns the highest number of requests in any span of the given length.
func (m *model) mostWithin(span time.Duration) int {
	slices.Sort(m.sent)
	most, first := 0, 0
	for i, at := range m.sent {
		for at-m.sent[first] >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
