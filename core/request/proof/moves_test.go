//go:build !race

package proof

import (
	"fmt"
	"slices"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/process/explor"
	"hawthornferry/core/request/calls"
)

// explorer explores the model of a once-call, with one safeguard removed if removed
// is set.
type explorer struct {
	bounds  bounds
	removed safeguard
}

type move = explor.Transition[*modelState]

func (x explorer) run() explor.Result {
	return explor.Explore(explor.Model[*modelState]{
		Initial:     newModelState(x.bounds, x.removed),
		Transitions: x.moves,
		Key:         (*modelState).key,
		Check:       (*modelState).check,
		MaxStates:   1 << 21,
	})
}

// moves returns all events that may happen next. Lost messages need no event of their
// own, as a message may stay in flight forever; paused processes need none either, as
// a process may take no step.
func (x explorer) moves(w *modelState) []move {
	var out []move
	add := func(name string, change func(*modelState)) {
		c := w.clone()
		change(c)
		out = append(out, move{Name: name, Next: c})
	}
	if w.now < x.bounds.endTime && !x.mustLearn(w) {
		add("time passes", func(c *modelState) { c.now++ })
	}
	for i := range w.sides {
		if w.crashes < x.bounds.crashes && x.receivesCalls(i) {
			add(fmt.Sprintf("side %d crashes and restarts", i), func(c *modelState) { x.crash(c, i) })
		}
	}
	for i := range w.inFlight {
		add("arrives: "+w.inFlight[i].String(), func(c *modelState) { x.deliver(c, i) })
	}
	for i, e := range w.executions {
		add(fmt.Sprintf("target %d runs %s", e.side, e.id), func(c *modelState) { x.execute(c, i) })
		if !e.settled {
			add(fmt.Sprintf("side %d loses the connection to its target during %s", e.side, e.id), func(c *modelState) { x.loseTarget(c, i) })
		}
	}
	for i := range w.entries {
		x.entryMoves(w, i, add)
	}
	if x.bounds.ownerChanges {
		x.ownerMoves(w, add)
	}
	return out
}

// mustLearn reports whether the time is up within which all processes learn of the
// change of owner.
func (x explorer) mustLearn(w *modelState) bool {
	if x.bounds.maxLag == unlimited || w.ownerChangedAt == unset || w.learned.all() {
		return false
	}
	return w.now-w.ownerChangedAt >= x.bounds.maxLag
}

// ownerMoves adds the change of owner, and each process's learning of it.
func (x explorer) ownerMoves(w *modelState, add func(string, func(*modelState))) {
	if w.ownerChangedAt == unset {
		add("the owner of the key changes", func(c *modelState) { c.ownerChangedAt = c.now })
		return
	}
	for i := range w.entries {
		if !w.learned.entries[i] {
			add(fmt.Sprintf("entry %d learns of the new owner", i), func(c *modelState) { c.learned.entries[i] = true })
		}
		if !w.learned.sides[i] {
			add(fmt.Sprintf("side %d learns of the new owner", i), func(c *modelState) {
				c.learned.sides[i] = true
				c.sides[i].ledger.RestartKeyWindow(c.clock(i))
				c.sides[i].renewedAt = c.now
			})
		}
	}
}

func (m message) String() string {
	return fmt.Sprintf("%s of %s between entry %d and side %d %s%s", m.kind, m.ticket.CallID, m.entry, m.side, m.state, m.outcome)
}

// receivesCalls reports whether calls may be sent to side i. A ticket or key is bound
// to side 0.
func (x explorer) receivesCalls(i int) bool { return i == 0 || x.bounds.binding == calls.BindFree }

// entryMoves adds what may happen at entry i.
func (x explorer) entryMoves(w *modelState, i int, add func(string, func(*modelState))) {
	e := w.entries[i]
	if !e.busy {
		if x.mayPost(w) {
			add(fmt.Sprintf("caller posts to entry %d", i), func(c *modelState) { x.post(c, i) })
		}
		return
	}
	event := func(name string, ev calls.Event) {
		add(fmt.Sprintf("entry %d: %s", i, name), func(c *modelState) { x.applyEvent(c, i, ev) })
	}
	event("gives up, or the side seems gone", calls.EventSideGone)
	if e.attempt.Phase == calls.PhaseNew {
		event("sends", calls.EventSent)
		event("cannot send", calls.EventUnsent)
		return
	}
	if e.queries < x.bounds.queries {
		event("connection lost", calls.EventConnectionLost)
	}
}

// mayPost reports whether the caller may post now. It may repeat a ticket or key at
// any time, also while the first post is in progress. It repeats a free call only
// after it was told notRun.
func (x explorer) mayPost(w *modelState) bool {
	if w.posts >= x.bounds.posts || w.now > x.bounds.postUntil {
		return false
	}
	if x.bounds.postSpan > 0 && w.firstPost != unset && w.now-w.firstPost > x.bounds.postSpan {
		return false
	}
	if x.bounds.binding != calls.BindFree {
		return true
	}
	return !w.callerStopped && !w.entries[0].busy && !w.entries[1].busy
}

func (x explorer) crash(w *modelState, i int) {
	w.crashes++
	s := &w.sides[i]
	s.boot++
	s.bootAt = w.now
	s.ledger = calls.NewLedger(bootName(i, s.boot), limitsOf(x.bounds, x.removed))
	s.waiters = nil
}

// post starts a call at entry i. A free call gets an ID of its own; a ticket or key
// has the same ID at both entries.
func (x explorer) post(w *modelState, i int) {
	w.posts++
	if w.firstPost == unset && x.bounds.postSpan > 0 {
		w.firstPost = w.now
	}
	w.entries[i] = entry{busy: true, newOwnerKnown: w.learned.entries[i]}
	owner := 0
	if w.learned.entries[i] {
		owner = 1
	}
	x.startAttempt(w, i, owner)
}

func (x explorer) startAttempt(w *modelState, i, sideNo int) {
	e := &w.entries[i]
	e.tries++
	e.side = sideNo
	e.attempt = calls.NewAttempt(x.bounds.binding)
	switch x.bounds.binding {
	case calls.BindFree:
		w.lastID++
		e.ticket = calls.Ticket{
			CallID:  calls.ID(fmt.Sprint("c", w.lastID)),
			Binding: calls.BindFree,
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

// applyEvent applies an event to the attempt of entry i and performs the step that
// follows.
func (x explorer) applyEvent(w *modelState, i int, ev calls.Event) {
	e := &w.entries[i]
	if ev == calls.EventSent {
		w.inFlight = append(w.inFlight, x.startMessage(w, i))
	}
	if ev == calls.EventUnsent && x.removed == queryWhenUnsent {
		e.attempt.Bound = false
	}
	step := e.attempt.Apply(ev)
	if ev == calls.EventConnectionLost && x.removed == queryAfterLoss {
		e.attempt.Phase = calls.PhaseSettled
		e.attempt.Outcome = calls.OutcomeNotRun
		step = calls.StepSettle
	}
	x.performStep(w, i, step)
}

func (x explorer) startMessage(w *modelState, i int) message {
	e := &w.entries[i]
	echo := e.ticket.Issued
	if x.bounds.binding == calls.BindTicket {
		echo = w.reading(e.side)
	}
	return message{kind: kindStart, entry: i, side: e.side, newOwnerKnown: e.newOwnerKnown, ticket: e.ticket, echo: echo}
}

func (x explorer) performStep(w *modelState, i int, step calls.Step) {
	e := &w.entries[i]
	switch step {
	case calls.StepQuery:
		e.queries++
		w.abandonConnection(i)
		w.inFlight = append(w.inFlight, message{kind: kindQuery, entry: i, side: e.side, newOwnerKnown: e.newOwnerKnown, ticket: e.ticket})
	case calls.StepSettle:
		x.settle(w, i)
	}
}

// settle ends an attempt. A free call that did not run is tried at the other side.
// Otherwise the outcome is reported to the caller and decides whether it posts again.
func (x explorer) settle(w *modelState, i int) {
	e := &w.entries[i]
	id := e.ticket.CallID
	if w.settled[id] == nil {
		w.settled[id] = map[calls.Outcome]bool{}
	}
	w.settled[id][e.attempt.Outcome] = true
	w.abandonConnection(i)
	if x.bounds.binding == calls.BindFree && e.attempt.Outcome == calls.OutcomeNotRun && e.tries < x.bounds.attempts {
		x.startAttempt(w, i, 1-e.side)
		return
	}
	// It is only safe to post a call again if it was reported as notRun.
	if x.bounds.binding == calls.BindFree && e.attempt.Outcome != calls.OutcomeNotRun {
		w.callerStopped = true
	}
	*e = entry{}
}

func (x explorer) deliver(w *modelState, i int) {
	m := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	switch m.kind {
	case kindStart:
		x.deliverStart(w, m)
	case kindQuery:
		x.deliverQuery(w, m)
	default:
		x.deliverToEntry(w, m)
	}
}

func (x explorer) deliverStart(w *modelState, m message) {
	s := &w.sides[m.side]
	t := m.ticket
	echo := m.echo
	if x.removed == bootCheck {
		t.Issued = fresh.ClockReading{Boot: s.ledger.Boot, At: w.clock(m.side)}
		echo = t.Issued
	}
	if x.removed == ticketAgeCheck {
		t.Issued.At = w.clock(m.side)
	}
	ledger := s.ledger
	if x.removed == recordBeforeRun {
		ledger = calls.NewLedger(s.ledger.Boot, s.ledger.Limits)
	}
	start := calls.StartRequest{Ticket: t, EchoedReading: echo, Fingerprint: "payment"}
	start.MembersDiffer = x.unsure(w, m)
	act := ledger.Start(w.clock(m.side), start)
	switch act.Kind {
	case calls.ActionRun:
		w.executions = append(w.executions, execution{side: m.side, boot: s.boot, id: t.CallID})
		s.addWaiter(m)
	case calls.ActionJoin:
		s.addWaiter(m)
	case calls.ActionReplay:
		reply(w, m, message{kind: kindAnswer})
	case calls.ActionRefuse:
		reply(w, m, message{kind: kindRefusal, outcome: act.Outcome})
	}
}

// addWaiter makes the sender of m wait for the answer of its call, unless it has
// given up the connection.
func (s *side) addWaiter(m message) {
	if !m.abandoned {
		s.waiters = append(s.waiters, waiter{entry: m.entry, id: m.ticket.CallID})
	}
}

// unsure reports whether the entry and the side have different members.
func (x explorer) unsure(w *modelState, m message) bool {
	return m.newOwnerKnown != w.learned.sides[m.side] && x.removed != memberCheck
}

func reply(w *modelState, to, m message) {
	if to.abandoned {
		return
	}
	m.entry, m.side, m.ticket = to.entry, to.side, to.ticket
	w.inFlight = append(w.inFlight, m)
}

func (x explorer) deliverQuery(w *modelState, m message) {
	s := &w.sides[m.side]
	q := calls.QueryRequest{Ticket: m.ticket, MarkNever: x.removed != queryMark, MembersDiffer: x.unsure(w, m)}
	if x.removed == bootCheck {
		q.Ticket.Issued = fresh.ClockReading{Boot: s.ledger.Boot, At: w.clock(m.side)}
	}
	state := s.ledger.Query(w.clock(m.side), q)
	if x.removed == queryMark && state == calls.StateAbsent {
		state = calls.StateNever
	}
	if state == calls.StateRunning {
		s.addWaiter(m)
	}
	reply(w, m, message{kind: kindVerdict, state: state})
	if state == calls.StateDone {
		reply(w, m, message{kind: kindAnswer})
	}
}

func (x explorer) deliverToEntry(w *modelState, m message) {
	e := &w.entries[m.entry]
	switch m.kind {
	case kindVerdict:
		x.performStep(w, m.entry, e.attempt.ApplyQueryResult(m.state))
	case kindAnswer:
		x.applyEvent(w, m.entry, calls.EventAnswered)
	case kindRefusal:
		x.performStep(w, m.entry, e.attempt.ApplyRefusal(m.outcome))
	}
}

// execute runs a call at the target. If its side still runs and waits for the call,
// the answer goes to all waiters.
func (x explorer) execute(w *modelState, i int) {
	e := w.executions[i]
	w.executions = slices.Delete(w.executions, i, i+1)
	w.runs[e.id]++
	if !e.settled {
		x.endExecution(w, e, calls.StateDone, message{kind: kindAnswer})
	}
}

// loseTarget breaks the connection between a side and its target. The target may have
// received the call and may run it later.
func (x explorer) loseTarget(w *modelState, i int) {
	w.executions[i].settled = true
	x.endExecution(w, w.executions[i], calls.StateBroken, message{kind: kindRefusal, outcome: calls.OutcomeUnknown})
}

// endExecution settles a call at its side, unless that has restarted, and sends the
// answer to all waiters.
func (x explorer) endExecution(w *modelState, e execution, state calls.State, answer message) {
	s := &w.sides[e.side]
	if s.boot != e.boot {
		return
	}
	s.ledger.Settle(w.clock(e.side), e.id, state)
	var kept []waiter
	for _, j := range s.waiters {
		if j.id != e.id {
			kept = append(kept, j)
			continue
		}
		reply(w, message{entry: j.entry, side: e.side}, answer)
	}
	s.waiters = kept
}
