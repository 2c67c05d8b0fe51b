// Package explor explores every state that a small model of a protocol can
// reach, breadth first, and checks each. A model runs the protocol's own code
// on a few processes and messages; its moves are all that may happen next:
// steps of the protocol, crashes, losses, repetitions, and time.
//
// Breadth first gives the shortest way to a state that breaks a rule, which
// is the one that is easiest to read.
package explor

import (
	"fmt"
	"strings"
)

// Move is one thing that may happen, and the state that it leads to.
type Move[S any] struct {
	Name string
	Next S
}

// Model is what is explored. States are never changed once they are made.
type Model[S any] struct {
	Initial S
	// Moves returns all that may happen in a state.
	Moves func(S) []Move[S]
	// Key names a state; states with equal keys behave alike.
	Key func(S) string
	// Check returns the rule that a state breaks, or nil.
	Check func(S) error
	// Max bounds the states that are held.
	Max int
}

// Result is what an exploration found. Whole is set when every reachable
// state was checked and none broke a rule. Err and Trace are the broken rule
// and the moves that lead to it.
type Result struct {
	States int
	Moves  int
	Depth  int
	Whole  bool
	Err    error
	Trace  []string
}

// String tells the result in a line, and the moves to a broken rule in one
// line each.
func (r Result) String() string {
	if r.Err != nil {
		return fmt.Sprintf("%v after %d moves (%d states seen):\n  %s",
			r.Err, len(r.Trace), r.States, strings.Join(r.Trace, "\n  "))
	}
	if !r.Whole {
		return fmt.Sprintf("not whole: stopped at %d states", r.States)
	}
	return fmt.Sprintf("%d states, %d moves, depth %d, no rule broken", r.States, r.Moves, r.Depth)
}

// node is a state's place in the search.
type node struct {
	parent int
	move   string
	depth  int
}

// Explore checks every state of m, or stops at the first that breaks a rule
// or when m.Max states are held.
func Explore[S any](m Model[S]) Result {
	var r Result
	seen := map[string]bool{m.Key(m.Initial): true}
	nodes := []node{{parent: -1}}
	states := []S{m.Initial}
	if err := m.Check(m.Initial); err != nil {
		return Result{States: 1, Err: err}
	}
	for at := 0; at < len(nodes); at++ {
		s := states[at]
		var none S
		states[at] = none
		r.Depth = nodes[at].depth
		for _, mv := range m.Moves(s) {
			r.Moves++
			k := m.Key(mv.Next)
			if seen[k] {
				continue
			}
			if len(nodes) >= m.Max {
				r.States = len(nodes)
				return r
			}
			seen[k] = true
			nodes = append(nodes, node{parent: at, move: mv.Name, depth: nodes[at].depth + 1})
			states = append(states, mv.Next)
			if err := m.Check(mv.Next); err != nil {
				r.States = len(nodes)
				r.Err = err
				r.Trace = trace(nodes)
				return r
			}
		}
	}
	r.States = len(nodes)
	r.Whole = true
	return r
}

// trace returns the moves that lead to the last node.
func trace(nodes []node) []string {
	var names []string
	for at := len(nodes) - 1; nodes[at].parent >= 0; at = nodes[at].parent {
		names = append([]string{nodes[at].move}, names...)
	}
	return names
}
