// Package explor is an explicit-state model checker. Tests use it to check every
// state that a small model of a protocol can reach. A model runs the code of the
// protocol itself with a few processes and messages. Its transitions are all events
// that may happen next: steps of the protocol, crashes, lost and repeated messages,
// and the passing of time.
//
// The search is breadth first, so the trace to a state that violates the model's
// check is the shortest one, which is the easiest to read.
package explor

import (
	"fmt"
	"strings"
)

// Transition is an event that may happen in a state, and the state that follows.
type Transition[S any] struct {
	Name string
	Next S
}

// Model is the model to explore. Its functions must not modify a state that they
// are given or have returned.
type Model[S any] struct {
	Initial S
	// Transitions returns all events that may happen in a state.
	Transitions func(S) []Transition[S]
	// Key identifies a state. Of several states with the same key only the first
	// one found is explored, so they must behave alike.
	Key func(S) string
	// Check returns an error if a state violates a property of the protocol.
	Check func(S) error
	// MaxStates limits the number of states. The exploration ends incomplete when it
	// would find more.
	MaxStates int
}

// Result is the result of an exploration. States and Transitions are the numbers of
// states found and of transitions tried, and Depth is the number of transitions from
// the initial state to the last state expanded. Complete is set if every reachable
// state was checked without an error. Err is the error of the check and Trace the
// transitions from the initial state to the state that it is about.
type Result struct {
	States      int
	Transitions int
	Depth       int
	Complete    bool
	Err         error
	Trace       []string
}

// String returns a summary in one line, followed by one line for each transition of
// the trace.
func (r Result) String() string {
	if r.Err != nil {
		return fmt.Sprintf("%v after %d transitions (%d states found):\n  %s",
			r.Err, len(r.Trace), r.States, strings.Join(r.Trace, "\n  "))
	}
	if !r.Complete {
		return fmt.Sprintf("incomplete: stopped at %d states", r.States)
	}
	return fmt.Sprintf("%d states, %d transitions, depth %d, no violation", r.States, r.Transitions, r.Depth)
}

// node is the position of a state in the search tree: the index of the state before
// it, the transition between them, and the number of transitions from the initial
// state.
type node struct {
	parent     int
	transition string
	depth      int
}

// Explore checks every reachable state of m. It stops at the first error of m.Check,
// or when there are more than m.MaxStates states.
func Explore[S any](m Model[S]) Result {
	var r Result
	seen := map[string]bool{m.Key(m.Initial): true}
	nodes := []node{{parent: -1}}
	states := []S{m.Initial}
	if err := m.Check(m.Initial); err != nil {
		return Result{States: 1, Err: err}
	}
	for i := 0; i < len(nodes); i++ {
		s := states[i]
		var zero S
		states[i] = zero
		r.Depth = nodes[i].depth
		for _, transition := range m.Transitions(s) {
			r.Transitions++
			key := m.Key(transition.Next)
			if seen[key] {
				continue
			}
			if len(nodes) >= m.MaxStates {
				r.States = len(nodes)
				return r
			}
			seen[key] = true
			nodes = append(nodes, node{parent: i, transition: transition.Name, depth: nodes[i].depth + 1})
			states = append(states, transition.Next)
			if err := m.Check(transition.Next); err != nil {
				r.States = len(nodes)
				r.Err = err
				r.Trace = trace(nodes)
				return r
			}
		}
	}
	r.States = len(nodes)
	r.Complete = true
	return r
}

// trace returns the transitions from the initial state to the last node.
func trace(nodes []node) []string {
	var names []string
	for i := len(nodes) - 1; nodes[i].parent >= 0; i = nodes[i].parent {
		names = append([]string{nodes[i].transition}, names...)
	}
	return names
}
