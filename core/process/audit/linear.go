package audit

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"hawthornferry/core/process/trail"
)

// historyLimit bounds the search for an order of the attempts of all calls.
const historyLimit = 30 * time.Second

// callState is what a call has come to, seen from its callers.
type callState string

const (
	callOpen  callState = "open"
	callRan   callState = "ran"
	callNever callState = "never"
)

// attempt is one request for a call, as its caller saw it.
type attempt struct {
	call    string
	outcome string
}

// onceModel is a call that runs once or never. Done is answered by a call
// that ran; notRun makes it never run; unknown says nothing.
func onceModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: byCall,
		Init:      func() []any { return []any{callOpen} },
		Step:      func(state, input, _ any) []any { return stepCall(state.(callState), input.(attempt)) },
	}
	return m.ToModel()
}

func stepCall(s callState, a attempt) []any {
	switch {
	case a.outcome == outcomeUnknown && s == callOpen:
		return []any{callOpen, callRan, callNever}
	case a.outcome == outcomeUnknown:
		return []any{s}
	case a.outcome == outcomeDone && s != callNever:
		return []any{callRan}
	case a.outcome == outcomeNotRun && s != callRan:
		return []any{callNever}
	}
	return nil
}

func byCall(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	var order []string
	for _, op := range history {
		c := op.Input.(attempt).call
		if _, ok := parts[c]; !ok {
			order = append(order, c)
		}
		parts[c] = append(parts[c], op)
	}
	out := make([][]porcupine.Operation, 0, len(order))
	for _, c := range order {
		out = append(out, parts[c])
	}
	return out
}

// history: the outcomes that the attempts of one call were told, through
// whatever entries, fit one order in which each takes effect at some moment
// between its begin and its answer.
func history(records []trail.Decision) Result {
	r := Result{Outcome: OutcomeHistory}
	ops, answers := operations(records)
	for _, part := range byCall(ops) {
		r.Checked++
		if porcupine.CheckOperationsTimeout(onceModel(), part, historyLimit) == porcupine.Ok {
			continue
		}
		last := answers[part[len(part)-1].ClientId]
		r.miss(last, "no order of its %d attempts explains the outcomes of call %s", len(part), last.Subject)
	}
	return r
}

// operations returns an operation for each answered attempt at a call, from
// its request's first record to its answer, and the answers by client.
func operations(records []trail.Decision) ([]porcupine.Operation, []trail.Decision) {
	begun := map[string]time.Time{}
	var ops []porcupine.Operation
	var answers []trail.Decision
	for _, d := range records {
		if _, ok := begun[d.Request]; !ok {
			begun[d.Request] = d.Time
		}
		if !isCall(d, actionAnswer) || d.Subject == "" || d.Reason == reasonOtherRequest {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: len(answers),
			Input:    attempt{call: d.Subject, outcome: d.Outcome},
			Call:     begun[d.Request].UnixNano(),
			Return:   d.Time.UnixNano(),
		})
		answers = append(answers, d)
	}
	return ops, slices.Clip(answers)
}
