package roll

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Phase is the stage of a side's load of one version.
type Phase string

// The phases of a load. The replicas that ask a side count it as serving only while it
// is idle.
const (
	PhaseIdle    Phase = "idle"
	PhaseAsking  Phase = "asking"
	PhaseLoading Phase = "loading"
)

// Target is what an engine reports about itself. LastOrder is the highest order
// number that it has accepted.
type Target struct {
	Boot      string
	Serving   chunk.Digest
	Loading   chunk.Digest
	LastOrder uint64
}

// Facts is what a side knows when it decides. WeightsVerified means that every chunk
// of the wanted manifest is staged and has its digest. TargetKnown is false
// while the engine does not answer.
type Facts struct {
	// ReadAt is when the facts were read, on a clock that also counts the time in which
	// the machine was suspended.
	ReadAt          time.Duration
	Want            Want
	WeightsVerified bool
	Target          Target
	TargetKnown     bool
	Draining        bool
	// Deadline is the time by which the load must begin.
	Deadline Deadline
}

// Status is a side's answer to a replica that asks it. Serving is what its
// target serves, Wanted what the document at Revision requires of it.
type Status struct {
	Name     string       `msgpack:"name"`
	Phase    Phase        `msgpack:"phase"`
	Serving  chunk.Digest `msgpack:"serving"`
	Wanted   chunk.Digest `msgpack:"wanted"`
	Revision uint64       `msgpack:"revision"`
	Leaving  bool         `msgpack:"leaving"`
	// Rank is the replica's place in the order of loading, 0 being the first.
	Rank int `msgpack:"rank,omitempty"`
	// OrderedVersion is the version of the replica's last order, empty for none, and
	// OrderAge how long ago that order was given.
	OrderedVersion chunk.Digest  `msgpack:"ordered,omitempty"`
	OrderAge       time.Duration `msgpack:"orderAge,omitempty"`
}

// ActionKind is the kind of an Action.
type ActionKind string

// The actions: do nothing, ask the other replicas, order the target to load.
const (
	ActionNone  ActionKind = "none"
	ActionAsk   ActionKind = "ask"
	ActionOrder ActionKind = "order"
)

// Action is what the side must do next. Number is set for an order.
type Action struct {
	Kind     ActionKind
	Manifest chunk.Digest
	Number   uint64
	Reason   Reason
}

// Reason says why an action was chosen, or why there was none.
type Reason string

// The reasons. They appear in the decision log.
const (
	ReasonAlreadyServed Reason = "already served"
	ReasonNotPlaced     Reason = "not placed"
	ReasonNoModel       Reason = "service has no model"
	ReasonUnverified    Reason = "weights not verified whole"
	ReasonTargetSilent  Reason = "target does not answer"
	ReasonTargetBusy    Reason = "target is loading"
	ReasonDraining      Reason = "draining"
	ReasonBackoff       Reason = "waiting after a refusal"
	ReasonFirstLoad     Reason = "target serves nothing"
	ReasonOverdue       Reason = "the old version may not be served any longer"
	ReasonAsking        Reason = "asking the replicas of the zone"
	ReasonFloor         Reason = "floor of serving replicas"
	ReasonSpaced        Reason = "loads of the zone are spaced out"
	ReasonOlderRevision Reason = "a replica holds a higher revision"
	ReasonPermitExpired Reason = "permission is too old"
	ReasonWantChanged   Reason = "wanted version changed"
	ReasonFloorHolds    Reason = "floor holds without this replica"
)

// Times of the Machine.
const (
	// PermitLifetime is how long the answers of the other replicas permit an order. A
	// process that was paused, or suspended with its machine, after it asked must
	// not act on outdated answers; it asks again.
	PermitLifetime = 2 * time.Second
	// minAskBackoff and backoffPerRank space the questions of the sides of a zone. Of
	// two sides that ask at the same moment neither counts the other as serving, so
	// that both may have to ask again. Delays by rank make that rare, and questions a
	// second then grow with the replicas, not with their square.
	minAskBackoff  = 200 * time.Millisecond
	backoffPerRank = 20 * time.Millisecond
	// loadStartTimeout is how long an engine may take to report a load that it
	// accepted. Without it, a load that the engine dropped would make its side wait
	// for ever, on the old version.
	loadStartTimeout = 5 * time.Second
)

// Machine decides when one side orders its target to load a version. The zero value
// is ready for use. It is not safe for concurrent use.
type Machine struct {
	phase     Phase
	manifest  chunk.Digest
	askedAt   time.Duration
	orderedAt time.Time
	retryAt   time.Time
	boot      string
}

// Step decides on the facts f. After ActionAsk the caller asks all of Want.Peers and
// passes their answers to AnswersReceived.
func (m *Machine) Step(now time.Time, f Facts) Action {
	m.trackLoad(now, f)
	if r, ok := blockedReason(f); ok {
		m.resetPhase(r)
		return noAction(r)
	}
	if m.phase == PhaseLoading || f.Target.Loading != "" {
		return noAction(ReasonTargetBusy)
	}
	if f.Target.Serving == "" && !now.Before(m.retryAt) {
		return m.startLoad(now, f, ReasonFirstLoad)
	}
	if f.Deadline.passed() && !now.Before(m.retryAt) {
		return m.startLoad(now, f, ReasonOverdue)
	}
	if m.manifest != f.Want.Manifest {
		m.manifest = f.Want.Manifest
		m.retryAt = now.Add(time.Duration(f.Want.Rank) * backoffPerRank)
	}
	if now.Before(m.retryAt) {
		return noAction(ReasonBackoff)
	}
	m.phase = PhaseAsking
	m.askedAt = f.ReadAt
	return Action{Kind: ActionAsk, Manifest: m.manifest, Reason: ReasonAsking}
}

// AnswersReceived decides on the answers to a question. f must be read again after the
// answers came in. Replicas that did not answer are missing from answers and
// so count as not serving.
func (m *Machine) AnswersReceived(now time.Time, f Facts, answers []Status) Action {
	if m.phase != PhaseAsking {
		return noAction(ReasonWantChanged)
	}
	if r, ok := blockedReason(f); ok {
		m.resetPhase(r)
		return noAction(r)
	}
	if r, ok := m.objection(f, answers); ok {
		m.phase = PhaseIdle
		m.retryAt = now.Add(askBackoff(f.Want))
		return noAction(r)
	}
	if wait := f.Deadline.delay(f.Want, answers); wait > 0 {
		m.phase = PhaseIdle
		m.retryAt = now.Add(min(wait, maxSpacing) + time.Duration(f.Want.Rank)*backoffPerRank)
		return noAction(ReasonSpaced)
	}
	return m.startLoad(now, f, ReasonFloorHolds)
}

// objection returns the safeguard that forbids the order, if any.
func (m *Machine) objection(f Facts, answers []Status) (Reason, bool) {
	if f.Want.Manifest != m.manifest {
		return ReasonWantChanged, true
	}
	// A side that was suspended between question and order would load at the same
	// time as one that asked meanwhile, and the zone would drop below its floor. Only a
	// clock that counts suspension shows this.
	if f.ReadAt-m.askedAt > PermitLifetime {
		return ReasonPermitExpired, true
	}
	serving := 0
	for _, s := range answers {
		// Without this a side cut off from new documents would load a version
		// that was withdrawn; one answer from a replica with a newer document is
		// enough to wait. A higher revision alone is not: documents change
		// about once a second, mostly in parts that do not concern this service.
		if s.Revision > f.Want.Revision && s.Wanted != f.Want.Manifest {
			return ReasonOlderRevision, true
		}
		if keepsServing(s) {
			serving++
		}
	}
	if serving < f.Want.Service.Floor {
		return ReasonFloor, true
	}
	return "", false
}

// keepsServing reports whether replica s keeps serving while this one loads. A
// replica that asks does not count: it may already hold the answers that permit its
// load. If a tie were broken by rank instead, both could load at once and the zone
// would drop below its floor.
func keepsServing(s Status) bool {
	return s.Serving != "" && !s.Leaving && s.Phase == PhaseIdle
}

// startLoad returns an order and enters PhaseLoading. The order's number is one above the
// last that the engine accepted, so that it grows without being stored.
func (m *Machine) startLoad(now time.Time, f Facts, r Reason) Action {
	m.phase = PhaseLoading
	m.manifest = f.Want.Manifest
	m.boot = f.Target.Boot
	m.orderedAt = now
	return Action{
		Kind:     ActionOrder,
		Manifest: f.Want.Manifest,
		Number:   f.Target.LastOrder + 1,
		Reason:   r,
	}
}

// StepDelay is how long the next Step may be delayed after now, at most longest. If
// steps were rounded up to a common tick, sides whose delays differ by rank would ask
// at the same moment again.
func (m *Machine) StepDelay(now time.Time, longest time.Duration) time.Duration {
	until := m.retryAt.Sub(now)
	if until <= 0 {
		return longest
	}
	return min(until, longest)
}

// LoadFailed is called when an order was refused or not answered, or when the target
// stopped loading without serving the version.
func (m *Machine) LoadFailed(now time.Time, f Facts) {
	m.phase = PhaseIdle
	m.retryAt = now.Add(askBackoff(f.Want))
}

// Status is the answer to another replica that asks. The caller sets the name.
func (m *Machine) Status(now time.Time, f Facts) Status {
	s := Status{
		Phase:    m.phase,
		Wanted:   f.Want.Manifest,
		Revision: f.Want.Revision,
		Leaving:  f.Draining || !f.Want.Placed,
		Rank:     f.Want.Rank,
	}
	if f.TargetKnown {
		s.Serving = f.Target.Serving
	}
	if !m.orderedAt.IsZero() {
		s.OrderedVersion, s.OrderAge = m.manifest, now.Sub(m.orderedAt)
	}
	if s.Phase == "" {
		s.Phase = PhaseIdle
	}
	if f.Target.Loading != "" {
		s.Phase = PhaseLoading
	}
	return s
}

// trackLoad detects the end of a load: the target serves the ordered version, or it
// was restarted and lost the order, or it has stopped loading.
func (m *Machine) trackLoad(now time.Time, f Facts) {
	if m.phase != PhaseLoading || !f.TargetKnown {
		return
	}
	if f.Target.Serving == m.manifest || f.Target.Boot != m.boot {
		m.phase = PhaseIdle
		return
	}
	if f.Target.Loading == "" && now.Sub(m.orderedAt) > loadStartTimeout {
		m.LoadFailed(now, f)
	}
}

// resetPhase ends a question when no load may start, and a load whose version is
// served already. A load under way otherwise goes on whatever the reason.
func (m *Machine) resetPhase(r Reason) {
	if m.phase == PhaseAsking || r == ReasonAlreadyServed {
		m.phase = PhaseIdle
	}
}

// blockedReason returns why no load may start whatever the other replicas do.
func blockedReason(f Facts) (Reason, bool) {
	switch {
	case f.Want.Manifest == "":
		return ReasonNoModel, true
	case !f.Want.Placed:
		return ReasonNotPlaced, true
	case f.Draining:
		return ReasonDraining, true
	case !f.TargetKnown:
		return ReasonTargetSilent, true
	case f.Target.Serving == f.Want.Manifest:
		return ReasonAlreadyServed, true
	case !f.WeightsVerified:
		return ReasonUnverified, true
	}
	return "", false
}

func askBackoff(w Want) time.Duration {
	return minAskBackoff + time.Duration(w.Rank)*backoffPerRank
}

func noAction(r Reason) Action { return Action{Kind: ActionNone, Reason: r} }
