//go:build !race

package proof

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/request/calls"
)

// tick is the unit of time of the model.
const tick = time.Second

// bounds limit how much of each kind of event an exploration covers.
type bounds struct {
	binding  calls.Binding
	endTime  int
	crashes  int
	posts    int
	attempts int
	queries  int
	limits   calls.Limits
	// postUntil is the last tick at which the caller may post again.
	postUntil int
	// postSpan, if set, is the longest time after its first post at which the caller
	// posts again.
	postSpan int
	// ownerChanges lets the owner of the key change from side 0 to side 1. maxLag is
	// the time within which all processes learn of the change, or unlimited.
	ownerChanges bool
	maxLag       int
	// startTime is the time at which the exploration starts. The sides have booted at
	// time 0.
	startTime int
}

// unlimited stands for no bound on a lag, and unset for a time that has not come yet.
const (
	unlimited = -1
	unset     = -1
)

// safeguard is a protection in the code that an exploration removes, described for
// the name of the test.
type safeguard string

const (
	noSafeguard     safeguard = ""
	queryMark       safeguard = "the mark on a query"
	queryAfterLoss  safeguard = "the query after a lost connection"
	recordBeforeRun safeguard = "the record made before a run"
	bootCheck       safeguard = "the check of the boot"
	readingAgeCheck safeguard = "the check of the reading's age"
	ticketAgeCheck  safeguard = "the check of the ticket's age"
	keyWindow       safeguard = "the key window after a boot"
	memberCheck     safeguard = "the check that both see the same members"
	queryWhenUnsent safeguard = "asking before a bound call is said not to have run"
)

// side is a side process. The calls that it has passed to its target are in
// modelState.executions, as the target survives a crash of its side.
type side struct {
	boot   int
	bootAt int
	// renewedAt is when the key window was last restarted. It is part of the state's
	// key because the ledger does not expose it.
	renewedAt int
	ledger    *calls.Ledger
	waiters   []waiter
}

// waiter is an entry's stream that waits for a call's answer at a side.
type waiter struct {
	entry int
	id    calls.ID
}

// execution is a call that was passed to the target and may run at any time. Settled
// is set once the side no longer waits for its answer.
type execution struct {
	side    int
	boot    int
	id      calls.ID
	settled bool
}

type messageKind string

const (
	kindStart   messageKind = "start"
	kindQuery   messageKind = "query"
	kindVerdict messageKind = "verdict"
	kindAnswer  messageKind = "answer"
	kindRefusal messageKind = "refusal"
)

// message is in flight on a connection. It may arrive at any later time or never.
// Abandoned is set once its entry has given up the connection: replies on it are not
// read. newOwnerKnown says whether the sender knew of the change of owner.
type message struct {
	kind          messageKind
	entry         int
	side          int
	abandoned     bool
	newOwnerKnown bool
	ticket        calls.Ticket
	echo          fresh.ClockReading
	state         calls.State
	outcome       calls.Outcome
}

// entry is an entry process. It handles at most one call at a time.
type entry struct {
	busy          bool
	attempt       calls.Attempt
	ticket        calls.Ticket
	side          int
	newOwnerKnown bool
	tries         int
	queries       int
}

// modelState is one state of the model: two sides, two entries, and one caller that
// wants one payment to run once.
type modelState struct {
	now     int
	crashes int
	posts   int
	lastID  int
	// firstPost and ownerChangedAt are times, or unset. learned says which processes
	// know of the change of owner.
	firstPost      int
	ownerChangedAt int
	learned        learned
	callerStopped  bool
	ticket         calls.Ticket
	sides          [2]side
	entries        [2]entry
	inFlight       []message
	executions     []execution
	runs           map[calls.ID]int
	settled        map[calls.ID]map[calls.Outcome]bool
}

// learned says which processes know of the change of owner.
type learned struct {
	entries [2]bool
	sides   [2]bool
}

func (l learned) all() bool { return l == learned{[2]bool{true, true}, [2]bool{true, true}} }

func newModelState(b bounds, r safeguard) *modelState {
	w := &modelState{now: b.startTime, firstPost: unset, ownerChangedAt: unset, runs: map[calls.ID]int{}, settled: map[calls.ID]map[calls.Outcome]bool{}}
	for i := range w.sides {
		w.sides[i].ledger = calls.NewLedger(bootName(i, 0), limitsOf(b, r))
	}
	w.ticket = calls.Ticket{
		CallID:  "ticket",
		Binding: b.binding,
		Service: "booking",
		Side:    "0",
		Issued:  w.reading(0),
	}
	return w
}

func limitsOf(b bounds, r safeguard) calls.Limits {
	l := b.limits
	if r == readingAgeCheck {
		l.MaxReadingAge = time.Hour
	}
	if r == keyWindow {
		l.KeyWindow = 0
	}
	return l
}

func bootName(i, n int) string { return fmt.Sprintf("s%d.%d", i, n) }

func (w *modelState) clock(i int) time.Duration {
	return time.Duration(w.now-w.sides[i].bootAt) * tick
}

func (w *modelState) reading(i int) fresh.ClockReading {
	return fresh.ClockReading{Boot: w.sides[i].ledger.Boot, At: w.clock(i)}
}

func (w *modelState) clone() *modelState {
	c := *w
	for i := range c.sides {
		c.sides[i].ledger = w.sides[i].ledger.Clone()
		c.sides[i].waiters = slices.Clone(w.sides[i].waiters)
	}
	c.inFlight = slices.Clone(w.inFlight)
	c.executions = slices.Clone(w.executions)
	c.runs = make(map[calls.ID]int, len(w.runs))
	for id, n := range w.runs {
		c.runs[id] = n
	}
	c.settled = make(map[calls.ID]map[calls.Outcome]bool, len(w.settled))
	for id, outs := range w.settled {
		c.settled[id] = make(map[calls.Outcome]bool, len(outs))
		for o := range outs {
			c.settled[id][o] = true
		}
	}
	return &c
}

// abandonConnection closes the connection of entry i: replies in flight on it are
// dropped, and replies to its messages will be.
func (w *modelState) abandonConnection(i int) {
	kept := w.inFlight[:0]
	for _, m := range w.inFlight {
		if m.entry == i && m.toEntry() {
			continue
		}
		m.abandoned = m.abandoned || m.entry == i
		kept = append(kept, m)
	}
	w.inFlight = kept
	for n := range w.sides {
		s := &w.sides[n]
		s.waiters = slices.DeleteFunc(s.waiters, func(j waiter) bool { return j.entry == i })
	}
}

func (m message) toEntry() bool { return m.kind != kindStart && m.kind != kindQuery }

// key identifies the state. The order of messages in flight does not matter, as any
// of them may arrive next.
func (w *modelState) key() string {
	k := newKeyBuilder()
	k.num(w.now, w.crashes, w.posts, w.lastID, w.firstPost, w.ownerChangedAt)
	k.flag(w.learned.entries[:]...)
	k.flag(w.learned.sides[:]...)
	k.flag(w.callerStopped)
	for _, id := range slices.Sorted(maps.Keys(w.runs)) {
		k.text(string(id))
		k.num(w.runs[id])
	}
	for _, id := range slices.Sorted(maps.Keys(w.settled)) {
		k.text(string(id))
		k.flag(w.settled[id][calls.OutcomeNotRun], w.settled[id][calls.OutcomeDone])
	}
	for i := range w.sides {
		w.sides[i].key(k)
	}
	for _, e := range w.entries {
		k.flag(e.busy, e.attempt.Bound)
		k.text(string(e.attempt.Phase))
		k.ticket(e.ticket)
		k.num(e.side, e.tries, e.queries)
		k.flag(e.newOwnerKnown)
	}
	k.unordered(len(w.inFlight), func(i int, k *keyBuilder) { w.inFlight[i].key(k) })
	k.unordered(len(w.executions), func(i int, k *keyBuilder) {
		e := w.executions[i]
		k.num(e.side, e.boot)
		k.text(string(e.id))
		k.flag(e.settled)
	})
	return string(k.b)
}

func (s *side) key(k *keyBuilder) {
	k.num(s.boot, s.bootAt, s.renewedAt)
	for _, r := range s.ledger.Records() {
		k.text(string(r.ID))
		k.text(string(r.Record.State))
		k.num(int(r.Record.At / tick))
	}
	k.unordered(len(s.waiters), func(i int, k *keyBuilder) {
		k.num(s.waiters[i].entry)
		k.text(string(s.waiters[i].id))
	})
}

func (m message) key(k *keyBuilder) {
	k.text(string(m.kind))
	k.num(m.entry, m.side)
	k.flag(m.abandoned, m.newOwnerKnown)
	k.ticket(m.ticket)
	k.reading(m.echo)
	k.text(string(m.state))
	k.text(string(m.outcome))
}

// check returns an error if a rule is broken: the payment runs at most once in total,
// a call that was reported as notRun never runs, and a call that was reported as done
// has run.
func (w *modelState) check() error {
	total := 0
	for id, n := range w.runs {
		total += n
		if n > 0 && w.settled[id][calls.OutcomeNotRun] {
			return errors.Newf("call %s was reported as notRun, but ran", id)
		}
	}
	if total > 1 {
		return errors.Newf("the payment ran %d times", total)
	}
	for id, outs := range w.settled {
		if outs[calls.OutcomeDone] && w.runs[id] == 0 {
			return errors.Newf("call %s was reported as done, but did not run", id)
		}
	}
	return nil
}
