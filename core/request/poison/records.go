package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornferry/core/process/ttlmap"
)

// failure is an attempt that broke off while its target may have been running the
// request.
type failure struct {
	// start is the target start at which the attempt broke off.
	start Incarnation
	// sentAt is when the attempt was sent, and at when it broke off.
	sentAt time.Time
	at     time.Time
	// firstAnswer is when the target, or a successor with its name, first answered
	// after the failure, or zero if it has not.
	firstAnswer time.Time
	// survived is set once the target is known not to have crashed.
	survived bool
	// seenHere is set if the attempt was this process's own. It is unknown how long a note of
	// another process was on its way, so that its times may be too late.
	seenHere bool
}

// unexplained reports whether the subject may have caused the failure: its target has not
// survived, and no request with the subject has succeeded since.
func (f failure) unexplained(lastSuccess time.Time) bool {
	return !f.survived && f.at.After(lastSuccess)
}

// survivalDelayFor returns how long after the failure an answer must complete to
// prove that the target survived. sentAt is when the request of the answer was sent.
func (f failure) survivalDelayFor(sentAt time.Time) time.Duration {
	if sentAt.After(f.at) {
		return survivalDelay
	}
	return lateReadDelay
}

// listingProvesSurvival reports whether the listing is recent enough for the start to
// have survived if it is still listed.
func (f failure) listingProvesSurvival(now time.Time) bool {
	return now.Sub(f.at) >= crashListingTimeout || !f.firstAnswer.IsZero() && now.Sub(f.firstAnswer) >= restartListingDelay
}

// record is what is known of one subject.
type record struct {
	failures map[Incarnation]failure
	// lastSuccess is when the request last completed successfully, or zero if never.
	lastSuccess time.Time
	// trials is the number of trials since then, and lastTrial the time of the last one.
	trials    int
	lastTrial time.Time
}

// suspectedCrashes returns how many target starts the request may have crashed one
// after the other, and the time of the last failure among them. An attempt that was
// under way when another one broke off doesn't count beside it: when targets crash
// together for another reason, all attempts at them break off at the same time.
func (r *record) suspectedCrashes() (n int, last time.Time) {
	for _, f := range r.unexplainedFailures() {
		if n > 0 && f.sentAt.Before(last) {
			continue
		}
		n++
		last = f.at
	}
	return n, last
}

// unexplainedFailures returns the failures that the request may have caused, sorted by
// time. Failures before the last success are not among them: a poison request crashes
// every target, so a success shows that the earlier failures had another cause.
func (r *record) unexplainedFailures() []failure {
	var out []failure
	for _, f := range r.failures {
		if f.unexplained(r.lastSuccess) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, compareFailures)
	return out
}

// setFailure sets the failure at a target start. If that is one too many, it drops the one
// that is least informative, and returns false if that is the new one.
func (r *record) setFailure(at Incarnation, f failure) bool {
	r.failures[at] = f
	if len(r.failures) <= maxFailures {
		return true
	}
	dropped := r.leastInformative()
	delete(r.failures, dropped)
	return dropped != at
}

// leastInformative returns the target start with the oldest failure of those that change nothing:
// its attempt was under way when another one broke off, at about the same time. If there is
// none, it returns the one with the oldest failure.
func (r *record) leastInformative() Incarnation {
	failures := slices.SortedFunc(maps.Values(r.failures), compareFailures)
	for i := 1; i < len(failures); i++ {
		if f, before := failures[i], failures[i-1]; f.sentAt.Before(before.at) && f.at.Sub(before.at) <= momentDuration {
			return f.start
		}
	}
	return failures[0].start
}

// compareFailures orders failures by time.
func compareFailures(a, b failure) int {
	return cmp.Or(a.at.Compare(b.at), a.sentAt.Compare(b.sentAt))
}

// records holds at which target starts attempts broke off, by what the attempts have in
// common: the request or a part of the prompt, called the subject. The zero value is
// ready to use. It isn't safe for concurrent use.
type records[K comparable] struct {
	// startTTL is how long it is known which subjects failed at a target start,
	// maxAnswerTime if it is zero.
	startTTL time.Duration
	// once holds the records with one failure, and repeated those with more. A crash adds many
	// with one, which must not displace those of subjects that crash target after target.
	once, repeated ttlmap.Map[K, *record]
	// byStart holds the subjects whose attempts recently broke off at each target start.
	byStart ttlmap.Map[Incarnation, []K]
}

func (l *records[K]) init() {
	l.once.MaxEntries, l.once.TTL = maxOnce, recordMaxAge
	l.repeated.MaxEntries, l.repeated.TTL = maxRepeated, recordMaxAge
	l.byStart.MaxEntries, l.byStart.TTL = maxStarts, cmp.Or(l.startTTL, maxAnswerTime)
}

// Len returns the number of known subjects.
func (l *records[K]) Len() int { return l.once.Len() + l.repeated.Len() }

// record returns the record of a subject, or nil if there is none.
func (l *records[K]) record(now time.Time, k K) *record {
	l.init()
	if r, ok := l.repeated.Get(now, k); ok {
		return r
	}
	r, _ := l.once.Get(now, k)
	return r
}

// put stores or renews the record of a subject.
func (l *records[K]) put(now time.Time, k K, r *record) {
	if len(r.failures) <= 1 {
		l.once.Put(now, k, r)
		return
	}
	l.once.Delete(k)
	l.repeated.Put(now, k, r)
}

// recordFailure records that an attempt sent at sentAt broke off at a target start.
func (l *records[K]) recordFailure(now, sentAt time.Time, k K, at Incarnation) {
	r := l.record(now, k)
	if r == nil {
		r = &record{failures: map[Incarnation]failure{}}
	}
	if known, ok := r.failures[at]; ok && now.Sub(known.at) <= sameFailureWindow && known.sentAt.After(sentAt) {
		// Of several attempts at a target that crashed, any may be the cause.
		sentAt = known.sentAt
	}
	l.addFailure(now, k, r, at, failure{start: at, sentAt: sentAt, at: now, seenHere: true})
}

// addFailure stores a failure in the subject's record and the subject among those
// whose attempts broke off at the start. It returns false if the record is full of
// failures that say more.
func (l *records[K]) addFailure(now time.Time, k K, r *record, at Incarnation, f failure) bool {
	stored := r.setFailure(at, f)
	l.put(now, k, r)
	if !stored {
		return false
	}
	subjects, _ := l.byStart.Get(now, at)
	if !slices.Contains(subjects, k) && len(subjects) < maxSubjectsPerStart {
		l.byStart.Put(now, at, append(subjects, k))
	}
	return true
}

// RecordSuccess records that a request completed successfully, and reports whether
// that clears its subject of failures.
func (l *records[K]) RecordSuccess(now time.Time, k K) bool {
	r := l.record(now, k)
	if r == nil {
		return false
	}
	if n, _ := r.suspectedCrashes(); n == 0 {
		return false
	}
	r.lastSuccess, r.trials = now, 0
	l.put(now, k, r)
	return true
}

// FailedAt returns the subjects whose attempts recently broke off at a target start.
func (l *records[K]) FailedAt(now time.Time, at Incarnation) []K {
	l.init()
	subjects, _ := l.byStart.Get(now, at)
	return subjects
}

// RecordAnswer records that a target start has answered a request that was sent to it
// at sentAt. It returns the subjects whose failures at that start the target is now
// known to have survived.
func (l *records[K]) RecordAnswer(now, sentAt time.Time, at Incarnation) []K {
	var out []K
	for _, k := range l.FailedAt(now, at) {
		r := l.record(now, k)
		if r == nil {
			continue
		}
		f, known := r.failures[at]
		if !known || f.survived || now.Sub(f.at) < f.survivalDelayFor(sentAt) {
			continue
		}
		if f.firstAnswer.IsZero() {
			f.firstAnswer = now
		}
		if sentAt.Sub(f.at) < minRestartTime {
			f.survived = true
			out = append(out, k)
		}
		r.failures[at] = f
	}
	return out
}

// RecordListing applies a current listing, the target starts in the platform's list,
// and reports whether it shows that any of them has survived a failure of the
// subject. A start without a start time proves nothing, as the target may have
// restarted.
func (l *records[K]) RecordListing(now time.Time, k K, starts map[Incarnation]bool) bool {
	r := l.record(now, k)
	if r == nil {
		return false
	}
	changed := false
	for at, f := range r.failures {
		if f.survived || at.StartedAtMillis == 0 || !starts[at] || !f.listingProvesSurvival(now) {
			continue
		}
		f.survived = true
		r.failures[at] = f
		changed = true
	}
	return changed
}

// Subjects returns the known subjects.
func (l *records[K]) Subjects(now time.Time) []K {
	l.init()
	var out []K
	for k := range l.repeated.All(now) {
		out = append(out, k)
	}
	for k := range l.once.All(now) {
		out = append(out, k)
	}
	return out
}
