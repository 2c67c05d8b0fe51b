//go:build !race

package roll

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/explor"
	"hawthornferry/core/version/chunk"
)

// omitted names a safeguard that an exploration leaves out.
type omitted string

const (
	omitNothing      omitted = ""
	omitAskingRule   omitted = "a replica that asks does not count"
	omitPermitLife   omitted = "a permission has a short life"
	omitFloor        omitted = "the floor"
	omitVerified     omitted = "weights are verified whole before an order"
	omitStartTimeout omitted = "an order reaches its engine within the grace"
)

// zone is one state of the model: the sides of an availability zone, their engines,
// questions in progress and orders under way.
type zone struct {
	now   int
	sides []zoneSide
}

// zoneSide is a side with its engine. answers are the answers to its question so far,
// one place for each peer. order is the order under way to the engine.
type zoneSide struct {
	machine  Machine
	wants    bool
	verified bool
	engine   Target
	asking   bool
	answers  []Status
	order    Action
	sent     int
}

type zoneModel struct {
	sides   int
	floor   int
	ticks   int
	omitted omitted
}

// zoneTick is the model's unit of time.
const zoneTick = time.Second

func (m zoneModel) initial() *zone {
	z := &zone{}
	for i := range m.sides {
		z.sides = append(z.sides, zoneSide{engine: Target{Boot: fmt.Sprint("b", i), Serving: oldVersion}})
	}
	return z
}

func (z *zone) clone() *zone {
	c := *z
	c.sides = slices.Clone(z.sides)
	for i := range c.sides {
		c.sides[i].answers = slices.Clone(z.sides[i].answers)
	}
	return &c
}

func (z *zone) at() time.Time { return start.Add(time.Duration(z.now) * zoneTick) }

func (z *zone) key() string {
	out := fmt.Sprint(z.now)
	for _, s := range z.sides {
		out += fmt.Sprint("|", s.machine.phase, s.machine.manifest, s.machine.askedAt, z.sinceStart(s.machine.orderedAt), z.sinceStart(s.machine.retryAt),
			s.wants, s.verified, s.engine, s.asking, s.answers, s.order, s.sent)
	}
	return out
}

// sinceStart converts a time of a machine to the model's clock, -1 if it is not set.
func (z *zone) sinceStart(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return t.Sub(start)
}

func (m zoneModel) facts(z *zone, i int) Facts {
	s := z.sides[i]
	f := Facts{
		ReadAt: z.at().Sub(start),
		Want: Want{
			Revision: 1,
			Service:  envdoc.Service{Name: "helper", Floor: m.floor},
			Placed:   true,
			Manifest: oldVersion,
			Rank:     i,
		},
		WeightsVerified: s.verified || m.omitted == omitVerified,
		TargetKnown:     true,
		Target:          s.engine,
	}
	if m.omitted == omitFloor {
		f.Want.Service.Floor = 0
	}
	if s.wants {
		f.Want.Revision = 2
		f.Want.Manifest = newVersion
	}
	return f
}

func (m zoneModel) moves(z *zone) []explor.Transition[*zone] {
	var out []explor.Transition[*zone]
	add := func(name string, change func(*zone)) {
		c := z.clone()
		change(c)
		out = append(out, explor.Transition[*zone]{Name: name, Next: c})
	}
	if z.now < m.ticks {
		add("time passes", func(c *zone) { c.now++ })
	}
	for i := range z.sides {
		m.sideMoves(z, i, add)
		m.engineMoves(z, i, add)
	}
	return out
}

func (m zoneModel) sideMoves(z *zone, i int, add func(string, func(*zone))) {
	s := z.sides[i]
	if !s.wants {
		add(fmt.Sprintf("side %d learns of the new version", i), func(c *zone) { c.sides[i].wants = true })
	}
	if s.wants && !s.verified {
		add(fmt.Sprintf("side %d has the weights whole", i), func(c *zone) { c.sides[i].verified = true })
	}
	if !s.asking {
		add(fmt.Sprintf("side %d steps", i), func(c *zone) { m.step(c, i) })
		return
	}
	for j := range z.sides {
		if j != i && s.answers[j].Name == "" {
			add(fmt.Sprintf("side %d answers side %d", j, i), func(c *zone) { m.answer(c, i, j) })
		}
	}
	add(fmt.Sprintf("side %d decides on the answers", i), func(c *zone) { m.answered(c, i) })
}

func (m zoneModel) step(z *zone, i int) {
	s := &z.sides[i]
	a := s.machine.Step(z.at(), m.facts(z, i))
	if a.Kind == ActionAsk {
		s.asking = true
		s.answers = make([]Status, len(z.sides))
	}
	m.send(z, i, a)
}

func (m zoneModel) answer(z *zone, i, j int) {
	st := z.sides[j].machine.Status(z.at(), m.facts(z, j))
	st.Name = fmt.Sprint("side", j)
	if m.omitted == omitAskingRule && st.Phase == PhaseAsking {
		st.Phase = PhaseIdle
	}
	z.sides[i].answers[j] = st
}

// answered decides on the answers that have come; the side may have been suspended
// since the first of them.
func (m zoneModel) answered(z *zone, i int) {
	s := &z.sides[i]
	var came []Status
	for _, st := range s.answers {
		if st.Name != "" {
			came = append(came, st)
		}
	}
	f := m.facts(z, i)
	if m.omitted == omitPermitLife {
		f.ReadAt = s.machine.askedAt
	}
	a := s.machine.AnswersReceived(start.Add(f.ReadAt), f, came)
	s.asking = false
	s.answers = nil
	m.send(z, i, a)
}

func (m zoneModel) send(z *zone, i int, a Action) {
	if a.Kind != ActionOrder {
		return
	}
	z.sides[i].order = a
	z.sides[i].sent = z.now
}

// engineMoves are the moves of an engine: it takes an order, or finishes a load. An order
// that is never taken is lost.
func (m zoneModel) engineMoves(z *zone, i int, add func(string, func(*zone))) {
	s := z.sides[i]
	grace := time.Duration(z.now-s.sent)*zoneTick <= loadStartTimeout
	if s.order.Kind == ActionOrder && (grace || m.omitted == omitStartTimeout) {
		add(fmt.Sprintf("engine %d takes the order", i), func(c *zone) { c.sides[i].take() })
	}
	if s.engine.Loading != "" {
		add(fmt.Sprintf("engine %d has loaded", i), func(c *zone) {
			e := &c.sides[i].engine
			e.Serving, e.Loading = e.Loading, ""
		})
	}
}

func (s *zoneSide) take() {
	if s.order.Number > s.engine.LastOrder {
		s.engine.LastOrder = s.order.Number
		s.engine.Loading = s.order.Manifest
	}
	s.order = Action{}
}

// check verifies the two rules: at least as many engines as the floor requires serve and
// do not load, and none loads weights that its side has not verified.
func (m zoneModel) check(z *zone) error {
	serving := 0
	for i, s := range z.sides {
		if s.engine.Serving != "" && s.engine.Loading == "" {
			serving++
		}
		if s.engine.Loading == chunk.Digest(newVersion) && !s.verified {
			return errors.Newf("engine %d loads weights that are not verified", i)
		}
	}
	if serving < m.floor {
		return errors.Newf("%d engines serve, the floor is %d", serving, m.floor)
	}
	return nil
}

func (m zoneModel) run() explor.Result {
	return explor.Explore(explor.Model[*zone]{
		Initial:     m.initial(),
		Transitions: m.moves,
		Key:         (*zone).key,
		Check:       m.check,
		MaxStates:   1 << 20,
	})
}

// The replicas of a zone load a new version while sides are suspended between
// question and order, answers are late or missing, and orders are lost or late. In no
// sequence of these events do fewer replicas serve than the floor requires, or does one
// load weights that are not completely verified.
func TestFloorHoldsInEveryEventOrder(t *testing.T) {
	tests := []struct {
		name  string
		model zoneModel
	}{
		{"two sides, floor one", zoneModel{sides: 2, floor: 1, ticks: 7}},
		{"three sides, floor two", zoneModel{sides: 3, floor: 2, ticks: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := tt.model.run()
			t.Log(got)
			if !got.Complete {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is left out once; the exploration must find the fault that it prevents.
// The last one is not part of this package: an engine must not take an order after
// its side has stopped waiting for it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for _, o := range []omitted{omitAskingRule, omitPermitLife, omitFloor, omitVerified, omitStartTimeout} {
		t.Run(string(o), func(t *testing.T) {
			t.Parallel()
			got := zoneModel{sides: 2, floor: 1, ticks: 7, omitted: o}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without it: %v", got)
			}
			t.Log(got)
		})
	}
}
