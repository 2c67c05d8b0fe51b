package calls

import (
	"maps"
	"slices"
	"time"

	"hawthornferry/core/conn/lease"
)

// Limits bound a ledger. MaxAge is how old the reading of a new call may be.
// Keep is how long a record is held after its last change; it must be over
// MaxAge. KeyWindow is how long after its boot, or after a change among its
// fellows, a side runs no call bound to a key. Records is the most records
// held.
type Limits struct {
	MaxAge    time.Duration
	Keep      time.Duration
	KeyWindow time.Duration
	Records   int
}

// DefaultLimits returns the limits in force where none are set.
func DefaultLimits() Limits {
	return Limits{
		MaxAge:    3 * time.Second,
		Keep:      10 * time.Minute,
		KeyWindow: 2 * time.Minute,
		Records:   1 << 16,
	}
}

// Record is what a side holds of one call. Print identifies the request, so
// that a key or ticket used for another request is noticed.
type Record struct {
	State State
	Print string
	At    time.Duration
}

// Ledger is a side's memory of once-calls. It is a plain value: Clone copies
// it, Records lists it in a fixed order. It is not safe for concurrent use.
type Ledger struct {
	Boot   string
	Limits Limits

	records map[ID]Record
	// ages holds settled calls, the oldest first.
	ages []age
	// keysFrom is when calls bound to keys may first run.
	keysFrom time.Duration
}

type age struct {
	id ID
	at time.Duration
}

// NewLedger returns the empty ledger of a boot.
func NewLedger(boot string, l Limits) *Ledger {
	return &Ledger{Boot: boot, Limits: l, records: map[ID]Record{}, keysFrom: l.KeyWindow}
}

// Start is a call that asks to run. Echo is the reading that it carries,
// Refuse a reason of the side itself against any new work, such as leaving.
// Unsure is set when the sender and the side see other members among which
// keys have their owners.
type Start struct {
	Ticket Ticket
	Echo   lease.Reading
	Print  string
	Refuse Reason
	Unsure bool
}

// Act is what the side is to do with a call.
type Act string

// The acts: hand the call to the target; send its answer when it is there;
// send the answer that is held; refuse.
const (
	ActRun    Act = "run"
	ActJoin   Act = "join"
	ActReplay Act = "replay"
	ActRefuse Act = "refuse"
)

// Action is the ledger's decision on a call. Outcome and Reason are set for
// a refusal.
type Action struct {
	Act     Act
	Outcome Outcome
	Reason  Reason
}

// Start decides on a call at the side's clock now.
//
// A call whose ID is known never runs again, whatever entry it comes
// through: two runs would take a fee twice. Only an unknown ID with a fresh
// reading runs, and the record is made before the target hears of it.
func (l *Ledger) Start(now time.Duration, s Start) Action {
	l.Expire(now)
	if s.Ticket.Issued.Boot != l.Boot && s.Ticket.Bind != BindFree {
		return refuse(Unknown, ReasonBoot)
	}
	if r, ok := l.records[s.Ticket.Call]; ok {
		return known(r, s)
	}
	clock := lease.Reading{Boot: l.Boot, At: now}
	if s.Ticket.Bind == BindTicket && s.Ticket.expired(clock, l.Limits.Keep) {
		return refuse(Unknown, ReasonExpired)
	}
	if l.mayBeElsewhere(s.Ticket, s.Unsure) {
		return refuse(Unknown, ReasonYoung)
	}
	if why := l.against(clock, s); why != "" {
		return l.turnAway(now, s, why)
	}
	l.records[s.Ticket.Call] = Record{State: StateRunning, Print: s.Print, At: now}
	return Action{Act: ActRun}
}

// mayBeElsewhere reports whether another side may have run the key: one that
// owned it until now, or one that the sender or this side wrongly takes for
// the owner. What counts is when the attempt began: one that was on its way
// for longer than the window tells nothing of what ran before it. A caller who then hears notRun would pay a second time under a
// new key, and a mark made here would have the same said later.
func (l *Ledger) mayBeElsewhere(t Ticket, unsure bool) bool {
	return t.Bind == BindKey && (unsure || t.Issued.At < l.keysFrom)
}

// against returns the reason why a call of which no record is held may not
// run, and "" when it may.
func (l *Ledger) against(clock lease.Reading, s Start) Reason {
	switch lease.Judge(clock, s.Echo, l.Limits.MaxAge) {
	case lease.Stale:
		return ReasonStale
	case lease.OtherBoot:
		return ReasonBoot
	}
	if s.Refuse != "" {
		return s.Refuse
	}
	if len(l.records) >= l.Limits.Records {
		return ReasonFull
	}
	return ""
}

// turnAway refuses a call that has not run. A bound call is marked first:
// the same ticket or key may be on its way through another entry, and the
// caller who hears notRun would be told wrong if that one ran later. Where
// no mark fits the outcome is unknown.
func (l *Ledger) turnAway(now time.Duration, s Start, why Reason) Action {
	if s.Ticket.Bind == BindFree {
		return refuse(NotRun, why)
	}
	if !l.mark(now, s.Ticket.Call) {
		return refuse(Unknown, why)
	}
	return refuse(NotRun, why)
}

func known(r Record, s Start) Action {
	if r.State != StateNever && r.Print != s.Print {
		return refuse(NotRun, ReasonMismatch)
	}
	switch r.State {
	case StateRunning:
		return Action{Act: ActJoin}
	case StateDone:
		return Action{Act: ActReplay}
	case StateBroken:
		return refuse(Unknown, ReasonBroken)
	default:
		return refuse(NotRun, ReasonNever)
	}
}

func refuse(o Outcome, why Reason) Action {
	return Action{Act: ActRefuse, Outcome: o, Reason: why}
}

// Settle ends a running call as done, broken, or never when it is certain
// that the target did not hear of it. Any other call is left as it is.
func (l *Ledger) Settle(now time.Duration, id ID, s State) {
	r, ok := l.records[id]
	if !ok || r.State != StateRunning {
		return
	}
	r.State, r.At = s, now
	l.records[id] = r
	l.ages = append(l.ages, age{id: id, at: now})
}

// Query asks what became of a call. With Mark a call of which the side holds
// no record is marked, so that it never runs.
type Query struct {
	Ticket Ticket
	Mark   bool
	Unsure bool
}

// Query returns the state of a call at the side's clock now.
//
// Without the mark, a call still on its way in an older connection would run
// after the entry had sent it to another replica: it would run twice. The
// mark is made in the same step that finds no record, so nothing can come
// between.
func (l *Ledger) Query(now time.Duration, q Query) State {
	l.Expire(now)
	clock := lease.Reading{Boot: l.Boot, At: now}
	if q.Ticket.Issued.Boot != l.Boot {
		return StateGone
	}
	if r, ok := l.records[q.Ticket.Call]; ok {
		return r.State
	}
	if q.Ticket.expired(clock, l.Limits.Keep) {
		return StateGone
	}
	if l.mayBeElsewhere(q.Ticket, q.Unsure) {
		return StateGone
	}
	if !q.Mark {
		return StateAbsent
	}
	if !l.mark(now, q.Ticket.Call) {
		return StateAbsent
	}
	return StateNever
}

// marksOver is how many records beyond the bound may be marks, as a share of
// the bound: a full ledger can still promise that calls never run.
const marksOver = 8

func (l *Ledger) mark(now time.Duration, id ID) bool {
	if len(l.records) >= l.Limits.Records+l.Limits.Records/marksOver+1 {
		return false
	}
	l.records[id] = Record{State: StateNever, At: now}
	l.ages = append(l.ages, age{id: id, at: now})
	return true
}

// Renew starts the key window anew. The side calls it when the members among
// which keys have their owners change: a key that another side owned until
// now may have run there.
func (l *Ledger) Renew(now time.Duration) { l.keysFrom = now + l.Limits.KeyWindow }

// Expire drops the records that have passed their age and returns their IDs.
// Running calls stay. A record outlives the readings under which its call
// could still start, so a dropped mark lets no late call in.
func (l *Ledger) Expire(now time.Duration) []ID {
	var gone []ID
	n := 0
	for n < len(l.ages) && now-l.ages[n].at > l.Limits.Keep {
		delete(l.records, l.ages[n].id)
		gone = append(gone, l.ages[n].id)
		n++
	}
	l.ages = slices.Delete(l.ages, 0, n)
	return gone
}

// Len is the number of records held.
func (l *Ledger) Len() int { return len(l.records) }

// Held is a record with the ID of its call.
type Held struct {
	ID     ID
	Record Record
}

// Records lists the records sorted by ID.
func (l *Ledger) Records() []Held {
	out := make([]Held, 0, len(l.records))
	for _, id := range slices.Sorted(maps.Keys(l.records)) {
		out = append(out, Held{ID: id, Record: l.records[id]})
	}
	return out
}

// Clone returns a copy that shares nothing with l.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.records = maps.Clone(l.records)
	c.ages = slices.Clone(l.ages)
	return &c
}
