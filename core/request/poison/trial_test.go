package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against refusing requests that many callers repeat, after all targets have dropped
// their connections for a while and gone on.
func TestAlikeRequestsAreAcceptedAsSoonAsTargetsAnswer(t *testing.T) {
	const delay = time.Second
	for _, outage := range []time.Duration{time.Second, 2500 * time.Millisecond, 6 * time.Second} {
		for _, noStartTimes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, no start times %v", outage, noStartTimes), func(t *testing.T) {
				c := workload{
					targets: 6, short: 5 * time.Millisecond, long: 100 * time.Millisecond, rate: 60, hot: 1,
					outageStart: 10 * time.Second, outageDuration: outage, noStartTimes: noStartTimes,
				}
				for seed := range uint64(10) {
					if r := c.run(seed); r.lastLost > c.outageStart+outage+delay {
						t.Errorf("seed %d: last caller refused for good at %s, want at most %s after the outage", seed, r.lastLost, delay)
					}
				}
			})
		}
	}
}

// Only a start at which the request broke off a moment ago may get a trial, now and then.
func TestTrial(t *testing.T) {
	failures := func(l *Ledger) {
		for i, name := range []string{"a", "b", "c"} {
			at := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			l.RecordFailure(at, at, testKey(1), newStart(name), 0)
		}
	}
	const lastFailure = 200 * time.Millisecond
	tests := []struct {
		name   string
		trials []time.Duration
		// want are the names of the starts of the last trial.
		want []string
	}{
		{"just after the failures", []time.Duration{lastFailure}, []string{"a"}},
		{"a moment later", []time.Duration{lastFailure + survivalDelay}, []string{"a", "b", "c"}},
		{"when the first may have restarted", []time.Duration{maxTrialAge}, []string{"b", "c"}},
		{"when all may have restarted", []time.Duration{lastFailure + maxTrialAge}, nil},
		{"too soon after another", []time.Duration{400 * time.Millisecond, 400*time.Millisecond + trialInterval - 1}, nil},
		{"after another", []time.Duration{400 * time.Millisecond, 400*time.Millisecond + trialInterval}, []string{"a", "b", "c"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			failures(&l)
			var got []string
			for _, at := range tc.trials {
				got = nil
				for _, s := range l.Trial(epoch.Add(at), testKey(1)).Starts {
					got = append(got, s.Target)
				}
			}
			slices.Sort(got)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("targets of the last trial (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against trials at targets that have restarted, because the failure was read late or
// reported late by another process.
func TestLateFailureAllowsNoTrial(t *testing.T) {
	const late = 2 * time.Second
	tests := []struct {
		name   string
		record func(l *Ledger, at time.Time, start Incarnation)
		want   int
	}{
		{"in time", func(l *Ledger, at time.Time, start Incarnation) { l.RecordFailure(at, at, testKey(1), start, 0) }, 3},
		{"read late", func(l *Ledger, at time.Time, start Incarnation) {
			l.RecordFailure(at, at.Add(-late), testKey(1), start, 0)
		}, 0},
		{"reported by another process", func(l *Ledger, at time.Time, start Incarnation) {
			l.Merge(at, Note[Fingerprint]{Subject: testKey(1), Failures: []Failure{{Incarnation: start}}})
		}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			for _, name := range []string{"a", "b", "c"} {
				tc.record(&l, epoch, newStart(name))
			}
			if diff := cmp.Diff(tc.want, len(l.Trial(epoch.Add(survivalDelay), testKey(1)).Starts)); diff != "" {
				t.Errorf("target starts of the trial (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against trials that go on crashing targets which restart before they may.
func TestTrialsAreBounded(t *testing.T) {
	var l Ledger
	trials := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		now := epoch.Add(at)
		if _, blocked := l.Blocked(now, testKey(1)); !blocked {
			l.RecordFailure(now, now, testKey(1), newStart(fmt.Sprint(at)), 0)
			continue
		}
		for _, s := range l.Trial(now, testKey(1)).Starts {
			trials++
			l.RecordFailure(now, now, testKey(1), s, 0)
			break
		}
	}
	if diff := cmp.Diff(maxTrials, trials); diff != "" {
		t.Errorf("trials (-want +got):\n%s", diff)
	}
}

// crashModel is a service whose targets crash under one request that callers repeat at all
// entries.
type crashModel struct {
	entryCount   int
	noStartTimes bool
	// restarts is set if entries restart now and then, and learn from another one what they
	// have lost.
	restarts bool
	// freezes is set if entries freeze now and then, and read a failure only afterwards.
	freezes bool
}

const (
	crashStep    = 10 * time.Millisecond
	crashSteps   = int(time.Minute / crashStep)
	crashTargets = 6
	// noteDelay is how long a note takes from one entry to all others.
	noteDelay = 100 * time.Millisecond
	// Targets that crash are back after minRestartTime to maxRestartTime.
	maxRestartTime = 8 * time.Second
	// restartOdds is the number of steps in which, on average, one entry restarts.
	restartOdds = 200
	// In one of freezeOdds crashes, the entry freezes for maxFreeze at the longest.
	freezeOdds = 4
	maxFreeze  = 3 * time.Second
)

// The bound on the runs of a request that crashes targets: no more than maxLateRuns later than
// crashNotice after the third crash.
const (
	crashNotice = 3 * time.Second
	maxLateRuns = 3
)

// crashRun is one run of a crashModel.
type crashRun struct {
	crashModel
	rand    *rand.Rand
	now     time.Duration
	entries []crashEntry
	targets [crashTargets]simulatedTarget
	notes   map[time.Duration]Note[Fingerprint]
	crashes []time.Duration
}

// crashEntry is one entry of a crashModel. While it is frozen, unread is the failure that it has
// not read yet.
type crashEntry struct {
	ledger      *Ledger
	frozenUntil time.Duration
	unread      *crashFailure
}

type crashFailure struct {
	at    Incarnation
	since time.Duration
}

func (m crashModel) play(seed uint64) *crashRun {
	r := &crashRun{crashModel: m, rand: rand.New(rand.NewPCG(seed, 3)), notes: map[time.Duration]Note[Fingerprint]{}}
	for range m.entryCount {
		r.entries = append(r.entries, crashEntry{ledger: &Ledger{}})
	}
	for range crashSteps {
		r.mergeNotes()
		r.readFailures()
		if m.restarts && r.rand.IntN(restartOdds) == 0 {
			r.restartEntry(r.rand.IntN(m.entryCount))
		}
		if e := &r.entries[r.rand.IntN(m.entryCount)]; r.now >= e.frozenUntil {
			r.send(e)
		}
		r.now += crashStep
	}
	return r
}

func (r *crashRun) mergeNotes() {
	n, ok := r.notes[r.now]
	if !ok {
		return
	}
	for _, e := range r.entries {
		e.ledger.Merge(epoch.Add(r.now), n)
	}
}

// readFailures lets entries read failures that they have not read yet, unless they are frozen.
func (r *crashRun) readFailures() {
	now := epoch.Add(r.now)
	for i := range r.entries {
		e := &r.entries[i]
		if e.unread == nil || r.now < e.frozenUntil {
			continue
		}
		e.ledger.RecordFailure(now, epoch.Add(e.unread.since), testKey(1), e.unread.at, 0)
		e.unread = nil
		if n, ok := e.ledger.Note(now, testKey(1), 1); ok {
			r.notes[r.now+noteDelay] = n
		}
	}
}

func (r *crashRun) restartEntry(i int) {
	n, known := r.entries[(i+1)%len(r.entries)].ledger.Note(epoch.Add(r.now), testKey(1), 1)
	r.entries[i] = crashEntry{ledger: &Ledger{}}
	if known {
		r.entries[i].ledger.Merge(epoch.Add(r.now), n)
	}
}

func (r *crashRun) startAt(target int) Incarnation {
	if r.noStartTimes {
		return Incarnation{Target: fmt.Sprint(target)}
	}
	return NewIncarnation(fmt.Sprint(target), epoch.Add(r.targets[target].born))
}

// choose returns the target that gets the request from an entry, or false if there is none.
func (r *crashRun) choose(l *Ledger) (target int, ok bool) {
	now := epoch.Add(r.now)
	if _, blocked := l.Blocked(now, testKey(1)); !blocked {
		return r.rand.IntN(crashTargets), true
	}
	trial := l.Trial(now, testKey(1)).Starts
	for i := range r.targets {
		if slices.Contains(trial, r.startAt(i)) {
			return i, true
		}
	}
	return 0, false
}

// send sends the request from an entry. The target that gets it crashes if it is up.
func (r *crashRun) send(e *crashEntry) {
	i, ok := r.choose(e.ledger)
	if !ok || r.now < r.targets[i].upAt {
		return
	}
	r.crashes = append(r.crashes, r.now)
	e.unread = &crashFailure{at: r.startAt(i), since: r.now}
	if r.freezes && r.rand.IntN(freezeOdds) == 0 {
		e.frozenUntil = r.now + time.Duration(r.rand.Int64N(int64(maxFreeze)))
	}
	back := r.now + minRestartTime + time.Duration(r.rand.Int64N(int64(maxRestartTime-minRestartTime)))
	r.targets[i] = simulatedTarget{born: back, upAt: back}
}

// lateRuns counts the crashes later than crashNotice after the third.
func (r *crashRun) lateRuns() int {
	late := 0
	for _, at := range r.crashes {
		if at > r.crashes[2]+crashNotice {
			late++
		}
	}
	return late
}

// Guards against trials that reach targets which have crashed and restarted.
func TestTrialsReachNoTargetThatCrashed(t *testing.T) {
	for _, entries := range []int{2, 60} {
		for _, noStartTimes := range []bool{false, true} {
			for _, troubled := range []bool{false, true} {
				m := crashModel{entryCount: entries, noStartTimes: noStartTimes, restarts: troubled, freezes: troubled}
				t.Run(fmt.Sprintf("%+v", m), func(t *testing.T) {
					most := 0
					for seed := range uint64(20) {
						r := m.play(seed)
						most = max(most, len(r.crashes))
						if late := r.lateRuns(); late > maxLateRuns {
							t.Errorf("seed %d: %d runs later than %v after the third crash, %d in all, want at most %d", seed, late, crashNotice, len(r.crashes), maxLateRuns)
						}
					}
					t.Logf("at most %d crashes", most)
				})
			}
		}
	}
}
