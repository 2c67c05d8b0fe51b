package direct

import (
	"sync"

	"hawthornferry/core/request/place"
)

// watchdogSet holds the watchdogs of the exchanges under way, by target ID.
type watchdogSet struct {
	mu       sync.Mutex
	byTarget map[string]map[*watchdog]bool
}

func (s *watchdogSet) add(g *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTarget == nil {
		s.byTarget = map[string]map[*watchdog]bool{}
	}
	if s.byTarget[g.targetID] == nil {
		s.byTarget[g.targetID] = map[*watchdog]bool{}
	}
	s.byTarget[g.targetID][g] = true
}

func (s *watchdogSet) remove(g *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byTarget[g.targetID], g)
	if len(s.byTarget[g.targetID]) == 0 {
		delete(s.byTarget, g.targetID)
	}
}

func (s *watchdogSet) atTarget(target string) []*watchdog {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*watchdog, 0, len(s.byTarget[target]))
	for g := range s.byTarget[target] {
		out = append(out, g)
	}
	return out
}

// moveLastStreams requests handovers of the last streams at a target that waits to load
// a version, so that it can load without waiting for them to end.
func (s *Server) moveLastStreams(target string, r place.LoadReport) {
	if !s.dispatcher.fewRequestsLeft(target, r) {
		return
	}
	for _, g := range s.watchdogs.atTarget(target) {
		if g.movable && g.responseBegun.Load() {
			g.requestHandover(errLoading)
		}
	}
}
