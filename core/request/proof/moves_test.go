//go:build !race

package proof

import (
	"fmt"
	"slices"

	"hawthornferry/core/conn/lease"
	"hawthornferry/core/process/explor"
	"hawthornferry/core/request/calls"
)

// explorer explores the once-call with one safeguard removed.
type explorer struct {
	bounds  bounds
	removed removed
}

type move = explor.Move[*world]

func (x explorer) run() explor.Result {
	return explor.Explore(explor.Model[*world]{
		Initial: newWorld(x.bounds, x.removed),
		Moves:   x.moves,
		Key:     (*world).key,
		Check:   (*world).check,
		Max:     1 << 21,
	})
}

// moves returns all that may happen next. Loss needs no move: a message may
// stay in flight for good. Nor does a pause: a process that makes none of its
// moves is paused.
func (x explorer) moves(w *world) []move {
	var out []move
	add := func(name string, change func(*world)) {
		c := w.clone()
		change(c)
		out = append(out, move{Name: name, Next: c})
	}
	if w.now < x.bounds.ticks && !x.mustLearn(w) {
		add("time passes", func(c *world) { c.now++ })
	}
	for i := range w.sides {
		if w.crashes < x.bounds.crashes && x.used(i) {
			add(fmt.Sprintf("side %d crashes and restarts", i), func(c *world) { x.crash(c, i) })
		}
	}
	for i := range w.flying {
		add("arrives: "+w.flying[i].String(), func(c *world) { x.arrive(c, i) })
	}
	for i, e := range w.execs {
		add(fmt.Sprintf("target %d runs %s", e.side, e.id), func(c *world) { x.execute(c, i) })
		if !e.settled {
			add(fmt.Sprintf("side %d loses its target with %s", e.side, e.id), func(c *world) { x.lose(c, i) })
		}
	}
	for i := range w.entries {
		x.entryMoves(w, i, add)
	}
	if x.bounds.owner {
		x.ownerMoves(w, add)
	}
	return out
}

// mustLearn reports whether the time is up within which all processes learn
// of the change of owner.
func (x explorer) mustLearn(w *world) bool {
	if x.bounds.lag == noBound || w.changed == notYet || w.learned.all() {
		return false
	}
	return w.now-w.changed >= x.bounds.lag
}

func (x explorer) ownerMoves(w *world, add func(string, func(*world))) {
	if w.changed == notYet {
		add("the owner of the key changes", func(c *world) { c.changed = c.now })
		return
	}
	for i := range w.entries {
		if !w.learned.entries[i] {
			add(fmt.Sprintf("entry %d learns of the owner", i), func(c *world) { c.learned.entries[i] = true })
		}
		if !w.learned.sides[i] {
			add(fmt.Sprintf("side %d learns of the owner", i), func(c *world) {
				c.learned.sides[i] = true
				c.sides[i].ledger.Renew(c.clock(i))
				c.sides[i].renewed = c.now
			})
		}
	}
}

func (m message) String() string {
	return fmt.Sprintf("%s of %s between entry %d and side %d %s%s", m.kind, m.ticket.Call, m.entry, m.side, m.state, m.outcome)
}

// used reports whether calls may come to side i: a ticket or key has one.
func (x explorer) used(i int) bool { return i == 0 || x.bounds.binding == calls.BindFree }

func (x explorer) entryMoves(w *world, i int, add func(string, func(*world))) {
	e := w.entries[i]
	if !e.busy {
		if x.mayPost(w) {
			add(fmt.Sprintf("caller posts to entry %d", i), func(c *world) { x.post(c, i) })
		}
		return
	}
	event := func(name string, ev calls.Event) {
		add(fmt.Sprintf("entry %d: %s", i, name), func(c *world) { x.on(c, i, ev) })
	}
	event("gives up, or the side seems gone", calls.EventGone)
	if e.attempt.Phase == calls.PhaseNew {
		event("sends", calls.EventSent)
		event("cannot send", calls.EventUnsent)
		return
	}
	if e.asks < x.bounds.asks {
		event("connection lost", calls.EventLost)
	}
}

// mayPost reports whether the caller posts. A ticket or key may be posted
// again at any time, also beside itself. A call without one is posted again
// only when the caller was told that it has not run.
func (x explorer) mayPost(w *world) bool {
	if w.posts >= x.bounds.posts || w.now > x.bounds.postUntil {
		return false
	}
	if x.bounds.postSpan > 0 && w.firstPost != notYet && w.now-w.firstPost > x.bounds.postSpan {
		return false
	}
	if x.bounds.binding != calls.BindFree {
		return true
	}
	return !w.stopped && !w.entries[0].busy && !w.entries[1].busy
}

func (x explorer) crash(w *world, i int) {
	w.crashes++
	s := &w.sides[i]
	s.boot++
	s.bootAt = w.now
	s.ledger = calls.NewLedger(bootName(i, s.boot), limitsOf(x.bounds, x.removed))
	s.joins = nil
}

// post begins a call. A free call has an ID of its own; a ticket or key has
// the same whatever entry it comes through.
func (x explorer) post(w *world, i int) {
	w.posts++
	if w.firstPost == notYet && x.bounds.postSpan > 0 {
		w.firstPost = w.now
	}
	w.entries[i] = entry{busy: true, newView: w.learned.entries[i]}
	owner := 0
	if w.learned.entries[i] {
		owner = 1
	}
	x.try(w, i, owner)
}

func (x explorer) try(w *world, i, sideNo int) {
	e := &w.entries[i]
	e.tries++
	e.side = sideNo
	e.attempt = calls.NewAttempt(x.bounds.binding)
	switch x.bounds.binding {
	case calls.BindFree:
		w.ids++
		e.ticket = calls.Ticket{
			Call:    calls.ID(fmt.Sprint("c", w.ids)),
			Bind:    calls.BindFree,
			Service: "booking",
			Side:    fmt.Sprint(sideNo),
			Issued:  w.reading(sideNo),
		}
	case calls.BindKey:
		e.ticket = w.ticket
		e.ticket.Issued = w.reading(sideNo)
	default:
		e.ticket = w.ticket
	}
}

// on takes an event in at an entry and does the step that follows.
func (x explorer) on(w *world, i int, ev calls.Event) {
	e := &w.entries[i]
	if ev == calls.EventSent {
		w.flying = append(w.flying, x.start(w, i))
	}
	if ev == calls.EventUnsent && x.removed == theBound {
		e.attempt.Bound = false
	}
	step := e.attempt.On(ev)
	if ev == calls.EventLost && x.removed == theQuery {
		e.attempt.Phase = calls.PhaseSettled
		e.attempt.Outcome = calls.NotRun
		step = calls.StepSettle
	}
	x.follow(w, i, step)
}

func (x explorer) start(w *world, i int) message {
	e := &w.entries[i]
	echo := e.ticket.Issued
	if x.bounds.binding == calls.BindTicket {
		echo = w.reading(e.side)
	}
	return message{kind: kindStart, entry: i, side: e.side, newView: e.newView, ticket: e.ticket, echo: echo}
}

func (x explorer) follow(w *world, i int, step calls.Step) {
	e := &w.entries[i]
	switch step {
	case calls.StepAsk:
		e.asks++
		w.leave(i)
		w.flying = append(w.flying, message{kind: kindQuery, entry: i, side: e.side, newView: e.newView, ticket: e.ticket})
	case calls.StepSettle:
		x.settle(w, i)
	}
}

// settle ends an attempt. A free call that did not run goes to the other
// side; what the caller hears in the end decides whether it posts again.
func (x explorer) settle(w *world, i int) {
	e := &w.entries[i]
	id := e.ticket.Call
	if w.settled[id] == nil {
		w.settled[id] = map[calls.Outcome]bool{}
	}
	w.settled[id][e.attempt.Outcome] = true
	w.leave(i)
	if x.bounds.binding == calls.BindFree && e.attempt.Outcome == calls.NotRun && e.tries < x.bounds.attempts {
		x.try(w, i, 1-e.side)
		return
	}
	// Only a call that was said not to have run is safe to post as a new one.
	if x.bounds.binding == calls.BindFree && e.attempt.Outcome != calls.NotRun {
		w.stopped = true
	}
	*e = entry{}
}

func (x explorer) arrive(w *world, i int) {
	m := w.flying[i]
	w.flying = slices.Delete(w.flying, i, i+1)
	switch m.kind {
	case kindStart:
		x.startAt(w, m)
	case kindQuery:
		x.queryAt(w, m)
	default:
		x.heard(w, m)
	}
}

func (x explorer) startAt(w *world, m message) {
	s := &w.sides[m.side]
	t := m.ticket
	echo := m.echo
	if x.removed == theBoot {
		t.Issued = lease.Reading{Boot: s.ledger.Boot, At: w.clock(m.side)}
		echo = t.Issued
	}
	if x.removed == theExpiry {
		t.Issued.At = w.clock(m.side)
	}
	ledger := s.ledger
	if x.removed == theRecord {
		ledger = calls.NewLedger(s.ledger.Boot, s.ledger.Limits)
	}
	start := calls.Start{Ticket: t, Echo: echo, Print: "payment"}
	start.Unsure = x.unsure(w, m)
	act := ledger.Start(w.clock(m.side), start)
	switch act.Act {
	case calls.ActRun:
		w.execs = append(w.execs, exec{side: m.side, boot: s.boot, id: t.Call})
		s.wait(m)
	case calls.ActJoin:
		s.wait(m)
	case calls.ActReplay:
		reply(w, m, message{kind: kindAnswer})
	case calls.ActRefuse:
		reply(w, m, message{kind: kindRefusal, outcome: act.Outcome})
	}
}

// wait has the sender of m hear how its call ends.
func (s *side) wait(m message) {
	if !m.left {
		s.joins = append(s.joins, join{entry: m.entry, id: m.ticket.Call})
	}
}

// unsure reports whether entry and side see other members.
func (x explorer) unsure(w *world, m message) bool {
	return m.newView != w.learned.sides[m.side] && x.removed != theFellow
}

func reply(w *world, to, m message) {
	if to.left {
		return
	}
	m.entry, m.side, m.ticket = to.entry, to.side, to.ticket
	w.flying = append(w.flying, m)
}

func (x explorer) queryAt(w *world, m message) {
	s := &w.sides[m.side]
	q := calls.Query{Ticket: m.ticket, Mark: x.removed != theMark, Unsure: x.unsure(w, m)}
	if x.removed == theBoot {
		q.Ticket.Issued = lease.Reading{Boot: s.ledger.Boot, At: w.clock(m.side)}
	}
	state := s.ledger.Query(w.clock(m.side), q)
	if x.removed == theMark && state == calls.StateAbsent {
		state = calls.StateNever
	}
	if state == calls.StateRunning {
		s.wait(m)
	}
	reply(w, m, message{kind: kindVerdict, state: state})
	if state == calls.StateDone {
		reply(w, m, message{kind: kindAnswer})
	}
}

func (x explorer) heard(w *world, m message) {
	e := &w.entries[m.entry]
	switch m.kind {
	case kindVerdict:
		x.follow(w, m.entry, e.attempt.OnVerdict(m.state))
	case kindAnswer:
		x.on(w, m.entry, calls.EventAnswered)
	case kindRefusal:
		x.follow(w, m.entry, e.attempt.OnRefused(m.outcome))
	}
}

// execute runs a call at the target; its side, if it is still there and
// still waits, tells all who wait.
func (x explorer) execute(w *world, i int) {
	e := w.execs[i]
	w.execs = slices.Delete(w.execs, i, i+1)
	w.ran[e.id]++
	if !e.settled {
		x.end(w, e, calls.StateDone, message{kind: kindAnswer})
	}
}

// lose cuts the connection between a side and its target. The target may
// have heard of the call and run it later.
func (x explorer) lose(w *world, i int) {
	w.execs[i].settled = true
	x.end(w, w.execs[i], calls.StateBroken, message{kind: kindRefusal, outcome: calls.Unknown})
}

func (x explorer) end(w *world, e exec, state calls.State, answer message) {
	s := &w.sides[e.side]
	if s.boot != e.boot {
		return
	}
	s.ledger.Settle(w.clock(e.side), e.id, state)
	var kept []join
	for _, j := range s.joins {
		if j.id != e.id {
			kept = append(kept, j)
			continue
		}
		reply(w, message{entry: j.entry, side: e.side}, answer)
	}
	s.joins = kept
}
