package poison

import (
	"slices"
	"time"

	"hawthornferry/core/process/aged"
)

// When a request is taken for one that crashes its targets.
const (
	// suspectAt and blockAt are at how many starts of targets attempts must have
	// broken off. A crash breaks off all that is under way at its target; that it
	// happens to the same request three times, and it ends well nowhere in between,
	// is rare for the others.
	suspectAt = 2
	blockAt   = 3
	// blockFor is how long after its last strike a request is refused. Then it is
	// let through again, and one more strike blocks it anew.
	blockFor = 10 * time.Minute
)

// What tells a target that ran on from one that crashed.
const (
	// surviveAfter is how long after a strike an answer must end for its target to
	// have run on, and readLate the same for one that was asked for before the strike:
	// what a target sent before it crashed may be read later, by a slow process or over
	// a link that loses packets.
	surviveAfter = 200 * time.Millisecond
	readLate     = 2 * time.Second
	// restartLeast is less than a target takes to start anew. What begins later may
	// run at its successor, which may have its name.
	restartLeast = time.Second
	// listedAfter is how long after a strike a target that crashed is not listed any more
	// as it was: it has missed its heartbeats, or has started anew.
	listedAfter = 15 * time.Second
	// confirmAfter is how long after an answer a target that had started anew before it
	// is listed as what it is now.
	confirmAfter = 3 * time.Second
	// undecidedFor is how long after a strike its target may still turn out to have run
	// on. Until then callers are told to come back after it, not after blockFor.
	undecidedFor = surviveAfter + restartLeast
	// ranOn is how long an answer must have gone on for its request not to have crashed
	// its target as it began: it broke off under another one's crash.
	ranOn = time.Second
	// sameStrike is how far apart the times may be at which processes take one
	// strike to have been, after ages and messages on their way.
	sameStrike = time.Second
)

// Bounds of a ledger. A strike is forgotten after remember unless its request comes
// again; one at a start matters there for as long as an answer may last.
const (
	maxRequests = 4096
	maxStarts   = 512
	maxStrikes  = 8
	// maxTogether is how many requests are noted of those that broke off at one start.
	maxTogether = 256
	remember    = time.Hour
	longAnswer  = time.Minute
)

// Start names one start of a target. Born is in Unix milliseconds, zero when the
// target does not say.
type Start struct {
	Target string `msgpack:"target"`
	Born   int64  `msgpack:"born"`
}

// StartOf returns the start of the target that was born then.
func StartOf(target string, born time.Time) Start {
	if born.IsZero() {
		return Start{Target: target}
	}
	return Start{Target: target, Born: born.UnixMilli()}
}

// State is what a request is taken for.
type State string

// The states of a request.
const (
	StateClear     State = "cleared"
	StateSuspected State = "suspected"
	StateBlocked   State = "blocked"
)

// strike is an attempt that broke off while its target may have run the request.
type strike struct {
	at time.Time
	// answered is when the target, or one started anew in its place, first answered
	// after that, zero if not.
	answered time.Time
	// survived is set when the target has run on, so that it did not crash.
	survived bool
}

// vouchAfter is how long after the strike an answer that was asked for at began must end
// to show that the target has run on.
func (s strike) vouchAfter(began time.Time) time.Duration {
	if began.After(s.at) {
		return surviveAfter
	}
	return readLate
}

// settled reports whether a target that is still listed as it was has not crashed.
func (s strike) settled(now time.Time) bool {
	return now.Sub(s.at) >= listedAfter || !s.answered.IsZero() && now.Sub(s.answered) >= confirmAfter
}

// record is what is known of one request.
type record struct {
	strikes map[Start]strike
	// cleared is when the request last ended well, zero if never.
	cleared time.Time
}

// standing returns how many starts the request may have crashed, and when the last
// one was. A request that crashes its targets crashes all of them, so that one good
// end clears it of what was before.
func (r *record) standing() (n int, last time.Time) {
	for _, s := range r.strikes {
		if s.survived || !s.at.After(r.cleared) {
			continue
		}
		n++
		if s.at.After(last) {
			last = s.at
		}
	}
	return n, last
}

// put sets the strike at a start; the oldest gives way.
func (r *record) put(at Start, s strike) {
	if _, known := r.strikes[at]; !known && len(r.strikes) >= maxStrikes {
		delete(r.strikes, r.oldest())
	}
	r.strikes[at] = s
}

// oldest returns the start with the oldest strike.
func (r *record) oldest() Start {
	var oldest Start
	var since time.Time
	for at, s := range r.strikes {
		if since.IsZero() || s.at.Before(since) {
			oldest, since = at, s.at
		}
	}
	return oldest
}

// Ledger holds at which starts of targets requests broke off. The zero value is
// ready. It is not safe for concurrent use.
type Ledger struct {
	requests aged.Table[Key, *record]
	// starts holds the requests that broke off at a start lately.
	starts aged.Table[Start, []Key]
}

func (l *Ledger) init() {
	l.requests.Max, l.requests.Age = maxRequests, remember
	l.starts.Max, l.starts.Age = maxStarts, longAnswer
}

// Len returns how many requests are known.
func (l *Ledger) Len() int { return l.requests.Len() }

// record returns what is known of a request, nil if nothing.
func (l *Ledger) record(now time.Time, k Key) *record {
	l.init()
	r, _ := l.requests.Get(now, k)
	return r
}

// Strike notes that an attempt broke off at a start of a target whose answer had gone
// on for ran, and reports whether that counts.
func (l *Ledger) Strike(now time.Time, k Key, at Start, ran time.Duration) bool {
	if ran >= ranOn {
		return false
	}
	r := l.record(now, k)
	if r == nil {
		r = &record{strikes: map[Start]strike{}}
	}
	l.note(now, k, r, at, strike{at: now})
	return true
}

func (l *Ledger) note(now time.Time, k Key, r *record, at Start, s strike) {
	r.put(at, s)
	l.requests.Put(now, k, r)
	together, _ := l.starts.Get(now, at)
	if !slices.Contains(together, k) && len(together) < maxTogether {
		l.starts.Put(now, at, append(together, k))
	}
}

// Succeeded notes that a request ended well, and reports whether that is news.
func (l *Ledger) Succeeded(now time.Time, k Key) bool {
	r := l.record(now, k)
	if r == nil {
		return false
	}
	if n, _ := r.standing(); n == 0 {
		return false
	}
	r.cleared = now
	l.requests.Put(now, k, r)
	return true
}

// Struck returns the requests that broke off at a start of a target lately.
func (l *Ledger) Struck(now time.Time, at Start) []Key {
	l.init()
	together, _ := l.starts.Get(now, at)
	return together
}

// Answered notes that a start of a target has answered a request that was sent to it
// at began, and returns those whose strikes there it has survived.
func (l *Ledger) Answered(now, began time.Time, at Start) []Key {
	var out []Key
	for _, k := range l.Struck(now, at) {
		r := l.record(now, k)
		if r == nil {
			continue
		}
		s, struck := r.strikes[at]
		if !struck || s.survived || now.Sub(s.at) < s.vouchAfter(began) {
			continue
		}
		if s.answered.IsZero() {
			s.answered = now
		}
		if began.Sub(s.at) < restartLeast {
			s.survived = true
			out = append(out, k)
		}
		r.strikes[at] = s
	}
	return out
}

// Listed takes which starts of targets are listed by a belief that is not old, and
// reports whether any of them has survived a strike of the request. A start whose target
// does not say when it was born may be a later one.
func (l *Ledger) Listed(now time.Time, k Key, starts map[Start]bool) bool {
	r := l.record(now, k)
	if r == nil {
		return false
	}
	news := false
	for at, s := range r.strikes {
		if s.survived || at.Born == 0 || !starts[at] || !s.settled(now) {
			continue
		}
		s.survived = true
		r.strikes[at] = s
		news = true
	}
	return news
}

// State returns what a request is taken for.
func (l *Ledger) State(now time.Time, k Key) State {
	r := l.record(now, k)
	if r == nil {
		return StateClear
	}
	n, _ := r.standing()
	switch {
	case n >= blockAt:
		return StateBlocked
	case n >= suspectAt:
		return StateSuspected
	default:
		return StateClear
	}
}

// Blocked reports whether a request is refused, and after what time its caller may
// come back. One that is asked for stays known.
func (l *Ledger) Blocked(now time.Time, k Key) (time.Duration, bool) {
	r := l.record(now, k)
	if r == nil {
		return 0, false
	}
	l.requests.Put(now, k, r)
	n, last := r.standing()
	since := now.Sub(last)
	switch {
	case n < blockAt || since >= blockFor:
		return 0, false
	case since < undecidedFor:
		return undecidedFor - since, true
	default:
		return blockFor - since, true
	}
}
