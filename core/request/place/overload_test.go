package place

import (
	"testing"
	"time"
)

// Guards against leaving out callers with the largest prompts under overload: where an
// idle engine needs most of an objective for such a prompt, any other request takes the
// slot before it. The load is one and a half to two times what the engines can answer
// on time.
func TestLargestPromptsAreServedUnderOverload(t *testing.T) {
	// leastShare is the lowest share of the largest tenth to be served, as a share of
	// that of all requests.
	const leastShare = 0.5
	l := scenario{engine: slowEngine, objective: 600 * time.Millisecond, engines: 15, entries: 5, length: 25 * time.Second}
	for _, perSecond := range []float64{90, 120, 150} {
		l.perSecond = perSecond
		o := l.simulate(newSimPlacer)
		all := float64(o.asked-o.refused) / float64(o.asked)
		top := float64(o.largeServed) / float64(o.largeAsked)
		t.Logf("%g a second: credit %.3f, on time %.3f, served %.3f, of the largest tenth %.3f (on time %.3f)", perSecond, o.creditShare(),
			float64(o.onTime)/float64(o.asked), all, top, float64(o.largeOnTime)/float64(o.largeAsked))
		if top < leastShare*all {
			t.Errorf("%g a second: %.3f of the largest tenth were served, of all %.3f", perSecond, top, all)
		}
	}
}

// Guards against the load of a new version that leaves callers half of the engines.
// Callers send five to six requests a second for each engine, at which the engines
// write without a pause. In the worst two seconds 0.80 are on time if one half of the
// engines loads after the other, and 0.97 if the loads are spread.
func TestSpreadLoadsKeepCallersOnTime(t *testing.T) {
	const (
		engines = 12
		whole   = 3 * time.Second
		limit   = 7 * time.Second
		least   = 0.9
	)
	var halves, spread []time.Duration
	for i := range engines {
		halves = append(halves, whole+time.Duration(i/(engines/2))*1500*time.Millisecond)
		spread = append(spread, whole+time.Duration(i)*(limit-whole)/engines)
	}
	simulate := func(loadTimes []time.Duration) outcomes {
		l := usualScenario(engines, 6, 65, 12*time.Second)
		l.loadTimes = loadTimes
		return l.simulate(newSimPlacer)
	}
	together, apart := simulate(halves), simulate(spread)
	t.Logf("worst two seconds: halves %.3f, spread %.3f; all: %.3f, %.3f", together.worstWindow(), apart.worstWindow(), together.creditShare(), apart.creditShare())
	if apart.worstWindow() < least {
		t.Errorf("worst two seconds %.3f on time with loads spread, want %.2f", apart.worstWindow(), least)
	}
	if apart.worstWindow() <= together.worstWindow() {
		t.Errorf("worst two seconds %.3f with loads spread, %.3f in halves", apart.worstWindow(), together.worstWindow())
	}
}
