package roll

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Phase is where a side stands with the load of one version.
type Phase string

// The phases of a load. A side that asks or loads is not counted as serving
// by the replicas that ask it.
const (
	PhaseIdle    Phase = "idle"
	PhaseAsking  Phase = "asking"
	PhaseLoading Phase = "loading"
)

// Target is what an engine reports of itself. LastOrder is the highest order
// number that it has taken.
type Target struct {
	Boot      string
	Serving   chunk.Digest
	Loading   chunk.Digest
	LastOrder uint64
}

// Facts is what a side knows when it decides. Verified says that every chunk
// of the wanted manifest is staged and has its digest. TargetKnown is false
// while the engine does not answer.
type Facts struct {
	// At is when they were read, on a clock that also counts the time in which
	// the machine was suspended.
	At          time.Duration
	Want        Want
	Verified    bool
	Target      Target
	TargetKnown bool
	Draining    bool
	// Deadline bounds when the load may begin.
	Deadline Deadline
}

// Status is a side's answer to a replica that asks it. Serving is what its
// target serves, Wanted what the document at Revision asks of it.
type Status struct {
	Name     string       `msgpack:"name"`
	Phase    Phase        `msgpack:"phase"`
	Serving  chunk.Digest `msgpack:"serving"`
	Wanted   chunk.Digest `msgpack:"wanted"`
	Revision uint64       `msgpack:"revision"`
	Leaving  bool         `msgpack:"leaving"`
	// Rank is the replica's place in the order of loading.
	Rank int `msgpack:"rank,omitempty"`
	// Ordered is the version of the replica's last order, empty for none, and
	// OrderAge how long ago that was given.
	Ordered  chunk.Digest  `msgpack:"ordered,omitempty"`
	OrderAge time.Duration `msgpack:"orderAge,omitempty"`
}

// ActionKind says what the side has to do next.
type ActionKind string

// The actions.
const (
	ActionNone  ActionKind = "none"
	ActionAsk   ActionKind = "ask"
	ActionOrder ActionKind = "order"
)

// Action is one decision. Number is set for an order.
type Action struct {
	Kind     ActionKind
	Manifest chunk.Digest
	Number   uint64
	Reason   Reason
}

// Reason says why an action was decided, or why none was.
type Reason string

// The reasons.
const (
	ReasonServed       Reason = "already served"
	ReasonNotPlaced    Reason = "not placed"
	ReasonNoModel      Reason = "service has no model"
	ReasonUnverified   Reason = "weights not verified whole"
	ReasonTargetSilent Reason = "target does not answer"
	ReasonTargetBusy   Reason = "target is loading"
	ReasonDraining     Reason = "draining"
	ReasonBackoff      Reason = "waiting after a refusal"
	ReasonFirstLoad    Reason = "target serves nothing"
	ReasonOverdue      Reason = "the old version may not be served any longer"
	ReasonAsking       Reason = "asking the replicas of the zone"
	ReasonFloor        Reason = "floor of serving replicas"
	ReasonSpaced       Reason = "loads of the zone are spaced out"
	ReasonBehind       Reason = "a replica holds a higher revision"
	ReasonPermitOld    Reason = "permission is too old"
	ReasonWantChanged  Reason = "wanted version changed"
	ReasonFloorHolds   Reason = "floor holds without this replica"
)

// The machine's times.
const (
	// PermitLife is how long the answers of the other replicas permit an
	// order. A process that was paused, or suspended with its machine, after it
	// asked finds its permission too old and asks again.
	PermitLife = 2 * time.Second
	// minBackoff and perRank space the questions of the sides of a zone. Two
	// that ask at the same moment both give way; apart by rank they rarely do,
	// and the questions a second grow with the replicas, not their square.
	minBackoff = 200 * time.Millisecond
	perRank    = 20 * time.Millisecond
	// startGrace is how long an engine may take to show a load that it
	// accepted. Without it a load that the engine gave up would keep its side
	// waiting for good, on the old version.
	startGrace = 5 * time.Second
)

// Machine decides when one side orders its target to load. The zero value is
// ready for use. It is not safe for concurrent use.
type Machine struct {
	phase    Phase
	manifest chunk.Digest
	askedAt  time.Duration
	ordered  time.Time
	retryAt  time.Time
	boot     string
}

// Step decides on what is known now. ActionAsk makes the side ask all of
// Want.Peers and hand their answers to Answered.
func (m *Machine) Step(now time.Time, f Facts) Action {
	m.follow(now, f)
	if r, ok := blocked(f); ok {
		m.rest(r)
		return none(r)
	}
	if m.phase == PhaseLoading || f.Target.Loading != "" {
		return none(ReasonTargetBusy)
	}
	if f.Target.Serving == "" && !now.Before(m.retryAt) {
		return m.order(now, f, ReasonFirstLoad)
	}
	if f.Deadline.passed() && !now.Before(m.retryAt) {
		return m.order(now, f, ReasonOverdue)
	}
	if m.manifest != f.Want.Manifest {
		m.manifest = f.Want.Manifest
		m.retryAt = now.Add(time.Duration(f.Want.Rank) * perRank)
	}
	if now.Before(m.retryAt) {
		return none(ReasonBackoff)
	}
	m.phase = PhaseAsking
	m.askedAt = f.At
	return Action{Kind: ActionAsk, Manifest: m.manifest, Reason: ReasonAsking}
}

// Answered decides on the answers to a question. f is read anew after the
// answers came in. Replicas that did not answer are left out of answers and
// so count as not serving.
func (m *Machine) Answered(now time.Time, f Facts, answers []Status) Action {
	if m.phase != PhaseAsking {
		return none(ReasonWantChanged)
	}
	if r, ok := blocked(f); ok {
		m.rest(r)
		return none(r)
	}
	if r, ok := m.refused(f, answers); ok {
		m.phase = PhaseIdle
		m.retryAt = now.Add(backoff(f.Want))
		return none(r)
	}
	if wait := f.Deadline.wait(f.Want, answers); wait > 0 {
		m.phase = PhaseIdle
		m.retryAt = now.Add(min(wait, mostSpacing) + time.Duration(f.Want.Rank)*perRank)
		return none(ReasonSpaced)
	}
	return m.order(now, f, ReasonFloorHolds)
}

// refused reports the safeguard that forbids the order, if any.
func (m *Machine) refused(f Facts, answers []Status) (Reason, bool) {
	if f.Want.Manifest != m.manifest {
		return ReasonWantChanged, true
	}
	// A side that slept between question and order would load beside another
	// one that asked meanwhile, and the zone would drop below its floor. Only a
	// clock that counts suspension tells it that it slept.
	if f.At-m.askedAt > PermitLife {
		return ReasonPermitOld, true
	}
	serving := 0
	for _, s := range answers {
		// Without this a side cut off from new documents would load a version
		// that was withdrawn; one answer from a replica that knows better is
		// enough to wait. A higher revision alone is not: documents change
		// about once a second, mostly elsewhere.
		if s.Revision > f.Want.Revision && s.Wanted != f.Want.Manifest {
			return ReasonBehind, true
		}
		if counts(s) {
			serving++
		}
	}
	if serving < f.Want.Service.Floor {
		return ReasonFloor, true
	}
	return "", false
}

// counts reports whether replica s keeps serving while this one loads. A
// replica that asks does not count: it may already hold the answers that
// permit its load, and a tie broken by rank would let both go at once and the
// zone below its floor.
func counts(s Status) bool {
	return s.Serving != "" && !s.Leaving && s.Phase == PhaseIdle
}

// order makes the order. Its number is above the last one that the engine
// took, so it grows without anything being stored.
func (m *Machine) order(now time.Time, f Facts, r Reason) Action {
	m.phase = PhaseLoading
	m.manifest = f.Want.Manifest
	m.boot = f.Target.Boot
	m.ordered = now
	return Action{
		Kind:     ActionOrder,
		Manifest: f.Want.Manifest,
		Number:   f.Target.LastOrder + 1,
		Reason:   r,
	}
}

// Wait is how long Step may be put off after now, at most longest. Steps that
// were rounded up to a common tick would make sides that are set apart by
// rank ask at the same moment again.
func (m *Machine) Wait(now time.Time, longest time.Duration) time.Duration {
	until := m.retryAt.Sub(now)
	if until <= 0 {
		return longest
	}
	return min(until, longest)
}

// Failed tells the machine that an order was refused or not answered, or
// that the target gave a load up.
func (m *Machine) Failed(now time.Time, f Facts) {
	m.phase = PhaseIdle
	m.retryAt = now.Add(backoff(f.Want))
}

// Status is the answer to another replica that asks. The name is the
// caller's to fill in.
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
	if !m.ordered.IsZero() {
		s.Ordered, s.OrderAge = m.manifest, now.Sub(m.ordered)
	}
	if s.Phase == "" {
		s.Phase = PhaseIdle
	}
	if f.Target.Loading != "" {
		s.Phase = PhaseLoading
	}
	return s
}

// follow notes the end of a load: the target serves the ordered version, or
// it started anew and has forgotten the order, or it has given the load up.
func (m *Machine) follow(now time.Time, f Facts) {
	if m.phase != PhaseLoading || !f.TargetKnown {
		return
	}
	if f.Target.Serving == m.manifest || f.Target.Boot != m.boot {
		m.phase = PhaseIdle
		return
	}
	if f.Target.Loading == "" && now.Sub(m.ordered) > startGrace {
		m.Failed(now, f)
	}
}

func (m *Machine) rest(r Reason) {
	if m.phase == PhaseAsking || r == ReasonServed {
		m.phase = PhaseIdle
	}
}

// blocked reports why no load may start whatever the other replicas do.
func blocked(f Facts) (Reason, bool) {
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
		return ReasonServed, true
	case !f.Verified:
		return ReasonUnverified, true
	}
	return "", false
}

func backoff(w Want) time.Duration {
	return minBackoff + time.Duration(w.Rank)*perRank
}

func none(r Reason) Action { return Action{Kind: ActionNone, Reason: r} }
