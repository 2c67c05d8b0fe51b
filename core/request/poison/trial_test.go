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
	entries      int
	noStartTimes bool
	// restarts is set if entries restart now and then, and learn from another one what they
	// have lost.
	restarts bool
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
	ledgers []*Ledger
	targets [crashTargets]simulatedTarget
	notes   map[time.Duration]Note[Fingerprint]
	crashes []time.Duration
}

func (m crashModel) play(seed uint64) *crashRun {
	r := &crashRun{crashModel: m, rand: rand.New(rand.NewPCG(seed, 3)), notes: map[time.Duration]Note[Fingerprint]{}}
	for range m.entries {
		r.ledgers = append(r.ledgers, &Ledger{})
	}
	for range crashSteps {
		r.mergeNotes()
		if m.restarts && r.rand.IntN(restartOdds) == 0 {
			r.restartEntry(r.rand.IntN(m.entries))
		}
		r.send(r.ledgers[r.rand.IntN(m.entries)])
		r.now += crashStep
	}
	return r
}

func (r *crashRun) mergeNotes() {
	n, ok := r.notes[r.now]
	if !ok {
		return
	}
	for _, l := range r.ledgers {
		l.Merge(epoch.Add(r.now), n)
	}
}

func (r *crashRun) restartEntry(i int) {
	n, known := r.ledgers[(i+1)%r.entries].Note(epoch.Add(r.now), testKey(1), 1)
	r.ledgers[i] = &Ledger{}
	if known {
		r.ledgers[i].Merge(epoch.Add(r.now), n)
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
func (r *crashRun) send(l *Ledger) {
	i, ok := r.choose(l)
	if !ok || r.now < r.targets[i].upAt {
		return
	}
	now := epoch.Add(r.now)
	r.crashes = append(r.crashes, r.now)
	l.RecordFailure(now, now, testKey(1), r.startAt(i), 0)
	if n, ok := l.Note(now, testKey(1), 1); ok {
		r.notes[r.now+noteDelay] = n
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
			for _, restarts := range []bool{false, true} {
				m := crashModel{entries: entries, noStartTimes: noStartTimes, restarts: restarts}
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
