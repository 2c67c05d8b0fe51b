package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// execution is a once-call that was passed to the target. All fields except id and done
// are set before done is closed. answer is nil if there was none or if it was too large
// to store.
type execution struct {
	id calls.ID
	// settledAt is the gate's clock when the call ended.
	settledAt time.Duration
	done      chan struct{}
	state     calls.State
	reason    calls.Reason

	answer *answer
}

// answer is the complete answer to a once-call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// beginOnce decides about a once-call and sends its answer when there is one.
func (g *Proxy) beginOnce(s *sessn.Stream) {
	m := s.Start
	print := fingerprint(m, s.Body)
	g.mu.Lock()
	reason := g.refusalReasonLocked("")
	unsure := m.Members != g.members
	act := g.ledger.Start(g.now(), calls.StartRequest{Ticket: *m.Ticket, EchoedReading: m.EchoedReading, Fingerprint: print, RefuseReason: reason, MembersDiffer: unsure})
	r := g.executions[m.Ticket.CallID]
	if act.Kind == calls.ActionRun {
		r = &execution{id: m.Ticket.CallID, done: make(chan struct{})}
		g.executions[r.id] = r
		g.acquireSlotLocked()
	}
	g.mu.Unlock()
	g.logDecision(m, act)
	if act.Kind == calls.ActionRefuse {
		_ = s.Refuse(refusalOfAction(act))
		return
	}
	if act.Kind == calls.ActionRun {
		go g.execute(r, s)
	}
	g.answer(s, r, act.Kind != calls.ActionRun)
}

func refusalOfAction(a calls.Action) sessn.Refusal {
	r := sessn.Refusal{Outcome: a.Outcome, Reason: a.Reason}
	if a.Outcome == calls.OutcomeNotRun {
		r.RetryAfter = retryAfter
	}
	return r
}

// fingerprint identifies a request, to detect a key or ticket that is reused for
// another one.
func fingerprint(m *sessn.Start, body []byte) string {
	return m.Method + " " + m.Path + " " + string(chunk.DigestOf(body))
}

// execute passes a call to the target. It isn't cancelled when the caller disconnects:
// a payment that the target has begun can't be undone, and its answer is stored for a
// repeat of the call.
func (g *Proxy) execute(r *execution, s *sessn.Stream) {
	defer g.releaseSlot()
	ctx, cancel := clockwork.WithTimeout(context.Background(), g.Clock, s.Start.Timeout)
	defer cancel()
	a, err := g.sendToTarget(ctx, s)
	r.answer = a
	r.state, r.reason = stateAfter(ctx, a, err)
	g.mu.Lock()
	g.ledger.Settle(g.now(), r.id, r.state)
	g.storeLocked(r)
	g.mu.Unlock()
	g.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: "settle", Request: s.Start.Request, Service: g.Service,
		Subject: string(r.id), Outcome: string(outcomeOf(r.state)), Reason: string(r.reason),
		Revision: g.Self.Revision.Load(),
	})
	close(r.done)
}

func (g *Proxy) sendToTarget(ctx context.Context, s *sessn.Stream) (*answer, error) {
	req, err := g.newTargetRequest(ctx, s)
	if err != nil {
		return nil, errors.Mark(err, errNotReached)
	}
	res, err := g.onceTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, sessn.MaxAnswer+1))
	if err != nil {
		return nil, err
	}
	RemoveHopByHopHeaders(res.Header)
	return &answer{status: res.StatusCode, header: res.Header, body: body}, nil
}

// stateAfter returns how a call ended. A failed dial proves that the target did not
// receive the call. Once it is connected, only a complete answer proves anything.
func stateAfter(ctx context.Context, a *answer, err error) (calls.State, calls.Reason) {
	switch {
	case err == nil && len(a.body) > sessn.MaxAnswer:
		return calls.StateDone, calls.ReasonTooLarge
	case err == nil:
		return calls.StateDone, ""
	case errors.Is(err, errNotReached):
		return calls.StateNever, calls.ReasonTargetUnreachable
	case ctx.Err() != nil:
		return calls.StateBroken, calls.ReasonTimeout
	}
	return calls.StateBroken, calls.ReasonTargetBroke
}

func outcomeOf(s calls.State) calls.Outcome {
	switch s {
	case calls.StateDone:
		return calls.OutcomeDone
	case calls.StateNever:
		return calls.OutcomeNotRun
	default:
		return calls.OutcomeUnknown
	}
}

// storeLocked stores a finished call for callers that repeat it. Over MaxStoredBytes,
// the oldest calls are dropped first. Their records stay in the ledger, so that a call
// whose answer was dropped still never runs again.
func (g *Proxy) storeLocked(r *execution) {
	if r.reason == calls.ReasonTooLarge {
		r.answer = nil
	}
	r.settledAt = g.now()
	g.storedIDs = append(g.storedIDs, r.id)
	g.storedBytes += r.size()
	for g.storedBytes > g.MaxStoredBytes && len(g.storedIDs) > 1 {
		g.dropOldestLocked()
	}
}

// dropOldestLocked drops the oldest stored call.
func (g *Proxy) dropOldestLocked() {
	id := g.storedIDs[0]
	g.storedIDs = g.storedIDs[1:]
	if r := g.executions[id]; r != nil {
		g.storedBytes -= r.size()
		delete(g.executions, id)
	}
}

// expireLocked drops the stored calls and the ledger records that are older than
// LedgerLimits.RecordMaxAge.
func (g *Proxy) expireLocked() {
	now := g.now()
	g.ledger.Expire(now)
	for len(g.storedIDs) > 0 {
		r := g.executions[g.storedIDs[0]]
		if r != nil && now-r.settledAt <= g.LedgerLimits.RecordMaxAge {
			return
		}
		g.dropOldestLocked()
	}
}

func (g *Proxy) updateMetricsLocked() {
	g.Metrics.Gauge("gate.records").Update(float64(g.ledger.Len()))
	g.Metrics.Gauge("gate.keptBytes").Update(float64(g.storedBytes))
	g.Metrics.Gauge("gate.inFlight").Update(float64(g.inFlight))
}

// executionOverhead is the approximate memory for a stored call without its answer's
// body, in bytes.
const executionOverhead = 512

func (r *execution) size() int {
	if r.answer == nil {
		return executionOverhead
	}
	return executionOverhead + len(r.answer.body)
}

// answer waits for the end of r and sends its answer or a refusal. replayed is set if
// the call had been received before. r is nil if the answer is no longer stored.
func (g *Proxy) answer(s *sessn.Stream, r *execution, replayed bool) {
	if r == nil {
		_ = s.Refuse(sessn.Refusal{Outcome: calls.OutcomeDone, Reason: calls.ReasonTooLarge})
		return
	}
	select {
	case <-r.done:
	case <-s.Context().Done():
		return
	}
	if r.state != calls.StateDone || r.answer == nil {
		_ = s.Refuse(sessn.Refusal{Outcome: outcomeOf(r.state), Reason: r.reason})
		return
	}
	_ = s.Answer(sessn.Head{Status: r.answer.status, Header: r.answer.header, Stored: replayed}, r.answer.body)
}

// HandleQuery answers a query. It sends the state, and then the answer if the call is running
// or done.
func (g *Proxy) HandleQuery(s *sessn.Stream, q *sessn.Query) {
	g.answerPending()
	defer g.answerSent()
	g.mu.Lock()
	state := g.ledger.Query(g.now(), calls.QueryRequest{Ticket: q.Ticket, MarkNever: q.Mark, MembersDiffer: q.Members != g.members})
	r := g.executions[q.Ticket.CallID]
	g.mu.Unlock()
	g.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: "query", Service: g.Service, Subject: string(q.Ticket.CallID),
		Choice: string(state), Revision: g.Self.Revision.Load(),
	})
	open := state == calls.StateRunning || state == calls.StateDone
	if s.Verdict(sessn.Verdict{State: state}, open) != nil || !open {
		return
	}
	g.answer(s, r, false)
}

func (g *Proxy) logDecision(m *sessn.Start, a calls.Action) {
	g.countCall(string(a.Kind))
	g.addMeasures(a)
	g.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: string(a.Kind), Request: m.Request, Service: g.Service,
		Subject: string(m.Ticket.CallID), Outcome: string(a.Outcome), Reason: string(a.Reason),
		Revision: g.Self.Revision.Load(),
	})
}
