package calls

import (
	"maps"
	"slices"
	"time"

	"hawthornferry/core/conn/fresh"
)

// Limits are the settings of a ledger.
//
// MaxReadingAge is the greatest age of the clock reading of a new call. RecordMaxAge
// is how long a record is kept after its last change; it must exceed MaxReadingAge,
// as otherwise a call could still start after its mark was dropped. KeyWindow is how
// long a side runs no calls bound to a key after its boot, or after a change of the
// members among which the keys are distributed. MaxRecords is the number of records
// from which new calls are refused; marks may exceed it by the share that
// extraMarksDivisor sets.
type Limits struct {
	MaxReadingAge time.Duration
	RecordMaxAge  time.Duration
	KeyWindow     time.Duration
	MaxRecords    int
}

// DefaultLimits returns the limits that apply when none are configured.
func DefaultLimits() Limits {
	return Limits{
		MaxReadingAge: 3 * time.Second,
		RecordMaxAge:  10 * time.Minute,
		KeyWindow:     2 * time.Minute,
		MaxRecords:    1 << 16,
	}
}

// Record is what a side holds of one call. Fingerprint identifies the request, to
// detect a key or ticket that is reused for another request. At is the side's clock
// at the last change.
type Record struct {
	State       State
	Fingerprint string
	At          time.Duration
}

// Ledger is a side's record of once-calls. It is a plain value: Clone copies it, and
// Records lists it in a fixed order. It isn't safe for concurrent use.
type Ledger struct {
	Boot   string
	Limits Limits

	records map[ID]Record
	// settled lists the calls that have ended or were marked never to run, the oldest
	// first.
	settled []settledCall
	// keyWindowEnd is the side's clock from which calls bound to a key may run: no
	// attempt that began earlier is run.
	keyWindowEnd time.Duration
}

// settledCall is a call that has ended or was marked at the time at.
type settledCall struct {
	id ID
	at time.Duration
}

// NewLedger returns an empty ledger for a boot of a side.
func NewLedger(boot string, l Limits) *Ledger {
	return &Ledger{Boot: boot, Limits: l, records: map[ID]Record{}, keyWindowEnd: l.KeyWindow}
}

// StartRequest is a request to run a call.
//
// EchoedReading is the clock reading that the call carries. Fingerprint is the
// request's fingerprint. RefuseReason, if set, is the side's own reason to refuse new
// calls, such as leaving. MembersDiffer is set if the sender and the side have
// different members, and so may disagree about the owners of keys.
type StartRequest struct {
	Ticket        Ticket
	EchoedReading fresh.ClockReading
	Fingerprint   string
	RefuseReason  Reason
	MembersDiffer bool
}

// ActionKind is what the side must do with a call.
type ActionKind string

// The kinds of action. Run: pass the call to the target. Join: send the answer of the
// running call when it arrives. Replay: send the stored answer. Refuse: refuse the
// call.
const (
	ActionRun    ActionKind = "run"
	ActionJoin   ActionKind = "join"
	ActionReplay ActionKind = "replay"
	ActionRefuse ActionKind = "refuse"
)

// Action is the ledger's decision about a call. Outcome and Reason are set for a
// refusal only.
type Action struct {
	Kind    ActionKind
	Outcome Outcome
	Reason  Reason
}

// Start decides about a call at time now of the side's clock.
//
// A call whose ID is recorded never runs again, whichever entry it comes through;
// otherwise a payment could be made twice. Only a call with an unknown ID and a fresh
// reading runs, and it is recorded before it is passed to the target.
func (l *Ledger) Start(now time.Duration, s StartRequest) Action {
	l.Expire(now)
	if s.Ticket.Issued.Boot != l.Boot && s.Ticket.Binding != BindFree {
		return refuse(OutcomeUnknown, ReasonOtherBoot)
	}
	if r, ok := l.records[s.Ticket.CallID]; ok {
		return decideRecorded(r, s)
	}
	clock := fresh.ClockReading{Boot: l.Boot, At: now}
	if s.Ticket.Binding == BindTicket && s.Ticket.expired(clock, l.Limits.RecordMaxAge) {
		return refuse(OutcomeUnknown, ReasonTicketExpired)
	}
	if l.mayHaveRunElsewhere(s.Ticket, s.MembersDiffer) {
		return refuse(OutcomeUnknown, ReasonOwnerChanged)
	}
	if why := l.refusalReason(clock, s); why != "" {
		return l.refuseUnrecorded(now, s, why)
	}
	l.records[s.Ticket.CallID] = Record{State: StateRunning, Fingerprint: s.Fingerprint, At: now}
	return Action{Kind: ActionRun}
}

// mayHaveRunElsewhere reports whether another side may have run the call of a key: a
// side that owned the key until recently, or one that the sender or this side wrongly
// takes for the owner. A caller who is then told notRun would pay a second time under
// a new key; and if the call were marked here, repeats would be told notRun too.
//
// The time at which the attempt began is compared with the window, not the time of
// its arrival: an attempt that was under way for longer than the window gives no
// information about earlier runs.
func (l *Ledger) mayHaveRunElsewhere(t Ticket, unsure bool) bool {
	return t.Binding == BindKey && (unsure || t.Issued.At < l.keyWindowEnd)
}

// refusalReason returns why a call without a record may not run, or an empty string
// if it may.
func (l *Ledger) refusalReason(clock fresh.ClockReading, s StartRequest) Reason {
	switch fresh.CheckFreshness(clock, s.EchoedReading, l.Limits.MaxReadingAge) {
	case fresh.Stale:
		return ReasonStaleReading
	case fresh.OtherBoot:
		return ReasonOtherBoot
	}
	if s.RefuseReason != "" {
		return s.RefuseReason
	}
	if len(l.records) >= l.Limits.MaxRecords {
		return ReasonLedgerFull
	}
	return ""
}

// refuseUnrecorded refuses a call that has not run. A bound call is first marked as
// never to run: the same ticket or key may be on its way through another entry, and
// if that attempt ran later, notRun would have been wrong. If there is no room for
// the mark, the outcome is unknown.
func (l *Ledger) refuseUnrecorded(now time.Duration, s StartRequest, why Reason) Action {
	if s.Ticket.Binding == BindFree {
		return refuse(OutcomeNotRun, why)
	}
	if !l.markNever(now, s.Ticket.CallID) {
		return refuse(OutcomeUnknown, why)
	}
	return refuse(OutcomeNotRun, why)
}

// decideRecorded decides about a call that has a record.
func decideRecorded(r Record, s StartRequest) Action {
	if r.State != StateNever && r.Fingerprint != s.Fingerprint {
		return refuse(OutcomeNotRun, ReasonOtherRequest)
	}
	switch r.State {
	case StateRunning:
		return Action{Kind: ActionJoin}
	case StateDone:
		return Action{Kind: ActionReplay}
	case StateBroken:
		return refuse(OutcomeUnknown, ReasonTargetBroke)
	default:
		return refuse(OutcomeNotRun, ReasonMarkedNever)
	}
}

func refuse(o Outcome, why Reason) Action {
	return Action{Kind: ActionRefuse, Outcome: o, Reason: why}
}

// Settle sets the final state of a running call: done, broken, or never if the target
// has certainly not received it. Any other call is left unchanged.
func (l *Ledger) Settle(now time.Duration, id ID, s State) {
	r, ok := l.records[id]
	if !ok || r.State != StateRunning {
		return
	}
	r.State, r.At = s, now
	l.records[id] = r
	l.settled = append(l.settled, settledCall{id: id, at: now})
}

// QueryRequest asks what became of a call. With MarkNever set, a call without a
// record is marked so that it never runs. MembersDiffer is as in StartRequest.
type QueryRequest struct {
	Ticket        Ticket
	MarkNever     bool
	MembersDiffer bool
}

// Query returns the state of a call at time now of the side's clock.
//
// Without the mark a call that is still on its way on an earlier connection could run
// after the entry has sent it to another replica, and so run twice. The look-up and
// the mark are one step, so that the call can't start in between.
func (l *Ledger) Query(now time.Duration, q QueryRequest) State {
	l.Expire(now)
	clock := fresh.ClockReading{Boot: l.Boot, At: now}
	if q.Ticket.Issued.Boot != l.Boot {
		return StateGone
	}
	if r, ok := l.records[q.Ticket.CallID]; ok {
		return r.State
	}
	if q.Ticket.expired(clock, l.Limits.RecordMaxAge) {
		return StateGone
	}
	if l.mayHaveRunElsewhere(q.Ticket, q.MembersDiffer) {
		return StateGone
	}
	if !q.MarkNever {
		return StateAbsent
	}
	if !l.markNever(now, q.Ticket.CallID) {
		return StateAbsent
	}
	return StateNever
}

// extraMarksDivisor sets how many records beyond Limits.MaxRecords may be held for
// marks: MaxRecords/extraMarksDivisor + 1. A full ledger can thus still mark calls as
// never to run.
const extraMarksDivisor = 8

// markNever records that the call never runs, and reports whether there was room for
// the record.
func (l *Ledger) markNever(now time.Duration, id ID) bool {
	if len(l.records) >= l.Limits.MaxRecords+l.Limits.MaxRecords/extraMarksDivisor+1 {
		return false
	}
	l.records[id] = Record{State: StateNever, At: now}
	l.settled = append(l.settled, settledCall{id: id, at: now})
	return true
}

// RestartKeyWindow restarts the key window. The side calls it when the members among
// which keys are distributed change: a key that another side owned until now may have
// run there.
func (l *Ledger) RestartKeyWindow(now time.Duration) { l.keyWindowEnd = now + l.Limits.KeyWindow }

// Expire drops the records whose last change is over Limits.RecordMaxAge ago, and
// returns their IDs. Running calls are kept. Records outlive the readings with which
// their calls could still start, so dropping a mark lets no late call run.
func (l *Ledger) Expire(now time.Duration) []ID {
	var gone []ID
	n := 0
	for n < len(l.settled) && now-l.settled[n].at > l.Limits.RecordMaxAge {
		delete(l.records, l.settled[n].id)
		gone = append(gone, l.settled[n].id)
		n++
	}
	l.settled = slices.Delete(l.settled, 0, n)
	return gone
}

// Len is the number of records held.
func (l *Ledger) Len() int { return len(l.records) }

// CallRecord is a record and the ID of its call.
type CallRecord struct {
	ID     ID
	Record Record
}

// Records returns all records sorted by ID.
func (l *Ledger) Records() []CallRecord {
	out := make([]CallRecord, 0, len(l.records))
	for _, id := range slices.Sorted(maps.Keys(l.records)) {
		out = append(out, CallRecord{ID: id, Record: l.records[id]})
	}
	return out
}

// Clone returns a deep copy of l.
func (l *Ledger) Clone() *Ledger {
	c := *l
	c.records = maps.Clone(l.records)
	c.settled = slices.Clone(l.settled)
	return &c
}
