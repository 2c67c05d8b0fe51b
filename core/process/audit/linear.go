package audit

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"hawthornferry/core/process/trail"
)

// historyTimeout bounds the search for an order of the attempts of one call. A
// search that runs into it counts as a violation.
const historyTimeout = 30 * time.Second

// callState is the state of a call as seen by its callers.
type callState string

const (
	callOpen   callState = "open"
	callRan    callState = "ran"
	callNotRun callState = "never"
)

// attempt is one request for a call, with the outcome that its caller was told.
type attempt struct {
	call    string
	outcome string
}

// callModel returns the porcupine model of a call that runs at most once. An
// attempt with outcome done requires that the call has run or runs it; notRun
// requires that it has not run and keeps it from ever running; unknown fits any
// state.
func callModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: partitionByCall,
		Init:      func() []any { return []any{callOpen} },
		Step:      func(state, input, _ any) []any { return nextCallStates(state.(callState), input.(attempt)) },
	}
	return m.ToModel()
}

func nextCallStates(s callState, a attempt) []any {
	switch {
	case a.outcome == outcomeUnknown && s == callOpen:
		return []any{callOpen, callRan, callNotRun}
	case a.outcome == outcomeUnknown:
		return []any{s}
	case a.outcome == outcomeDone && s != callNotRun:
		return []any{callRan}
	case a.outcome == outcomeNotRun && s != callRan:
		return []any{callNotRun}
	}
	return nil
}

func partitionByCall(history []porcupine.Operation) [][]porcupine.Operation {
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

// checkConsistentOutcomes checks that the outcomes of all attempts at one call, through any
// entries, are linearizable: there is an order of the attempts that explains the
// outcomes and in which each attempt takes effect between its start and its answer. A
// search that runs longer than historyTimeout counts as a violation too.
func checkConsistentOutcomes(records []trail.Decision) Result {
	r := Result{Guarantee: GuaranteeConsistentOutcomes}
	ops, answers := callOperations(records)
	for _, part := range partitionByCall(ops) {
		r.Cases++
		if porcupine.CheckOperationsTimeout(callModel(), part, historyTimeout) == porcupine.Ok {
			continue
		}
		last := answers[part[len(part)-1].ClientId]
		r.addViolation(last, "no order of its %d attempts explains the outcomes of call %s", len(part), last.Subject)
	}
	return r
}

// callOperations returns an operation for each answered attempt at a call, lasting
// from the first record of its request to its answer, and the answer records,
// indexed by the operations' ClientId.
func callOperations(records []trail.Decision) ([]porcupine.Operation, []trail.Decision) {
	started := map[string]time.Time{}
	var ops []porcupine.Operation
	var answers []trail.Decision
	for _, d := range records {
		if _, ok := started[d.Request]; !ok {
			started[d.Request] = d.Time
		}
		if !isCall(d, actionAnswer) || d.Subject == "" || d.Reason == reasonOtherRequest {
			continue
		}
		ops = append(ops, porcupine.Operation{
			ClientId: len(answers),
			Input:    attempt{call: d.Subject, outcome: d.Outcome},
			Call:     started[d.Request].UnixNano(),
			Return:   d.Time.UnixNano(),
		})
		answers = append(answers, d)
	}
	return ops, slices.Clip(answers)
}
