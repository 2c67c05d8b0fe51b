package place

import (
	"testing"
	"time"
)

// Guards against callers with the largest prompts who are left out while engines
// cannot bear all: where an idle engine needs most of an objective for such a prompt,
// any other request takes the place before it. The load is one and a half to two
// times what the engines bear on time.
func TestLargestPromptsAreServedUnderOverload(t *testing.T) {
	// leastShare is what the largest tenth is served, of what all are.
	const leastShare = 0.5
	l := load{engine: slowEngine, objective: 600 * time.Millisecond, engines: 15, entries: 5, length: 25 * time.Second}
	for _, perSecond := range []float64{90, 120, 150} {
		l.perSecond = perSecond
		o := l.play(newModelPlacer)
		all := float64(o.asked-o.refused) / float64(o.asked)
		top := float64(o.largeServed) / float64(o.largeAsked)
		t.Logf("%g a second: credit %.3f, on time %.3f, served %.3f, of the largest tenth %.3f (on time %.3f)", perSecond, o.share(),
			float64(o.onTime)/float64(o.asked), all, top, float64(o.largeOnTime)/float64(o.largeAsked))
		if top < leastShare*all {
			t.Errorf("%g a second: %.3f of the largest tenth were served, of all %.3f", perSecond, top, all)
		}
	}
}

// Guards against a new version whose loads leave callers half of the engines. The
// load is five to six requests a second for each engine, with which the engines of
// the model write without a pause. Halves that load one after the other leave 0.80 of
// the worst two seconds on time, loads that are spread 0.97.
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
	play := func(loads []time.Duration) outcomes {
		l := usualLoad(engines, 6, 65, 12*time.Second)
		l.loads = loads
		return l.play(newModelPlacer)
	}
	together, apart := play(halves), play(spread)
	t.Logf("worst two seconds: halves %.3f, spread %.3f; all: %.3f, %.3f", together.worst(), apart.worst(), together.share(), apart.share())
	if apart.worst() < least {
		t.Errorf("worst two seconds %.3f on time with loads spread, want %.2f", apart.worst(), least)
	}
	if apart.worst() <= together.worst() {
		t.Errorf("worst two seconds %.3f with loads spread, %.3f in halves", apart.worst(), together.worst())
	}
}
