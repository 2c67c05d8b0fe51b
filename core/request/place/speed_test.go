package place

import (
	"testing"
	"time"
)

// Guards against estimates below zero for an engine whose reading speed is not known, by which
// no request is late and a version counts as still allowed.
func TestUnknownReadingSpeedTakesNoTime(t *testing.T) {
	engine := *usualEngine
	for _, speed := range []float64{0, -1} {
		engine.PrefillTokensPerSecond = speed
		p := testPlacer(testFacts(&engine, 16, "a"))
		s, w := p.service("svc"), testRequest("1")
		least := passTime(&engine, 1)
		for what, d := range map[string]time.Duration{
			"estimate": s.estimateFirstAnswer(start, s.all[0], &w), "shortest answer": s.minFirstAnswer(start, &w),
			"time left": s.latestPlacement(&w).Sub(start),
		} {
			if d < least || d > time.Second {
				t.Errorf("speed %g: %s is %s, want %s to 1s", speed, what, d, least)
			}
		}
	}
}
