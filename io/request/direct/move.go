package direct

import (
	"sync"

	"hawthornferry/core/request/place"
)

// moves holds the exchanges under way at each target.
type moves struct {
	mu sync.Mutex
	at map[string]map[*guard]bool
}

func (m *moves) add(g *guard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.at == nil {
		m.at = map[string]map[*guard]bool{}
	}
	if m.at[g.target] == nil {
		m.at[g.target] = map[*guard]bool{}
	}
	m.at[g.target][g] = true
}

func (m *moves) remove(g *guard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.at[g.target], g)
	if len(m.at[g.target]) == 0 {
		delete(m.at, g.target)
	}
}

func (m *moves) of(target string) []*guard {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*guard, 0, len(m.at[target]))
	for g := range m.at[target] {
		out = append(out, g)
	}
	return out
}

// moveFrom has the last streams that a target writes before it loads go on at
// another one.
func (s *Server) moveFrom(target string, r place.Report) {
	if !s.desk.fewLeft(target, r) {
		return
	}
	for _, g := range s.moves.of(target) {
		if g.movable && g.begun.Load() {
			g.requestMove(errLoading)
		}
	}
}
