//go:build !race

package proof

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/conn/lease"
	"hawthornferry/core/request/calls"
)

// tick is the model's unit of time.
const tick = time.Second

// bounds are how much of each fault an exploration allows.
type bounds struct {
	binding  calls.Binding
	ticks    int
	crashes  int
	posts    int
	attempts int
	asks     int
	limits   calls.Limits
	// postUntil is the last tick at which the caller posts again.
	postUntil int
	// postSpan, when set, is for how long after its first post the caller
	// posts again.
	postSpan int
	// owner lets the owner of the key change from side 0 to side 1. lag is the
	// time within which all processes learn of it; noBound is no bound.
	owner bool
	lag   int
	// begin is the time at which the exploration begins; the sides were there
	// from time 0 on.
	begin int
}

// noBound and notYet stand for no bound on a lag and for a time that has not
// come.
const (
	noBound = -1
	notYet  = -1
)

// removed is a safeguard that a run leaves out.
type removed string

const (
	nothing   removed = ""
	theMark   removed = "the mark on a query"
	theQuery  removed = "the query after a lost connection"
	theRecord removed = "the record made before a run"
	theBoot   removed = "the check of the boot"
	theAge    removed = "the check of the reading's age"
	theExpiry removed = "the check of the ticket's age"
	theWindow removed = "the key window after a boot"
	theFellow removed = "the check that both see the same members"
	theBound  removed = "asking before a bound call is said not to have run"
)

// side is a side process and its target's queue is kept apart: the target
// outlives it.
type side struct {
	boot   int
	bootAt int
	// renewed is when the key window last began anew, which the ledger does
	// not show.
	renewed int
	ledger  *calls.Ledger
	joins   []join
}

// join is a stream that waits for a call's answer.
type join struct {
	entry int
	id    calls.ID
}

// exec is a call that was handed to the target and may run at any time.
// Settled is set when the side no longer waits for it.
type exec struct {
	side    int
	boot    int
	id      calls.ID
	settled bool
}

type kind string

const (
	kindStart   kind = "start"
	kindQuery   kind = "query"
	kindVerdict kind = "verdict"
	kindAnswer  kind = "answer"
	kindRefusal kind = "refusal"
)

// message is in flight on a connection. It may arrive at any later time, or
// never. Left is set when its entry has given up the connection: what comes
// back on it is not read.
type message struct {
	kind    kind
	entry   int
	side    int
	left    bool
	newView bool
	ticket  calls.Ticket
	echo    lease.Reading
	state   calls.State
	outcome calls.Outcome
}

// entry is an entry process with at most one call in hand.
type entry struct {
	busy    bool
	attempt calls.Attempt
	ticket  calls.Ticket
	side    int
	newView bool
	tries   int
	asks    int
}

// world is one state of the model: two sides, two entries, one caller that
// wants one payment to run once.
type world struct {
	now     int
	crashes int
	posts   int
	ids     int
	// firstPost and changed are times, or notYet. learned says which entries
	// and sides know of the change of owner.
	firstPost int
	changed   int
	learned   learned
	stopped   bool
	ticket    calls.Ticket
	sides     [2]side
	entries   [2]entry
	flying    []message
	execs     []exec
	ran       map[calls.ID]int
	settled   map[calls.ID]map[calls.Outcome]bool
}

// learned says which processes know of the change of owner.
type learned struct {
	entries [2]bool
	sides   [2]bool
}

func (l learned) all() bool { return l == learned{[2]bool{true, true}, [2]bool{true, true}} }

func newWorld(b bounds, r removed) *world {
	w := &world{now: b.begin, firstPost: notYet, changed: notYet, ran: map[calls.ID]int{}, settled: map[calls.ID]map[calls.Outcome]bool{}}
	for i := range w.sides {
		w.sides[i].ledger = calls.NewLedger(bootName(i, 0), limitsOf(b, r))
	}
	w.ticket = calls.Ticket{
		Call:    "ticket",
		Bind:    b.binding,
		Service: "booking",
		Side:    "0",
		Issued:  w.reading(0),
	}
	return w
}

func limitsOf(b bounds, r removed) calls.Limits {
	l := b.limits
	if r == theAge {
		l.MaxAge = time.Hour
	}
	if r == theWindow {
		l.KeyWindow = 0
	}
	return l
}

func bootName(i, n int) string { return fmt.Sprintf("s%d.%d", i, n) }

func (w *world) clock(i int) time.Duration {
	return time.Duration(w.now-w.sides[i].bootAt) * tick
}

func (w *world) reading(i int) lease.Reading {
	return lease.Reading{Boot: w.sides[i].ledger.Boot, At: w.clock(i)}
}

func (w *world) clone() *world {
	c := *w
	for i := range c.sides {
		c.sides[i].ledger = w.sides[i].ledger.Clone()
		c.sides[i].joins = slices.Clone(w.sides[i].joins)
	}
	c.flying = slices.Clone(w.flying)
	c.execs = slices.Clone(w.execs)
	c.ran = make(map[calls.ID]int, len(w.ran))
	for id, n := range w.ran {
		c.ran[id] = n
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

// leave drops what would come back to entry i on the connection that it
// gives up.
func (w *world) leave(i int) {
	kept := w.flying[:0]
	for _, m := range w.flying {
		if m.entry == i && m.toEntry() {
			continue
		}
		m.left = m.left || m.entry == i
		kept = append(kept, m)
	}
	w.flying = kept
	for n := range w.sides {
		s := &w.sides[n]
		s.joins = slices.DeleteFunc(s.joins, func(j join) bool { return j.entry == i })
	}
}

func (m message) toEntry() bool { return m.kind != kindStart && m.kind != kindQuery }

// key names the state. The order of messages in flight does not matter,
// since any of them may be the next to arrive.
func (w *world) key() string {
	k := newKeyer()
	k.num(w.now, w.crashes, w.posts, w.ids, w.firstPost, w.changed)
	k.flag(w.learned.entries[:]...)
	k.flag(w.learned.sides[:]...)
	k.flag(w.stopped)
	for _, id := range slices.Sorted(maps.Keys(w.ran)) {
		k.text(string(id))
		k.num(w.ran[id])
	}
	for _, id := range slices.Sorted(maps.Keys(w.settled)) {
		k.text(string(id))
		k.flag(w.settled[id][calls.NotRun], w.settled[id][calls.Done])
	}
	for i := range w.sides {
		w.sides[i].key(k)
	}
	for _, e := range w.entries {
		k.flag(e.busy, e.attempt.Bound)
		k.text(string(e.attempt.Phase))
		k.ticket(e.ticket)
		k.num(e.side, e.tries, e.asks)
		k.flag(e.newView)
	}
	k.set(len(w.flying), func(i int, k *keyer) { w.flying[i].key(k) })
	k.set(len(w.execs), func(i int, k *keyer) {
		e := w.execs[i]
		k.num(e.side, e.boot)
		k.text(string(e.id))
		k.flag(e.settled)
	})
	return string(k.b)
}

func (s *side) key(k *keyer) {
	k.num(s.boot, s.bootAt, s.renewed)
	for _, r := range s.ledger.Records() {
		k.text(string(r.ID))
		k.text(string(r.Record.State))
		k.num(int(r.Record.At / tick))
	}
	k.set(len(s.joins), func(i int, k *keyer) {
		k.num(s.joins[i].entry)
		k.text(string(s.joins[i].id))
	})
}

func (m message) key(k *keyer) {
	k.text(string(m.kind))
	k.num(m.entry, m.side)
	k.flag(m.left, m.newView)
	k.ticket(m.ticket)
	k.reading(m.echo)
	k.text(string(m.state))
	k.text(string(m.outcome))
}

// check is the rule: the payment runs at most once in all, a call said not
// to have run has not and never will, and one said to be done has run.
func (w *world) check() error {
	total := 0
	for id, n := range w.ran {
		total += n
		if n > 0 && w.settled[id][calls.NotRun] {
			return errors.Newf("call %s was said not to have run, and ran", id)
		}
	}
	if total > 1 {
		return errors.Newf("the payment ran %d times", total)
	}
	for id, outs := range w.settled {
		if outs[calls.Done] && w.ran[id] == 0 {
			return errors.Newf("call %s was said to be done, and did not run", id)
		}
	}
	return nil
}
